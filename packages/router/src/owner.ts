/**
 * The owner role: all work for an endpoint passes through the one instance that owns it, so the load cap, the end of work
 * for a leaving endpoint, and the fencing of orders are local checks on exact counts.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'
import * as telemetry from '@kingcupdeck/telemetry'
import type * as attempts from './attempts.js'
import * as execution from './execution.js'
import * as memory from './expiringSet.js'
import * as ownedEndpoint from './ownedEndpoint.js'
import * as sessions from './session.js'

/** What the owner role is built from. */
export interface OwnerOptions {
  member: membership.Membership
  table: membership.EndpointTable
  gossip: membership.Gossip
  suspects: routing.Suspects
  log: telemetry.Log
  metrics: telemetry.RouterMetrics
  invariants: telemetry.Invariants
  policy: routing.Policy
  /** Whether chats that run away from their cache take it along. */
  isImporting: boolean
  /** Tells all peers of suspects. */
  spreadSuspects (): void
}

/** The owner role of an instance. */
export interface Owner {
  readonly endpoints: ReadonlyMap<string, ownedEndpoint.OwnedEndpoint>
  /** Takes a request for an endpoint; its events go to the sink. */
  dispatch (msg: contracts.Dispatch, sink: attempts.Sink): void
  /** Drops an attempt. @returns whether a byte of it may have reached an endpoint */
  cancel (attempt: string): { reached: boolean }
  /** Takes an announcement of an endpoint that this instance owns. */
  takeAnnouncement (announcement: contracts.Announcement, handedOver: number): void
  /** Remembers where a chat ran. */
  notePlace (chat: string, home: string, endpoint: string): void
  /** @returns whether this instance owns an endpoint and nobody else can still act as its owner */
  owns (endpoint: membership.Owned): boolean
  /** Notes that an endpoint went away or silent. */
  markGone (endpoint: ownedEndpoint.OwnedEndpoint): void
  /** Admits what can be admitted now. */
  pump (endpoint: ownedEndpoint.OwnedEndpoint): void
  /** Ends the wait of everything queued on an endpoint. */
  declineQueue (endpoint: ownedEndpoint.OwnedEndpoint, reason: contracts.DeclineReason): void
  /** @returns what is in flight, per pool */
  loads (): contracts.PoolLoad[]
  /** @returns requests in flight or queued */
  inFlight (): number
}

/** Cancelled attempts are remembered this long, in case their request is still under way on a dead link. */
const CANCELLED_MEMORY_MS = 30_000
/** An attempt whose entry instance went away is kept this long for it to attach again. */
const DETACHED_MS = 3000

/**
 * Creates the owner role.
 * @param opts what it works with
 * @returns the role, owning nothing yet
 */
export function createOwner (opts: OwnerOptions): Owner {
  const { member, table, suspects, invariants, metrics } = opts
  const endpoints = new Map<string, ownedEndpoint.OwnedEndpoint>()
  const bySession = new Map<string, sessions.Session>()
  const cancelled = memory.createExpiringSet(CANCELLED_MEMORY_MS)
  const endedReached = memory.createExpiringSet(CANCELLED_MEMORY_MS)
  const places = routing.createSpillMemory()
  const isCapped = opts.policy === 'owner'

  const ensure = (id: string, address: string): ownedEndpoint.OwnedEndpoint => {
    let endpoint = endpoints.get(id)
    if (endpoint === undefined) {
      endpoint = ownedEndpoint.createOwnedEndpoint(id, address)
      endpoints.set(id, endpoint)
    }
    return endpoint
  }

  const owns = (endpoint: membership.Owned): boolean => {
    const { views } = member
    return views.ownerOf(endpoint)?.id === member.self().id && views.isSettledFor(endpoint)
  }

  /** @returns why an endpoint takes no work now, or undefined if it does */
  const findObstacle = (endpoint: ownedEndpoint.OwnedEndpoint, msg: contracts.Dispatch): contracts.DeclineReason | undefined => {
    const { announcement } = endpoint
    // A request is void for an owner that lapsed since: its sender may have been told that it cannot run any more.
    if (!member.isServing() || member.self().incarnation !== msg.incarnation) return 'void'
    const entry = table.get(endpoint.id)
    if (entry === undefined || !owns(entry)) return 'not_owner'
    const now = performance.now()
    const isFresh = now - endpoint.heardAt < contracts.ANNOUNCE_SILENT_MS
    if (announcement?.state !== 'ready' || !isFresh || now < endpoint.heldUntil) return 'unready'
    if (suspects.isQuarantined(msg.fingerprint)) return 'quarantined'
    return undefined
  }

  const isSuspectInTheWay = (endpoint: ownedEndpoint.OwnedEndpoint, msg: contracts.Dispatch): boolean => msg.suspect !== undefined && endpoint.suspect !== undefined

  const toCapOf = (endpoint: ownedEndpoint.OwnedEndpoint): { cap: number, total: number, ageMs: number } => {
    const announcement = endpoint.announcement as contracts.Announcement
    if (!isCapped) return { cap: Infinity, total: 0, ageMs: 0 }
    const others = member.othersLoad(announcement.service)
    const spec = member.document()?.services[announcement.service]
    const total = (others?.load ?? 0) + ownLoad(announcement.service)
    const weightSum = (others?.weight ?? 0) + ownWeight(announcement.service)
    const cap = routing.toCap({ factor: spec?.loadFactor ?? 1.25, total, weightSum, weight: announcement.weight, slots: announcement.slots })
    return { cap, total, ageMs: others === undefined ? Infinity : performance.now() - others.heardAt }
  }

  const ownedOf = (service: string): ownedEndpoint.OwnedEndpoint[] => [...endpoints.values()].filter(item => (item.announcement?.service ?? table.get(item.id)?.service) === service)
  const ownLoad = (service: string): number => ownedOf(service).reduce((sum, item) => sum + item.sessions.size, 0)
  const ownWeight = (service: string): number => ownedOf(service).reduce((sum, item) => sum + (isReady(item) ? item.announcement?.weight ?? 0 : 0), 0)
  const isReady = (item: ownedEndpoint.OwnedEndpoint): boolean => item.announcement?.state === 'ready' && performance.now() - item.heardAt < contracts.ANNOUNCE_SILENT_MS

  const decline = (session: sessions.Session, reason: contracts.DeclineReason, extra: { load?: number, retryAfterMs?: number, endpoint?: string } = {}): void => {
    clearTimeout(session.patienceTimer)
    session.state = 'ended'
    bySession.delete(session.msg.attempt)
    metrics.attempts.inc({ outcome: `declined_${reason}` })
    invariants.check('notRunIsTrue', !session.reached, () => `${session.msg.attempt} declined as ${reason} after it was sent`)
    session.emit({ t: 'declined', attempt: session.msg.attempt, reason, load: extra.load ?? 0, retryAfterMs: extra.retryAfterMs ?? 0, endpoint: extra.endpoint })
  }

  const admit = (endpoint: ownedEndpoint.OwnedEndpoint, session: sessions.Session, cap: { cap: number, total: number, ageMs: number }): void => {
    const load = ownedEndpoint.toLoad(endpoint) + 1
    invariants.check('loadCap', load <= cap.cap, () => `${endpoint.id} at ${load}, cap ${cap.cap}, total ${cap.total}, heard ${Math.round(cap.ageMs)} ms ago`)
    clearTimeout(session.patienceTimer)
    session.state = 'admitted'
    session.admittedAt = performance.now()
    endpoint.sessions.add(session)
    if (session.msg.suspect !== undefined) {
      invariants.check('suspectsApart', endpoint.suspect === undefined, () => `two suspects on ${endpoint.id}`)
      endpoint.suspect = session
    }
    metrics.queued.observe({ priority: String(session.msg.rank) }, (session.admittedAt - session.queuedAt) / 1000)
    member.reportLoads()
    session.emit({ t: 'accepted', attempt: session.msg.attempt, load })
    void run(endpoint, session)
  }

  const run = async (endpoint: ownedEndpoint.OwnedEndpoint, session: sessions.Session): Promise<void> => {
    const end = await execution.runSession({
      ...opts,
      endpoint,
      session,
      findObstacle: () => findObstacle(endpoint, session.msg),
      markGone: () => { markGone(endpoint) }
    })
    endpoint.sessions.delete(session)
    endpoint.low.current = Math.min(endpoint.low.current, endpoint.sessions.size)
    if (endpoint.suspect === session) endpoint.suspect = undefined
    endpoint.wait.note(performance.now() - session.admittedAt)
    if (end.kind === 'declined') decline(session, end.reason)
    if (session.reached) endedReached.add(session.msg.attempt)
    session.state = 'ended'
    bySession.delete(session.msg.attempt)
    member.reportLoads()
    pump(endpoint)
  }

  const pump = (endpoint: ownedEndpoint.OwnedEndpoint): void => {
    while (endpoint.queue.size() > 0) {
      const announcement = endpoint.announcement
      if (announcement === undefined) {
        declineQueue(endpoint, 'not_owner')
        return
      }
      const cap = toCapOf(endpoint)
      if (ownedEndpoint.toLoad(endpoint) + 1 > cap.cap) return
      const next = endpoint.queue.take(session => !isSuspectInTheWay(endpoint, session.msg))
      if (next === undefined) return
      const obstacle = findObstacle(endpoint, next.item.msg)
      if (obstacle === undefined) admit(endpoint, next.item, cap)
      else decline(next.item, obstacle)
    }
  }

  const declineQueue = (endpoint: ownedEndpoint.OwnedEndpoint, reason: contracts.DeclineReason): void => {
    for (const session of endpoint.queue.items()) {
      endpoint.queue.remove(session)
      decline(session, reason)
    }
  }

  const enqueue = (endpoint: ownedEndpoint.OwnedEndpoint, session: sessions.Session, cap: number): void => {
    const { msg } = session
    const predictedMs = endpoint.wait.predict(endpoint.queue.ahead(msg.rank), Math.min(cap, endpoint.announcement?.slots ?? 1))
    // Given up on at once: holding the answer back until the patience is over would help nobody.
    if (predictedMs > msg.waitMs) {
      decline(session, 'patience', { load: ownedEndpoint.toLoad(endpoint), retryAfterMs: predictedMs })
      return
    }
    endpoint.queue.push({ item: session, rank: msg.rank, account: msg.account, weight: msg.accountWeight })
    session.patienceTimer = setTimeout(() => {
      if (endpoint.queue.remove(session)) decline(session, 'patience', { retryAfterMs: endpoint.wait.predict(endpoint.queue.ahead(msg.rank), cap) })
    }, msg.waitMs)
    pump(endpoint)
  }

  /** Spreads what changed of an endpoint, and says so in the log. */
  const noteEntry = (announcement: contracts.Announcement): void => {
    const entry = toEntry(announcement)
    const known = table.get(entry.id)
    const isSame = known !== undefined && JSON.stringify({ ...known, seq: 0 }) === JSON.stringify({ ...entry, seq: 0 })
    if (isSame || !opts.gossip.learn(entry)) return
    if (known?.state !== entry.state) opts.log.event(entry.state === 'ready' ? 'endpointJoined' : 'endpointLeaving', { endpoint: entry.id, service: entry.service })
  }

  const markGone = (endpoint: ownedEndpoint.OwnedEndpoint): void => {
    const entry = table.get(endpoint.id)
    endpoint.wasGone = true
    endpoint.heardAt = -Infinity
    if (entry === undefined || entry.state === 'gone') return
    const seq = Math.max(entry.seq, endpoint.announcement?.boot === entry.boot ? endpoint.announcement.seq : 0)
    opts.gossip.learn({ ...entry, seq, state: 'gone' })
    opts.log.event('endpointGone', { endpoint: endpoint.id })
    declineQueue(endpoint, 'unready')
  }

  const attachAgain = (msg: contracts.Dispatch, sink: attempts.Sink): boolean => {
    const session = bySession.get(msg.attempt)
    if (session === undefined) return false
    session.attach(sink, msg.work.kind === 'chat' ? msg.work.resumeFrom : 0)
    return true
  }

  const dispatch = (msg: contracts.Dispatch, sink: attempts.Sink): void => {
    if (attachAgain(msg, sink)) return
    const session = sessions.createSession(msg, sink)
    const entry = table.get(msg.endpoint)
    const endpoint = endpoints.get(msg.endpoint)
    if (cancelled.has(msg.attempt)) {
      decline(session, 'void')
      return
    }
    if (endpoint === undefined || entry === undefined) {
      decline(session, entry !== undefined && owns(entry) ? 'unready' : 'not_owner')
      return
    }
    const obstacle = findObstacle(endpoint, msg) ?? (isSuspectInTheWay(endpoint, msg) ? 'suspect_running' : undefined)
    if (obstacle !== undefined) {
      decline(session, obstacle, { load: ownedEndpoint.toLoad(endpoint), retryAfterMs: suspects.leftMs(msg.fingerprint) })
      return
    }
    const place = findPlace(msg)
    if (place !== undefined) {
      decline(session, 'elsewhere', { load: ownedEndpoint.toLoad(endpoint), endpoint: place })
      return
    }
    bySession.set(msg.attempt, session)
    watchEntry(endpoint, session)
    const cap = toCapOf(endpoint)
    const isFree = ownedEndpoint.toLoad(endpoint) + 1 <= cap.cap && endpoint.queue.size() === 0
    if (isFree) admit(endpoint, session, cap)
    else if (msg.waitMs > 0) enqueue(endpoint, session, cap.cap)
    else decline(session, 'full', { load: ownedEndpoint.toLoad(endpoint) })
  }

  /** A chat that last ran elsewhere is pointed there, once, while that endpoint is ready. */
  const findPlace = (msg: contracts.Dispatch): string | undefined => {
    if (msg.work.kind !== 'chat' || msg.waitMs > 0 || !isCapped) return undefined
    const place = places.get(`${msg.work.chat}\n${msg.endpoint}`)
    if (place === undefined || place === msg.endpoint || table.get(place)?.state !== 'ready') return undefined
    return place
  }

  /** Ends an attempt whose entry instance went away and did not come back. */
  const watchEntry = (endpoint: ownedEndpoint.OwnedEndpoint, session: sessions.Session): void => {
    let detachedAt: number | undefined
    const timer = setInterval(() => {
      if (session.state === 'ended') {
        clearInterval(timer)
        return
      }
      if (session.isAttached()) detachedAt = undefined
      else detachedAt ??= performance.now()
      if (detachedAt === undefined || performance.now() - detachedAt < DETACHED_MS) return
      clearInterval(timer)
      drop(session)
    }, 500)
  }

  const drop = (session: sessions.Session): { reached: boolean } => {
    // A non-idempotent call that is on its way is never cut off: its answer must reach the ledger.
    const isKept = session.msg.work.kind === 'plain' && !session.msg.work.idempotent && session.reached
    if (session.state === 'queued') {
      for (const endpoint of endpoints.values()) endpoint.queue.remove(session)
      decline(session, 'void')
    } else if (!isKept) session.abort.abort()
    return { reached: session.reached }
  }

  return {
    endpoints,
    dispatch,
    cancel (attempt) {
      cancelled.add(attempt)
      const session = bySession.get(attempt)
      if (session === undefined) return { reached: endedReached.has(attempt) }
      return drop(session)
    },
    takeAnnouncement (announcement, handedOver) {
      const endpoint = ensure(announcement.endpoint, `${announcement.host}:${announcement.port}`)
      const known = endpoint.announcement
      if (known !== undefined && (known.boot > announcement.boot || (known.boot === announcement.boot && known.seq >= announcement.seq))) return
      const isBack = endpoint.wasGone && announcement.state === 'ready'
      ownedEndpoint.takeAnnouncement(endpoint, announcement, handedOver)
      if (isBack) {
        endpoint.wasGone = false
        if (ownedEndpoint.noteReturn(endpoint)) opts.log.event('endpointFlapping', { endpoint: endpoint.id, heldMs: Math.round(endpoint.heldUntil - performance.now()) })
      }
      noteEntry(announcement)
      if (announcement.state === 'leaving') declineQueue(endpoint, 'unready')
      else pump(endpoint)
    },
    notePlace (chat, home, endpoint) {
      if (home === endpoint) places.forget(`${chat}\n${home}`)
      else places.set(`${chat}\n${home}`, endpoint)
    },
    owns,
    pump,
    markGone,
    declineQueue,
    loads () {
      const list = new Map<string, contracts.PoolLoad>()
      for (const item of endpoints.values()) {
        const pool = item.announcement?.service ?? table.get(item.id)?.service
        if (pool === undefined) continue
        const sum = list.get(pool) ?? { pool, load: 0, endpoints: 0, weight: 0 }
        sum.load += item.sessions.size
        if (isReady(item)) {
          sum.endpoints++
          sum.weight += item.announcement?.weight ?? 0
        }
        list.set(pool, sum)
      }
      return [...list.values()]
    },
    inFlight: () => bySession.size
  }
}

function toEntry (announcement: contracts.Announcement): contracts.EndpointEntry {
  return {
    id: announcement.endpoint,
    service: announcement.service,
    zone: announcement.zone,
    address: `${announcement.host}:${announcement.port}`,
    boot: announcement.boot,
    seq: announcement.seq,
    state: announcement.state,
    slots: announcement.slots,
    weight: announcement.weight,
    models: announcement.carries.map(item => item.model),
    checksFencing: announcement.checksFencing
  }
}
