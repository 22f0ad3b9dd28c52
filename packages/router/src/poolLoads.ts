/** The loads and caps of the endpoints that an instance owns: its own counts are exact, those of others as they reported. */
import * as contracts from '@kingcupdeck/contracts'
import * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'
import * as ownedEndpoint from './ownedEndpoint.js'

/** The cap of an endpoint now, with what it was worked out from. */
export interface Cap { cap: number, total: number, ageMs: number }

/** The loads of owned endpoints. */
export interface PoolLoads {
  /** @returns how many requests an endpoint may have in flight now */
  toCap (endpoint: ownedEndpoint.OwnedEndpoint): Cap
  /** @returns what this instance has in flight, per pool */
  toPoolLoads (): contracts.PoolLoad[]
  /** @returns the endpoints that announce themselves here */
  toStatus (): contracts.EndpointStatus[]
}

/** What loads are worked out from. */
export interface PoolLoadsOptions {
  endpoints: ReadonlyMap<string, ownedEndpoint.OwnedEndpoint>
  member: membership.Membership
  table: membership.EndpointTable
  /** Whether the cap is in force; the baselines of the bench run without it. */
  isCapped: boolean
}

const DEFAULT_FACTOR = 1.25

/**
 * Creates the loads.
 * @param opts the endpoints and what others reported
 * @returns the loads
 */
export function createPoolLoads (opts: PoolLoadsOptions): PoolLoads {
  const { endpoints, member, table } = opts
  const toPool = (item: ownedEndpoint.OwnedEndpoint): string | undefined => item.announcement?.service ?? table.get(item.id)?.service

  const sumOf = (pool: string): contracts.PoolLoad => {
    const sum: contracts.PoolLoad = { pool, load: 0, endpoints: 0, weight: 0 }
    for (const item of endpoints.values()) if (toPool(item) === pool) add(sum, item)
    return sum
  }

  const toCap = (endpoint: ownedEndpoint.OwnedEndpoint): Cap => {
    const announcement = endpoint.announcement as contracts.Announcement
    if (!opts.isCapped) return { cap: Infinity, total: 0, ageMs: 0 }
    const others = member.remoteLoad(announcement.service)
    const own = sumOf(announcement.service)
    const factor = member.document()?.services[announcement.service]?.loadFactor ?? DEFAULT_FACTOR
    const total = (others?.load ?? 0) + own.load
    const cap = routing.toLoadCap({ factor, total, weightSum: (others?.weight ?? 0) + own.weight, weight: announcement.weight, slots: announcement.slots })
    return { cap, total, ageMs: others === undefined ? Infinity : performance.now() - others.receivedAt }
  }

  return {
    toCap,
    toPoolLoads () {
      const pools = new Set([...endpoints.values()].map(toPool).filter(pool => pool !== undefined))
      return [...pools].map(sumOf)
    },
    toStatus: () => [...endpoints.values()].flatMap(item => {
      const { announcement } = item
      if (announcement === undefined) return []
      const { cap } = toCap(item)
      const state = ownedEndpoint.isReady(item) ? 'ready' : announcement.state === 'leaving' ? 'leaving' : 'silent'
      return [{ endpoint: item.id, service: announcement.service, zone: announcement.zone, state, load: ownedEndpoint.toLoad(item), cap: Number.isFinite(cap) ? cap : announcement.slots, queued: item.queue.size() }]
    })
  }
}

function add (sum: contracts.PoolLoad, item: ownedEndpoint.OwnedEndpoint): void {
  // Without the foreign load: the earlier owner reports that itself.
  sum.load += item.sessions.size
  if (!ownedEndpoint.isReady(item)) return
  sum.endpoints++
  sum.weight += item.announcement?.weight ?? 0
}
