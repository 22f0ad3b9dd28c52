/**
 * The owner role: all work for an endpoint passes through the one instance that owns it, so the load cap, the end of work
 * for a leaving endpoint, and the fencing of orders are local checks on exact counts.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'
import * as telemetry from '@kingcupdeck/telemetry'
import type * as attempts from './attempts.js'
import * as chatLocations from './chatLocations.js'
import * as detachedSessions from './detachedSession.js'
import * as endpointGossip from './endpointGossip.js'
import * as execution from './execution.js'
import * as memory from './expiringSet.js'
import * as ownedEndpoint from './ownedEndpoint.js'
import * as poolLoads from './poolLoads.js'
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
  policy: routing.PlacementPolicy
  /** Whether chats that run away from their cache take it along. */
  isKvImportEnabled: boolean
  /** Tells all peers of suspects. */
  broadcastSuspects (fingerprints: readonly string[]): void
}

/** The owner role of an instance. */
export interface Owner {
  readonly endpoints: ReadonlyMap<string, ownedEndpoint.OwnedEndpoint>
  /** Takes a request for an endpoint; its events go to the sink. */
  dispatch (msg: contracts.Dispatch, sink: attempts.EventSink): void
  /** Drops an attempt. @returns whether a byte of it may have reached an endpoint */
  cancel (attempt: string): { reached: boolean }
  /** Takes an announcement of an endpoint that this instance owns. @returns when the next one is wanted, ms */
  receiveAnnouncement (announcement: contracts.Announcement, handedOver: number): number
  /** Remembers where a chat ran. */
  recordChatLocation (chat: string, home: string, endpoint: string): void
  /** @returns whether this instance owns an endpoint and nobody else can still act as its owner */
  owns (endpoint: membership.EndpointLocation): boolean
  /** Forgets endpoints that are owned elsewhere or gone, once nothing of theirs runs here. */
  removeIdle (): void
  /** Notes that an endpoint went away or silent. */
  markGone (endpoint: ownedEndpoint.OwnedEndpoint): void
  /** Admits what can be admitted now. */
  admitQueued (endpoint: ownedEndpoint.OwnedEndpoint): void
  /** Ends the wait of everything queued on an endpoint. */
  declineQueue (endpoint: ownedEndpoint.OwnedEndpoint, reason: contracts.DeclineReason): void
  /** @returns the endpoints that announce themselves here, for operators */
  toStatus (): contracts.EndpointStatus[]
  /** @returns what is in flight, per pool */
  loads (): contracts.PoolLoad[]
  /** @returns requests in flight or queued */
  inFlight (): number
}

/** Cancelled attempts are remembered this long, in case their request is still under way on a dead link. */
const CANCELLED_MEMORY_MS = 30_000

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
  const places = chatLocations.createChatLocations(table)
  const isCapped = opts.policy === 'owner'
  const loads = poolLoads.createPoolLoads({ endpoints, member, table, isCapped })
  const news = endpointGossip.createEndpointGossip(opts)

  const ensure = (id: string, address: string): ownedEndpoint.OwnedEndpoint => {
    let endpoint = endpoints.get(id)
    if (endpoint === undefined) {
      endpoint = ownedEndpoint.createOwnedEndpoint(id, address)
      endpoints.set(id, endpoint)
    }
    return endpoint
  }

  const countOwned = (): number => [...endpoints.values()].filter(item => item.announcement !== undefined).length

  const owns = (endpoint: membership.EndpointLocation): boolean => {
    const { views } = member
    return views.ownerOf(endpoint)?.id === member.self().id && views.isOwnershipSettled(endpoint)
  }

  /** @returns why an endpoint takes no work now, or undefined if it does */
  const findObstacle = (endpoint: ownedEndpoint.OwnedEndpoint, msg: contracts.Dispatch): contracts.DeclineReason | undefined => {
    // A request is void for an owner that lapsed since: its sender may have been told that it cannot run any more.
    if (!member.isServing() || member.self().incarnation !== msg.incarnation) return 'void'
    const entry = table.get(endpoint.id)
    if (entry === undefined || !owns(entry)) return 'not_owner'
    if (!ownedEndpoint.isReady(endpoint) || performance.now() < endpoint.suspendedUntil) return 'unready'
    if (suspects.isQuarantined(msg.fingerprint)) return 'quarantined'
    return undefined
  }

  const isSuspectInTheWay = (endpoint: ownedEndpoint.OwnedEndpoint, msg: contracts.Dispatch): boolean => msg.suspect !== undefined && endpoint.suspect !== undefined

  const decline = (session: sessions.Session, reason: contracts.DeclineReason, extra: { load?: number, retryAfterMs?: number, endpoint?: string } = {}): void => {
    clearTimeout(session.patienceTimer)
    session.state = 'ended'
    bySession.delete(session.msg.attempt)
    metrics.attempts.inc({ outcome: `declined_${reason}` })
    invariants.check('notRunIsTrue', !session.reached, () => `${session.msg.attempt} declined as ${reason} after it was sent`)
    session.emit({ t: 'declined', attempt: session.msg.attempt, reason, load: extra.load ?? 0, retryAfterMs: extra.retryAfterMs ?? 0, endpoint: extra.endpoint })
  }

  // While requests wait for the cap, it must rise quickly: it can grow by the load factor with each exchange of loads, and
  // a burst would otherwise wait for a dozen of them.
  const reportLoads = (): void => { member.reportLoads([...endpoints.values()].some(item => item.queue.size() > 0)) }

  const admit = (endpoint: ownedEndpoint.OwnedEndpoint, session: sessions.Session, cap: poolLoads.Cap): void => {
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
    reportLoads()
    session.emit({ t: 'accepted', attempt: session.msg.attempt, load })
    void run(endpoint, session)
  }

  const run = async (endpoint: ownedEndpoint.OwnedEndpoint, session: sessions.Session): Promise<void> => {
    const end = await execution.runSession({
      ...opts,
      endpoint,
      session,
      findDeclineReason: () => findObstacle(endpoint, session.msg),
      markGone: () => { markGone(endpoint) }
    })
    endpoint.sessions.delete(session)
    endpoint.lowestOwnLoad.current = Math.min(endpoint.lowestOwnLoad.current, endpoint.sessions.size)
    if (endpoint.suspect === session) endpoint.suspect = undefined
    endpoint.waitEstimate.record(performance.now() - session.admittedAt)
    if (end.kind === 'declined') decline(session, end.reason)
    if (session.reached) endedReached.add(session.msg.attempt)
    session.state = 'ended'
    bySession.delete(session.msg.attempt)
    reportLoads()
    pump(endpoint)
  }

  const pump = (endpoint: ownedEndpoint.OwnedEndpoint): void => {
    while (endpoint.queue.size() > 0) {
      const announcement = endpoint.announcement
      if (announcement === undefined) {
        declineQueue(endpoint, 'not_owner')
        return
      }
      const cap = loads.toCap(endpoint)
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

  const predictWait = (endpoint: ownedEndpoint.OwnedEndpoint, rank: number): number => endpoint.waitEstimate.predict(ownedEndpoint.toLoad(endpoint), endpoint.queue.countAhead(rank), endpoint.announcement?.slots ?? 1)

  const enqueue = (endpoint: ownedEndpoint.OwnedEndpoint, session: sessions.Session): void => {
    const { msg } = session
    const predictedMs = predictWait(endpoint, msg.rank)
    // Given up on at once: holding the answer back until the patience is over would help nobody.
    if (predictedMs > msg.waitMs) {
      decline(session, 'patience', { load: ownedEndpoint.toLoad(endpoint), retryAfterMs: predictedMs })
      return
    }
    endpoint.queue.push({ item: session, rank: msg.rank, account: msg.account, weight: msg.accountWeight })
    session.patienceTimer = setTimeout(() => {
      if (endpoint.queue.remove(session)) decline(session, 'patience', { retryAfterMs: predictWait(endpoint, msg.rank) })
    }, msg.waitMs)
    reportLoads()
    pump(endpoint)
  }

  const markGone = (endpoint: ownedEndpoint.OwnedEndpoint): void => {
    news.publishGone(endpoint)
    declineQueue(endpoint, 'unready')
  }

  const attachAgain = (msg: contracts.Dispatch, sink: attempts.EventSink): boolean => {
    const session = bySession.get(msg.attempt)
    if (session === undefined) return false
    session.attach(sink, msg.work.kind === 'chat' ? msg.work.resumeFrom : 0)
    return true
  }

  const dispatch = (msg: contracts.Dispatch, sink: attempts.EventSink): void => {
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
      decline(session, obstacle, { load: ownedEndpoint.toLoad(endpoint), retryAfterMs: suspects.remainingMs(msg.fingerprint) })
      return
    }
    const place = isCapped ? places.find(msg) : undefined
    if (place !== undefined) {
      decline(session, 'elsewhere', { load: ownedEndpoint.toLoad(endpoint), endpoint: place })
      return
    }
    bySession.set(msg.attempt, session)
    detachedSessions.watchDetached(session, () => { drop(session) })
    const cap = loads.toCap(endpoint)
    const isFree = ownedEndpoint.toLoad(endpoint) + 1 <= cap.cap && endpoint.queue.size() === 0
    if (isFree) admit(endpoint, session, cap)
    else if (msg.waitMs > 0) enqueue(endpoint, session)
    else decline(session, 'full', { load: ownedEndpoint.toLoad(endpoint) })
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
    receiveAnnouncement (announcement, handedOver) {
      const endpoint = ensure(announcement.endpoint, `${announcement.host}:${announcement.port}`)
      if (ownedEndpoint.isOutdated(endpoint, announcement)) return endpoint.intervalMs
      const isBack = endpoint.isMarkedGone && announcement.state === 'ready'
      ownedEndpoint.applyAnnouncement(endpoint, announcement, handedOver)
      if (isBack) {
        endpoint.isMarkedGone = false
        if (ownedEndpoint.recordRecovery(endpoint)) opts.log.event('endpointFlapping', { endpoint: endpoint.id, heldMs: Math.round(endpoint.suspendedUntil - performance.now()) })
      }
      news.publishAnnouncement(announcement)
      if (announcement.state === 'leaving') declineQueue(endpoint, 'unready')
      else pump(endpoint)
      endpoint.intervalMs = Math.max(contracts.ANNOUNCE_INTERVAL_MS, countOwned() * contracts.ANNOUNCE_BYTES / contracts.ANNOUNCE_BUDGET_BYTES_PER_SECOND * 1000)
      return endpoint.intervalMs
    },
    recordChatLocation: places.record,
    owns,
    admitQueued: pump,
    removeIdle () {
      for (const [id, endpoint] of endpoints) {
        const isIdle = endpoint.sessions.size === 0 && endpoint.queue.size() === 0
        const isElsewhere = endpoint.announcement === undefined || (endpoint.isMarkedGone && table.get(id) === undefined)
        if (!isIdle || !isElsewhere) continue
        endpoint.client.close()
        endpoints.delete(id)
      }
    },
    markGone,
    declineQueue,
    toStatus: loads.toStatus,
    loads: loads.toPoolLoads,
    inFlight: () => bySession.size
  }
}
