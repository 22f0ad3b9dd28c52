/**
 * The owner role: all requests for an endpoint pass through the one instance that owns it, so that the load cap, draining
 * and the fencing of orders are local checks on exact counts.
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
import * as expiringSets from './expiringSet.js'
import * as ownedEndpoint from './ownedEndpoint.js'
import * as poolLoads from './poolLoads.js'
import * as sessions from './session.js'

/** Dependencies of {@link createOwner}. */
export interface OwnerOptions {
  member: membership.Membership
  table: membership.EndpointTable
  gossip: membership.Gossip
  suspects: routing.Suspects
  log: telemetry.Log
  metrics: telemetry.RouterMetrics
  invariants: telemetry.Invariants
  policy: routing.PlacementPolicy
  /** Whether an engine imports a chat's KV cache from the endpoint that last served the chat. */
  isKvImportEnabled: boolean
  /** Sends suspects to all peers. */
  broadcastSuspects (fingerprints: readonly string[]): void
}

/** The owner role of an instance. */
export interface Owner {
  readonly endpoints: ReadonlyMap<string, ownedEndpoint.OwnedEndpoint>
  /** Admits, queues or declines a request for an endpoint; events go to the sink. */
  dispatch (msg: contracts.Dispatch, sink: attempts.EventSink): void
  /** Cancels an attempt. @returns whether a byte of it may have reached an endpoint */
  cancel (attempt: string): { reached: boolean }
  /**
   * Applies an announcement of an endpoint that this instance owns.
   * @param handedOverLoad requests that the previous owner reported in flight
   * @returns the requested interval until the next announcement, in milliseconds
   */
  receiveAnnouncement (announcement: contracts.Announcement, handedOverLoad: number): number
  /** Records the endpoint that served a chat. */
  recordChatLocation (chat: string, home: string, endpoint: string): void
  /** Whether this instance owns an endpoint and no other instance can still act as its owner. */
  owns (endpoint: membership.EndpointLocation): boolean
  /** Removes endpoints that have no requests here and are gone or owned by another instance. */
  removeIdle (): void
  /** Marks an endpoint as gone and declines its queue. */
  markGone (endpoint: ownedEndpoint.OwnedEndpoint): void
  /** Admits queued requests up to the load cap. */
  admitQueued (endpoint: ownedEndpoint.OwnedEndpoint): void
  /** Declines all queued requests of an endpoint. */
  declineQueue (endpoint: ownedEndpoint.OwnedEndpoint, reason: contracts.DeclineReason): void
  /** Returns the endpoints that announce themselves to this instance. */
  toStatus (): contracts.EndpointStatus[]
  /** Returns the requests in flight per pool. */
  loads (): contracts.PoolLoad[]
  /** Returns the number of requests in flight or queued. */
  inFlight (): number
}

/** Retention of cancelled attempt ids, for dispatches that arrive late on an old link. */
const CANCELLED_RETENTION_MS = 30_000

/** Creates the owner role. */
export function createOwner (opts: OwnerOptions): Owner {
  const { member, table, suspects, invariants, metrics } = opts
  const endpoints = new Map<string, ownedEndpoint.OwnedEndpoint>()
  const sessionsByAttempt = new Map<string, sessions.Session>()
  const cancelled = expiringSets.createExpiringSet(CANCELLED_RETENTION_MS)
  const reachedAttempts = expiringSets.createExpiringSet(CANCELLED_RETENTION_MS)
  const locations = chatLocations.createChatLocations(table)
  const isCapped = opts.policy === 'owner'
  const loads = poolLoads.createPoolLoads({ endpoints, member, table, isCapped })
  const publisher = endpointGossip.createEndpointGossip(opts)

  const getOrCreate = (id: string, address: string): ownedEndpoint.OwnedEndpoint => {
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

  const findDeclineReason = (endpoint: ownedEndpoint.OwnedEndpoint, msg: contracts.Dispatch): contracts.DeclineReason | undefined => {
    // Void after this instance lost its lease: the sender may already have reported the request as not run.
    if (!member.isServing() || member.self().incarnation !== msg.incarnation) return 'void'
    const entry = table.get(endpoint.id)
    if (entry === undefined || !owns(entry)) return 'not_owner'
    if (!ownedEndpoint.isReady(endpoint) || performance.now() < endpoint.suspendedUntil) return 'unready'
    if (suspects.isQuarantined(msg.fingerprint)) return 'quarantined'
    return undefined
  }

  const isBlockedBySuspect = (endpoint: ownedEndpoint.OwnedEndpoint, msg: contracts.Dispatch): boolean => msg.suspect !== undefined && endpoint.suspect !== undefined

  const decline = (session: sessions.Session, reason: contracts.DeclineReason, extra: { load?: number, retryAfterMs?: number, endpoint?: string } = {}): void => {
    clearTimeout(session.patienceTimer)
    session.state = 'ended'
    sessionsByAttempt.delete(session.msg.attempt)
    metrics.attempts.inc({ outcome: `declined_${reason}` })
    invariants.check('notRunIsTrue', !session.reached, () => `attempt ${session.msg.attempt} declined with ${reason} after it was sent`)
    session.emit({ t: 'declined', attempt: session.msg.attempt, reason, load: extra.load ?? 0, retryAfterMs: extra.retryAfterMs ?? 0, endpoint: extra.endpoint })
  }

  // The cap grows at most by the load factor per exchange of loads, so loads are reported early while requests are queued.
  const reportLoads = (): void => { member.reportLoads([...endpoints.values()].some(item => item.queue.size() > 0)) }

  const admit = (endpoint: ownedEndpoint.OwnedEndpoint, session: sessions.Session, cap: poolLoads.Cap): void => {
    const load = ownedEndpoint.toLoad(endpoint) + 1
    invariants.check('loadCap', load <= cap.cap, () => `${endpoint.id} has load ${load}, cap ${cap.cap}, total ${cap.total}, loads of other instances ${Math.round(cap.ageMs)} ms old`)
    clearTimeout(session.patienceTimer)
    session.state = 'admitted'
    session.admittedAt = performance.now()
    endpoint.sessions.add(session)
    if (session.msg.suspect !== undefined) {
      invariants.check('suspectsApart', endpoint.suspect === undefined, () => `two suspect requests on ${endpoint.id}`)
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
      findDeclineReason: () => findDeclineReason(endpoint, session.msg),
      markGone: () => { markGone(endpoint) }
    })
    endpoint.sessions.delete(session)
    endpoint.lowestOwnLoad.current = Math.min(endpoint.lowestOwnLoad.current, endpoint.sessions.size)
    if (endpoint.suspect === session) endpoint.suspect = undefined
    endpoint.waitEstimate.record(performance.now() - session.admittedAt)
    if (end.kind === 'declined') decline(session, end.reason)
    if (session.reached) reachedAttempts.add(session.msg.attempt)
    session.state = 'ended'
    sessionsByAttempt.delete(session.msg.attempt)
    reportLoads()
    admitQueued(endpoint)
  }

  const admitQueued = (endpoint: ownedEndpoint.OwnedEndpoint): void => {
    while (endpoint.queue.size() > 0) {
      const announcement = endpoint.announcement
      if (announcement === undefined) {
        declineQueue(endpoint, 'not_owner')
        return
      }
      const cap = loads.toCap(endpoint)
      if (ownedEndpoint.toLoad(endpoint) + 1 > cap.cap) return
      const next = endpoint.queue.take(session => !isBlockedBySuspect(endpoint, session.msg))
      if (next === undefined) return
      const reason = findDeclineReason(endpoint, next.item.msg)
      if (reason === undefined) admit(endpoint, next.item, cap)
      else decline(next.item, reason)
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
    // Declined immediately, because the wait would exceed the caller's patience.
    if (predictedMs > msg.waitMs) {
      decline(session, 'patience', { load: ownedEndpoint.toLoad(endpoint), retryAfterMs: predictedMs })
      return
    }
    endpoint.queue.push({ item: session, rank: msg.rank, account: msg.account, weight: msg.accountWeight })
    session.patienceTimer = setTimeout(() => {
      if (endpoint.queue.remove(session)) decline(session, 'patience', { retryAfterMs: predictWait(endpoint, msg.rank) })
    }, msg.waitMs)
    reportLoads()
    admitQueued(endpoint)
  }

  const markGone = (endpoint: ownedEndpoint.OwnedEndpoint): void => {
    publisher.publishGone(endpoint)
    declineQueue(endpoint, 'unready')
  }

  const reattach = (msg: contracts.Dispatch, sink: attempts.EventSink): boolean => {
    const session = sessionsByAttempt.get(msg.attempt)
    if (session === undefined) return false
    session.attach(sink, msg.work.kind === 'chat' ? msg.work.resumeFrom : 0)
    return true
  }

  const dispatch = (msg: contracts.Dispatch, sink: attempts.EventSink): void => {
    if (reattach(msg, sink)) return
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
    const reason = findDeclineReason(endpoint, msg) ?? (isBlockedBySuspect(endpoint, msg) ? 'suspect_running' : undefined)
    if (reason !== undefined) {
      decline(session, reason, { load: ownedEndpoint.toLoad(endpoint), retryAfterMs: suspects.remainingMs(msg.fingerprint) })
      return
    }
    const location = isCapped ? locations.find(msg) : undefined
    if (location !== undefined) {
      decline(session, 'elsewhere', { load: ownedEndpoint.toLoad(endpoint), endpoint: location })
      return
    }
    sessionsByAttempt.set(msg.attempt, session)
    detachedSessions.watchDetached(session, () => { drop(session) })
    const cap = loads.toCap(endpoint)
    const hasCapacity = ownedEndpoint.toLoad(endpoint) + 1 <= cap.cap && endpoint.queue.size() === 0
    if (hasCapacity) admit(endpoint, session, cap)
    else if (msg.waitMs > 0) enqueue(endpoint, session)
    else decline(session, 'full', { load: ownedEndpoint.toLoad(endpoint) })
  }

  const drop = (session: sessions.Session): { reached: boolean } => {
    // A non-idempotent call that was sent is never aborted, because its answer must be recorded in the ledger.
    const mustFinish = session.msg.work.kind === 'plain' && !session.msg.work.idempotent && session.reached
    if (session.state === 'queued') {
      for (const endpoint of endpoints.values()) endpoint.queue.remove(session)
      decline(session, 'void')
    } else if (!mustFinish) session.abort.abort()
    return { reached: session.reached }
  }

  return {
    endpoints,
    dispatch,
    cancel (attempt) {
      cancelled.add(attempt)
      const session = sessionsByAttempt.get(attempt)
      if (session === undefined) return { reached: reachedAttempts.has(attempt) }
      return drop(session)
    },
    receiveAnnouncement (announcement, handedOverLoad) {
      const endpoint = getOrCreate(announcement.endpoint, `${announcement.host}:${announcement.port}`)
      if (ownedEndpoint.isOutdated(endpoint, announcement)) return endpoint.intervalMs
      const isRecovery = endpoint.isMarkedGone && announcement.state === 'ready'
      ownedEndpoint.applyAnnouncement(endpoint, announcement, handedOverLoad)
      if (isRecovery) {
        endpoint.isMarkedGone = false
        if (ownedEndpoint.recordRecovery(endpoint)) opts.log.event('endpointFlapping', { endpoint: endpoint.id, heldMs: Math.round(endpoint.suspendedUntil - performance.now()) })
      }
      publisher.publishAnnouncement(announcement)
      if (announcement.state === 'leaving') declineQueue(endpoint, 'unready')
      else admitQueued(endpoint)
      endpoint.intervalMs = Math.max(contracts.ANNOUNCE_INTERVAL_MS, countOwned() * contracts.ANNOUNCE_BYTES / contracts.ANNOUNCE_BUDGET_BYTES_PER_SECOND * 1000)
      return endpoint.intervalMs
    },
    recordChatLocation: locations.record,
    owns,
    admitQueued,
    removeIdle () {
      for (const [id, endpoint] of endpoints) {
        const isIdle = endpoint.sessions.size === 0 && endpoint.queue.size() === 0
        const isObsolete = endpoint.announcement === undefined || (endpoint.isMarkedGone && table.get(id) === undefined)
        if (!isIdle || !isObsolete) continue
        endpoint.client.close()
        endpoints.delete(id)
      }
    },
    markGone,
    declineQueue,
    toStatus: loads.toStatus,
    loads: loads.toPoolLoads,
    inFlight: () => sessionsByAttempt.size
  }
}
