/** Loads and caps of owned endpoints, from exact own counts and the last loads reported by other instances. */
import * as contracts from '@kingcupdeck/contracts'
import * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'
import * as ownedEndpoint from './ownedEndpoint.js'

/** Load cap of an endpoint, with the total load of its pool and the age of the other instances' loads. */
export interface Cap { cap: number, total: number, ageMs: number }

/** Loads and caps of owned endpoints. */
export interface PoolLoads {
  /** Returns how many requests an endpoint may have in flight; the endpoint must have an announcement. */
  toCap (endpoint: ownedEndpoint.OwnedEndpoint): Cap
  /** Returns the requests that this instance has in flight, per pool. */
  toPoolLoads (): contracts.PoolLoad[]
  /** Returns the endpoints that announce themselves to this instance. */
  toStatus (): contracts.EndpointStatus[]
}

/** Dependencies of {@link createPoolLoads}. */
export interface PoolLoadsOptions {
  endpoints: ReadonlyMap<string, ownedEndpoint.OwnedEndpoint>
  member: membership.Membership
  table: membership.EndpointTable
  /** Whether the load cap is enforced; only the `owner` policy does. */
  isCapped: boolean
}

const DEFAULT_LOAD_FACTOR = 1.25

/** Creates the view of loads and caps. */
export function createPoolLoads (opts: PoolLoadsOptions): PoolLoads {
  const { endpoints, member, table } = opts
  const toPool = (item: ownedEndpoint.OwnedEndpoint): string | undefined => item.announcement?.service ?? table.get(item.id)?.service

  const sumLoad = (pool: string): contracts.PoolLoad => {
    const sum: contracts.PoolLoad = { pool, load: 0, endpoints: 0, weight: 0 }
    for (const item of endpoints.values()) if (toPool(item) === pool) addEndpoint(sum, item)
    return sum
  }

  const toCap = (endpoint: ownedEndpoint.OwnedEndpoint): Cap => {
    const announcement = endpoint.announcement as contracts.Announcement
    if (!opts.isCapped) return { cap: Infinity, total: 0, ageMs: 0 }
    const others = member.remoteLoad(announcement.service)
    const own = sumLoad(announcement.service)
    const factor = member.document()?.services[announcement.service]?.loadFactor ?? DEFAULT_LOAD_FACTOR
    const total = (others?.load ?? 0) + own.load
    const cap = routing.toLoadCap({ factor, total, weightSum: (others?.weight ?? 0) + own.weight, weight: announcement.weight, slots: announcement.slots })
    return { cap, total, ageMs: others === undefined ? Infinity : performance.now() - others.receivedAt }
  }

  return {
    toCap,
    toPoolLoads () {
      const pools = new Set([...endpoints.values()].map(toPool).filter(pool => pool !== undefined))
      return [...pools].map(sumLoad)
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

function addEndpoint (sum: contracts.PoolLoad, item: ownedEndpoint.OwnedEndpoint): void {
  // Inherited load is left out, because the previous owner reports it.
  sum.load += item.sessions.size
  if (!ownedEndpoint.isReady(item)) return
  sum.endpoints++
  sum.weight += item.announcement?.weight ?? 0
}
