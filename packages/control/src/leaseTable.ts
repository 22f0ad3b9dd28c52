/**
 * Leases of router instances, kept in the control leader's memory only. A new leader assumes a full lease for every member
 * of the view before it removes any, which covers all leases that its predecessor granted.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as routing from '@kingcupdeck/routing'
import * as state from '@kingcupdeck/state'
import * as telemetry from '@kingcupdeck/telemetry'

/** Leases granted by the control leader. */
export interface LeaseTable {
  /** Renews a lease, or joins the instance when it has no incarnation yet. */
  renew (call: Extract<contracts.ControlCall, { t: 'renew' }>, link: links.Link): Promise<contracts.ControlReply>
  /** Ends a lease and removes the instance from the view. */
  leave (id: string, incarnation: number): Promise<contracts.ControlReply>
  /** Applies loads and seen versions that an instance reports between renewals. */
  onEvent (event: contracts.ControlEvent): void
  /** Called when this replica becomes leader or stops being leader. */
  onLeadershipChange (isLeader: boolean): void
  /** Called after each change of the replicated state. */
  onStateChange (): void
  toStatus (): contracts.FleetStatus['instances']
  /** Returns the load of every pool, summed over all instances. */
  toPoolLoads (): contracts.PoolLoad[]
  stop (): void
}

/** Options of a lease table. */
export interface LeaseTableOptions {
  machine: state.FleetMachine
  /** Returns this instance's replica of the fleet group; undefined during startup. */
  replica: () => state.Replica | undefined
  log: telemetry.Log
}

interface Lease {
  incarnation: number
  expiresAt: number
  viewSeen: number
  documentVersion: number
  loads: contracts.PoolLoad[]
  link: links.Link | undefined
  /** Whether the removal is being committed; the lease must not be renewed then. */
  isRemoved: boolean
}

const EXPIRY_CHECK_INTERVAL_MS = 250
const PUSH_DELAY_MS = 20
const POOL_PUSH_DELAY_MS = 200
/** Used when an instance has requests queued at the load cap. */
const URGENT_POOL_PUSH_DELAY_MS = 15
/** Pool loads are pushed when at least one changed by more than this ratio. */
const MIN_POOL_LOAD_CHANGE_RATIO = 0.03

/** Creates a lease table; its timers run until `stop` is called. */
export function createLeaseTable (opts: LeaseTableOptions): LeaseTable {
  const { machine, log } = opts
  const leases = new Map<string, Lease>()
  const rates = routing.createFleetRates()
  let pushTimer: NodeJS.Timeout | undefined
  let poolTimer: NodeJS.Timeout | undefined
  let isPoolPushUrgent = false
  let pushedLoads = new Map<string, number>()

  const isReady = (): boolean => opts.replica()?.isReady() === true
  const notLeader = (): contracts.ControlReply => ({ t: 'notLeader', leader: opts.replica()?.leaderName() ?? null })
  const propose = async (cmd: state.FleetCommand): Promise<unknown> => await opts.replica()?.propose(cmd)

  const ensureLease = (id: string, incarnation: number): Lease => {
    let lease = leases.get(id)
    if (lease === undefined || lease.incarnation !== incarnation) {
      // The incarnation equals the view that the instance joined with, so it has not acted on any earlier view.
      lease = { incarnation, expiresAt: toExpiry(), viewSeen: incarnation, documentVersion: 0, loads: [], link: undefined, isRemoved: false }
      leases.set(id, lease)
    }
    return lease
  }

  const toExpiry = (): number => performance.now() + contracts.LEASE_MS + contracts.LEASE_MARGIN_MS

  const listLaggards = (): contracts.ViewUpdate['laggards'] => {
    const list: contracts.ViewUpdate['laggards'] = []
    for (const instance of machine.instances()) {
      const seen = ensureLease(instance.id, instance.incarnation).viewSeen
      if (seen < machine.view()) list.push({ instance: instance.id, seen })
    }
    return list
  }

  const remove = async (id: string, incarnation: number): Promise<void> => {
    const lease = leases.get(id)
    if (lease !== undefined && lease.incarnation === incarnation) lease.isRemoved = true
    await propose({ t: 'left', id, incarnation })
    if (leases.get(id)?.incarnation === incarnation) leases.delete(id)
    log.event('instanceLeft', { instance: id, incarnation, view: machine.view() })
  }

  const join = async (instance: contracts.Instance): Promise<number> => {
    const member = machine.find(instance.id)
    if (member !== undefined && member.boot !== instance.boot) {
      // The previous process may be suspended while its lease is valid: the lease must expire before the id is reused.
      if (performance.now() < ensureLease(member.id, member.incarnation).expiresAt) return 0
      await remove(member.id, member.incarnation)
    }
    const result = await propose({ t: 'join', instance }) as state.FleetResult
    if (result.t !== 'joined') return 0
    if (member === undefined) log.event('instanceJoined', { instance: instance.id, incarnation: result.incarnation, view: machine.view() })
    return result.incarnation
  }

  const expire = async (): Promise<void> => {
    if (!isReady()) return
    for (const instance of machine.instances()) {
      const lease = ensureLease(instance.id, instance.incarnation)
      if (performance.now() > lease.expiresAt && !lease.isRemoved) await remove(instance.id, instance.incarnation)
    }
  }

  const sumPoolLoads = (excludedId: string | undefined): contracts.PoolLoad[] => {
    const sums = new Map<string, contracts.PoolLoad>()
    for (const [id, lease] of leases) {
      if (id === excludedId || lease.isRemoved) continue
      for (const item of lease.loads) {
        const sum = sums.get(item.pool) ?? { pool: item.pool, load: 0, endpoints: 0, weight: 0 }
        sum.load += item.load
        sum.endpoints += item.endpoints
        sum.weight += item.weight
        sums.set(item.pool, sum)
      }
    }
    return [...sums.values()]
  }

  const toRateLimits = (demand: ReadonlyArray<{ account: string }>): Array<{ account: string, share: number }> => {
    const accounts = machine.document()?.clientAccounts ?? {}
    return demand
      .filter(item => accounts[item.account] !== undefined)
      .map(item => ({ account: item.account, share: rates.share(item.account, accounts[item.account].requestsPerSecond) }))
      .filter(item => item.share < 1)
  }

  /** Pushes the view and, where outdated, the document to every connected instance. */
  const push = (): void => {
    pushTimer = undefined
    if (!isReady()) return
    const laggards = listLaggards()
    for (const [id, lease] of leases) {
      if (lease.link?.isOpen() !== true) continue
      lease.link.send({ t: 'view', view: machine.viewUpdate(lease.viewSeen, laggards) } satisfies contracts.ControlEvent)
      const update = machine.documentUpdate(lease.documentVersion)
      if (update !== undefined && leases.has(id)) lease.link.send({ t: 'document', document: update } satisfies contracts.ControlEvent)
    }
  }

  const schedulePush = (): void => { pushTimer ??= setTimeout(push, PUSH_DELAY_MS) }

  const pushPools = (): void => {
    poolTimer = undefined
    if (!isReady()) return
    const all = sumPoolLoads(undefined)
    const isChanged = all.some(item => Math.abs(item.load - (pushedLoads.get(item.pool) ?? 0)) > Math.max(0, MIN_POOL_LOAD_CHANGE_RATIO * item.load))
    if (!isChanged) return
    pushedLoads = new Map(all.map(item => [item.pool, item.load]))
    for (const [id, lease] of leases) {
      if (lease.link?.isOpen() === true) lease.link.send({ t: 'pools', pools: sumPoolLoads(id) } satisfies contracts.ControlEvent)
    }
  }

  const schedulePoolPush = (isUrgent: boolean): void => {
    if (poolTimer !== undefined && (!isUrgent || isPoolPushUrgent)) return
    clearTimeout(poolTimer)
    isPoolPushUrgent = isUrgent
    poolTimer = setTimeout(pushPools, isUrgent ? URGENT_POOL_PUSH_DELAY_MS : POOL_PUSH_DELAY_MS)
  }

  const updateSeenVersions = (lease: Lease, viewSeen: number, documentVersion: number): void => {
    const wasBehind = lease.viewSeen < machine.view()
    lease.viewSeen = Math.max(lease.viewSeen, viewSeen)
    lease.documentVersion = Math.max(lease.documentVersion, documentVersion)
    // Owners in the new view wait until every instance has seen it, so push as soon as the last one has.
    if (wasBehind && listLaggards().length === 0) schedulePush()
  }

  const renew: LeaseTable['renew'] = async (call, link) => {
    if (!isReady()) return notLeader()
    const { id } = call
    let { incarnation } = call
    if (incarnation === 0) {
      incarnation = call.instance === undefined ? 0 : await join(call.instance)
      if (incarnation === 0) return { t: 'lapsed', incarnation: 0 }
    }
    const member = machine.find(id)
    const current = leases.get(id)
    if (member?.incarnation !== incarnation || current?.isRemoved === true) return { t: 'lapsed', incarnation: call.incarnation }
    if (call.leaving && !member.leaving) await propose({ t: 'leaving', id, incarnation })
    // Checked again after each await: a leader may grant leases only while no other replica can lead.
    if (!isReady()) return notLeader()
    const lease = ensureLease(id, incarnation)
    if (lease.isRemoved) return { t: 'lapsed', incarnation: call.incarnation }
    lease.expiresAt = toExpiry()
    lease.link = link
    lease.loads = call.loads
    updateSeenVersions(lease, call.viewSeen, call.documentVersion)
    rates.add(call.demand)
    return {
      t: 'lease',
      leaseMs: contracts.LEASE_MS,
      incarnation,
      view: machine.viewUpdate(call.viewSeen, listLaggards()),
      document: machine.documentUpdate(call.documentVersion),
      pools: sumPoolLoads(id),
      limits: toRateLimits(call.demand)
    }
  }

  const timer = setInterval(() => { expire().catch(() => {}) }, EXPIRY_CHECK_INTERVAL_MS)

  return {
    renew,
    async leave (id, incarnation) {
      if (!isReady()) return notLeader()
      await remove(id, incarnation)
      return { t: 'left' }
    },
    onEvent (event) {
      if (event.t !== 'loads' && event.t !== 'viewSeen') return
      const lease = leases.get(event.instance)
      if (lease === undefined || lease.incarnation !== event.incarnation) return
      if (event.t === 'viewSeen') updateSeenVersions(lease, event.viewSeen, event.documentVersion)
      else {
        lease.loads = event.loads
        schedulePoolPush(event.isUrgent)
      }
    },
    onLeadershipChange (isLeader) {
      leases.clear()
      if (!isLeader) return
      for (const instance of machine.instances()) ensureLease(instance.id, instance.incarnation)
    },
    onStateChange: schedulePush,
    toStatus: () => machine.instances().map(instance => {
      const lease = leases.get(instance.id)
      return { ...instance, documentVersion: lease?.documentVersion ?? 0, viewSeen: lease?.viewSeen ?? 0, leaseMsLeft: Math.round((lease?.expiresAt ?? 0) - performance.now()) }
    }),
    toPoolLoads: () => sumPoolLoads(undefined),
    stop () {
      clearInterval(timer)
      clearTimeout(pushTimer)
      clearTimeout(poolTimer)
    }
  }
}
