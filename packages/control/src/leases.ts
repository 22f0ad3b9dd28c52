/**
 * The leases of instances, as the control leader keeps them. They live in the leader's memory only; a new leader gives
 * every member of the view a whole lease before it removes anyone, which covers whatever its predecessor granted.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as routing from '@kingcupdeck/routing'
import * as state from '@kingcupdeck/state'
import * as telemetry from '@kingcupdeck/telemetry'

/** The leases as the control leader keeps them. */
export interface Leases {
  /** Answers a renewal. */
  renew (call: Extract<contracts.ControlCall, { t: 'renew' }>, link: links.Link): Promise<contracts.ControlReply>
  /** Takes a lease back. */
  leave (id: string, incarnation: number): Promise<contracts.ControlReply>
  /** Takes what an instance reports between renewals. */
  onEvent (event: contracts.ControlEvent): void
  /** Told when this instance starts to lead or stops. */
  onLeadership (isLeader: boolean): void
  /** Told when the replicated state changed. */
  onChange (): void
  /** @returns the instances with their leases */
  toStatus (): contracts.FleetStatus['instances']
  /** @returns the load of every pool */
  pools (): contracts.PoolLoad[]
  stop (): void
}

/** What the leases are built from. */
export interface LeaseOptions {
  machine: state.FleetMachine
  /** @returns this instance's replica of the fleet's group; undefined while it starts */
  replica: () => state.Replica | undefined
  log: telemetry.Log
}

interface Row {
  incarnation: number
  expiresAt: number
  viewSeen: number
  documentVersion: number
  loads: contracts.PoolLoad[]
  link: links.Link | undefined
  /** Whether its removal is being committed: it must not be renewed any more. */
  isRemoved: boolean
}

const EXPIRE_MS = 250
const PUSH_MS = 20
const POOL_PUSH_MS = 200
/** Where requests wait for the cap. */
const URGENT_POOL_PUSH_MS = 15
/** Loads of others are pushed when they changed by more than this share. */
const POOL_CHANGE = 0.03

/**
 * Creates the leases.
 * @param opts the replicated state and the way to change it
 * @returns the leases
 */
export function createLeases (opts: LeaseOptions): Leases {
  const { machine, log } = opts
  const rows = new Map<string, Row>()
  const rates = routing.createFleetRates()
  let pushTimer: NodeJS.Timeout | undefined
  let poolTimer: NodeJS.Timeout | undefined
  let isPoolPushUrgent = false
  let pushedLoad = new Map<string, number>()

  const isReady = (): boolean => opts.replica()?.isReady() === true
  const notLeader = (): contracts.ControlReply => ({ t: 'notLeader', leader: opts.replica()?.leaderName() ?? null })
  const propose = async (cmd: state.FleetCommand): Promise<unknown> => await opts.replica()?.propose(cmd)

  const ensureRow = (id: string, incarnation: number): Row => {
    let row = rows.get(id)
    if (row === undefined || row.incarnation !== incarnation) {
      // Nobody has acted on a view before the one it joined with, which its incarnation is the number of.
      row = { incarnation, expiresAt: toExpiry(), viewSeen: incarnation, documentVersion: 0, loads: [], link: undefined, isRemoved: false }
      rows.set(id, row)
    }
    return row
  }

  const toExpiry = (): number => performance.now() + contracts.LEASE_MS + contracts.LEASE_MARGIN_MS

  const laggards = (): contracts.ViewUpdate['laggards'] => {
    const list: contracts.ViewUpdate['laggards'] = []
    for (const instance of machine.instances()) {
      const seen = ensureRow(instance.id, instance.incarnation).viewSeen
      if (seen < machine.view()) list.push({ instance: instance.id, seen })
    }
    return list
  }

  const remove = async (id: string, incarnation: number): Promise<void> => {
    const row = rows.get(id)
    if (row !== undefined && row.incarnation === incarnation) row.isRemoved = true
    await propose({ t: 'left', id, incarnation })
    if (rows.get(id)?.incarnation === incarnation) rows.delete(id)
    log.event('instanceLeft', { instance: id, incarnation, view: machine.view() })
  }

  const join = async (instance: contracts.Instance): Promise<number> => {
    const known = machine.find(instance.id)
    if (known !== undefined && known.boot !== instance.boot) {
      // The earlier process may be frozen and still hold its lease: it must run out before another one takes the name.
      if (performance.now() < ensureRow(known.id, known.incarnation).expiresAt) return 0
      await remove(known.id, known.incarnation)
    }
    const result = await propose({ t: 'join', instance }) as state.FleetResult
    if (result.t !== 'joined') return 0
    if (known === undefined) log.event('instanceJoined', { instance: instance.id, incarnation: result.incarnation, view: machine.view() })
    return result.incarnation
  }

  const expire = async (): Promise<void> => {
    if (!isReady()) return
    for (const instance of machine.instances()) {
      const row = ensureRow(instance.id, instance.incarnation)
      if (performance.now() > row.expiresAt && !row.isRemoved) await remove(instance.id, instance.incarnation)
    }
  }

  const toPools = (without: string | undefined): contracts.PoolLoad[] => {
    const sums = new Map<string, contracts.PoolLoad>()
    for (const [id, row] of rows) {
      if (id === without || row.isRemoved) continue
      for (const item of row.loads) {
        const sum = sums.get(item.pool) ?? { pool: item.pool, load: 0, endpoints: 0, weight: 0 }
        sum.load += item.load
        sum.endpoints += item.endpoints
        sum.weight += item.weight
        sums.set(item.pool, sum)
      }
    }
    return [...sums.values()]
  }

  const toLimits = (demand: ReadonlyArray<{ account: string }>): Array<{ account: string, share: number }> => {
    const accounts = machine.document()?.clientAccounts ?? {}
    return demand
      .filter(item => accounts[item.account] !== undefined)
      .map(item => ({ account: item.account, share: rates.share(item.account, accounts[item.account].requestsPerSecond) }))
      .filter(item => item.share < 1)
  }

  /** Pushes the view and the document to every instance that has not seen them. */
  const push = (): void => {
    pushTimer = undefined
    if (!isReady()) return
    const behind = laggards()
    for (const [id, row] of rows) {
      if (row.link?.isOpen() !== true) continue
      row.link.send({ t: 'view', view: machine.viewUpdate(row.viewSeen, behind) } satisfies contracts.ControlEvent)
      const update = machine.documentUpdate(row.documentVersion)
      if (update !== undefined && rows.has(id)) row.link.send({ t: 'document', document: update } satisfies contracts.ControlEvent)
    }
  }

  const queuePush = (): void => { pushTimer ??= setTimeout(push, PUSH_MS) }

  const pushPools = (): void => {
    poolTimer = undefined
    if (!isReady()) return
    const all = toPools(undefined)
    const isChanged = all.some(item => Math.abs(item.load - (pushedLoad.get(item.pool) ?? 0)) > Math.max(0, POOL_CHANGE * item.load))
    if (!isChanged) return
    pushedLoad = new Map(all.map(item => [item.pool, item.load]))
    for (const [id, row] of rows) {
      if (row.link?.isOpen() === true) row.link.send({ t: 'pools', pools: toPools(id) } satisfies contracts.ControlEvent)
    }
  }

  const queuePoolPush = (isUrgent: boolean): void => {
    if (poolTimer !== undefined && (!isUrgent || isPoolPushUrgent)) return
    clearTimeout(poolTimer)
    isPoolPushUrgent = isUrgent
    poolTimer = setTimeout(pushPools, isUrgent ? URGENT_POOL_PUSH_MS : POOL_PUSH_MS)
  }

  const noteSeen = (row: Row, viewSeen: number, documentVersion: number): void => {
    const wasBehind = row.viewSeen < machine.view()
    row.viewSeen = Math.max(row.viewSeen, viewSeen)
    row.documentVersion = Math.max(row.documentVersion, documentVersion)
    // The last one to see a view settles it for all: new owners wait for that.
    if (wasBehind && laggards().length === 0) queuePush()
  }

  const renew: Leases['renew'] = async (call, link) => {
    if (!isReady()) return notLeader()
    const { id } = call
    let { incarnation } = call
    if (incarnation === 0) {
      incarnation = call.instance === undefined ? 0 : await join(call.instance)
      if (incarnation === 0) return { t: 'lapsed', incarnation: 0 }
    }
    const known = machine.find(id)
    const row = rows.get(id)
    if (known?.incarnation !== incarnation || row?.isRemoved === true) return { t: 'lapsed', incarnation: call.incarnation }
    if (call.leaving && !known.leaving) await propose({ t: 'leaving', id, incarnation })
    // Checked again after every wait: a leader may grant only while nobody else can lead.
    if (!isReady()) return notLeader()
    const held = ensureRow(id, incarnation)
    if (held.isRemoved) return { t: 'lapsed', incarnation: call.incarnation }
    held.expiresAt = toExpiry()
    held.link = link
    held.loads = call.loads
    noteSeen(held, call.viewSeen, call.documentVersion)
    rates.add(call.demand)
    return {
      t: 'lease',
      leaseMs: contracts.LEASE_MS,
      incarnation,
      view: machine.viewUpdate(call.viewSeen, laggards()),
      document: machine.documentUpdate(call.documentVersion),
      pools: toPools(id),
      limits: toLimits(call.demand)
    }
  }

  const timer = setInterval(() => { expire().catch(() => {}) }, EXPIRE_MS)

  return {
    renew,
    async leave (id, incarnation) {
      if (!isReady()) return notLeader()
      await remove(id, incarnation)
      return { t: 'left' }
    },
    onEvent (event) {
      if (event.t !== 'loads' && event.t !== 'viewSeen') return
      const row = rows.get(event.instance)
      if (row === undefined || row.incarnation !== event.incarnation) return
      if (event.t === 'viewSeen') noteSeen(row, event.viewSeen, event.documentVersion)
      else {
        row.loads = event.loads
        queuePoolPush(event.isUrgent)
      }
    },
    onLeadership (isLeader) {
      rows.clear()
      if (!isLeader) return
      for (const instance of machine.instances()) ensureRow(instance.id, instance.incarnation)
    },
    onChange: queuePush,
    toStatus: () => machine.instances().map(instance => {
      const row = rows.get(instance.id)
      return { ...instance, documentVersion: row?.documentVersion ?? 0, viewSeen: row?.viewSeen ?? 0, leaseMsLeft: Math.round((row?.expiresAt ?? 0) - performance.now()) }
    }),
    pools: () => toPools(undefined),
    stop () {
      clearInterval(timer)
      clearTimeout(pushTimer)
      clearTimeout(poolTimer)
    }
  }
}
