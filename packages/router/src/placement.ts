/** Finds an owner that takes a request: home first, then spills, then a place in a queue within the caller's patience. */
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'
import * as attempts from './attempts.js'
import * as cacheFinders from './cacheFinder.js'
import * as ids from './ids.js'
import * as traces from './traces.js'

/** A request as placing sees it. */
export interface PlacementRequest {
  requestId: string
  service: string
  /** What keeps a chat together. */
  key: string
  fingerprint: string
  account: string
  accountWeight: number
  rank: number
  /** @returns the body for an endpoint, as it stands now */
  toBody (): Uint8Array
  /** Monotonic time at which the caller's patience ends. */
  patienceUntil: number
  /** The model that an endpoint must carry, if it needs one. */
  model: string | undefined
  /** @returns the work for an endpoint, with where the chat's cache lies */
  toWork (importFrom: string | undefined): contracts.Dispatch['work']
  /** Whether it may run twice. */
  isIdempotent: boolean
  /** Whether the chat was here before, so that a cache is worth looking for. */
  isMultiTurn: boolean
  /** Endpoints that failed it already. */
  excluded: Set<string>
  /** Whether it was in flight at a death of an endpoint. */
  isSuspect: boolean
  trace: traces.Trace
  /** Aborted when the caller goes away. */
  signal: AbortSignal
}

/** An attempt that an owner took. */
export interface Placed { kind: 'placed', attempt: attempts.Attempt, owner: contracts.Instance, endpoint: string, msg: contracts.Dispatch }

/** What came of placement. */
export type PlacementResult = Placed | { kind: 'failed', failure: contracts.Failure }

/** What placing is built from. */
export interface PlacerOptions {
  member: membership.Membership
  table: membership.EndpointTable
  attempts: attempts.Attempts
  suspects: routing.Suspects
  policy: routing.PlacementPolicy
  random: () => number
  /** @returns addresses of other instances, for a caller that must go elsewhere */
  otherAddresses (): string[]
}

/** Places requests. */
export interface Placer {
  place (request: PlacementRequest): Promise<PlacementResult>
  /** Hands one request to the owner of a certain endpoint. */
  tryEndpoint (request: PlacementRequest, endpoint: string, how: TryOptions): Promise<TryResult>
  /** Notes that this instance has one more or one less in flight on an endpoint. */
  adjustInFlight (endpoint: string, by: 1 | -1): void
}

/** How an endpoint is asked. */
export interface TryOptions { waitMs: number, importFrom: string | undefined, attemptId?: string }

/** An owner's refusal; nothing of the request went to an endpoint. */
export interface Declined { kind: 'declined', reason: contracts.DeclineReason, load: number, retryAfterMs: number, endpoint: string | undefined }

/** What one owner said. */
export type TryResult =
  | Placed
  | Declined
  | { kind: 'uncertain', owner: contracts.Instance, attemptId: string }

/** One search through the endpoints of a pool. */
interface Search {
  /** Endpoints by rendezvous rank: the chat's home first. */
  ranked: readonly string[]
  /** Endpoints still to be asked, in order. */
  queue: string[]
  /** Where the chat last ran, if the home's owner says so. */
  place: string | undefined
  /** Of the endpoints at their cap, the one with the least load. */
  leastFull: { endpoint: string, load: number } | undefined
}

type Round = PlacementResult | { kind: 'none', retryAfterMs: number }

/** Asking more owners than this for a free place costs more than a short wait in a queue. */
const MAX_TRIES = 6
const FIRST_PAUSE_MS = 60
const MAX_PAUSE_MS = 500
/** With no endpoint at all, a request waits no longer than an ownership takes to move. */
const NO_ENDPOINT_MS = 8000
const NO_ENDPOINT_RETRY_MS = 3000
/** A load that was heard longer ago says nothing. */
const LOAD_MEMORY_MS = 3000

/**
 * Creates a placer.
 * @param opts what it decides with
 * @returns the placer
 */
export function createPlacer (opts: PlacerOptions): Placer {
  const { member, table, suspects } = opts
  const reported = new Map<string, { load: number, at: number }>()
  const own = new Map<string, number>()
  const caches = cacheFinders.createCacheFinder(table)
  let turn = 0

  const loads: routing.LoadView = {
    reported: id => {
      const known = reported.get(id)
      return known === undefined || performance.now() - known.at > LOAD_MEMORY_MS ? 0 : known.load
    },
    local: id => own.get(id) ?? 0
  }

  const noteLoad = (endpoint: string, load: number): void => { reported.set(endpoint, { load, at: performance.now() }) }

  const toCandidates = (request: PlacementRequest): readonly contracts.EndpointRecord[] => {
    const ready = table.ready(request.service, request.model)
    if (request.excluded.size === 0) return ready
    const fresh = ready.filter(entry => !request.excluded.has(entry.id))
    return fresh.length > 0 ? fresh : ready
  }

  const tryOne = async (request: PlacementRequest, endpoint: string, how: TryOptions): Promise<TryResult> => {
    const declined = (reason: contracts.DeclineReason): TryResult => ({ kind: 'declined', reason, load: 0, retryAfterMs: 0, endpoint: undefined })
    const entry = table.get(endpoint)
    const owner = entry === undefined ? undefined : member.views.ownerOf(entry)
    if (owner === undefined) return declined('not_owner')
    const msg: contracts.Dispatch = {
      t: 'dispatch',
      attempt: how.attemptId ?? ids.createAttemptId(),
      request: request.requestId,
      incarnation: owner.incarnation,
      endpoint,
      service: request.service,
      work: request.toWork(how.importFrom),
      account: request.account,
      accountWeight: request.accountWeight,
      rank: request.rank,
      waitMs: Math.max(0, how.waitMs),
      suspect: request.isSuspect ? request.fingerprint : undefined,
      fingerprint: request.fingerprint,
      body: request.toBody()
    }
    const attempt = await opts.attempts.start(owner, msg)
    const event = await attempt.next()
    switch (event.t) {
      case 'accepted':
        noteLoad(endpoint, event.load)
        request.trace.record('accepted', `${endpoint} by ${owner.id} at load ${event.load}`)
        return { kind: 'placed', attempt, owner, endpoint, msg }
      case 'declined':
        attempt.close()
        noteLoad(endpoint, event.load)
        request.trace.record('declined', `${endpoint} by ${owner.id}: ${event.reason} at load ${event.load}`)
        return { kind: 'declined', reason: event.reason, load: event.load, retryAfterMs: event.retryAfterMs, endpoint: event.endpoint }
      default:
        attempt.close()
        request.trace.record('uncertain', `${owner.id} was lost before it said whether it took the request`)
        return { kind: 'uncertain', owner, attemptId: msg.attempt }
    }
  }

  /** @returns where the chat's cache lies if it is not on the endpoint that is asked */
  const findCache = (request: PlacementRequest, endpoint: string, search: Search): string | undefined => {
    if (!request.isMultiTurn) return undefined
    return search.place ?? caches.find({ ...request, ranked: search.ranked, candidates: toCandidates(request) }, endpoint)
  }

  const resolveUncertain = async (request: PlacementRequest, tried: Extract<TryResult, { kind: 'uncertain' }>): Promise<contracts.Failure | undefined> => {
    if (request.isIdempotent) {
      void opts.attempts.cancel(tried.owner, tried.attemptId)
      return undefined
    }
    // Guards the promise "not run": a request handed to a peer that went silent may run when the peer thaws. Only the
    // peer's own word that it dropped the request makes it safe to go on.
    const ran = await opts.attempts.cancel(tried.owner, tried.attemptId)
    if (ran === 'no') return undefined
    return { kind: 'endpoint_lost', ran: 'unknown', detail: `instance ${tried.owner.id} was lost with the request` }
  }

  const place = async (request: PlacementRequest): Promise<PlacementResult> => {
    const startedAt = performance.now()
    let pauseMs = FIRST_PAUSE_MS
    const failed = (failure: contracts.Failure): PlacementResult => ({ kind: 'failed', failure })
    while (true) {
      if (request.signal.aborted) return failed({ kind: 'cancelled', ran: 'no' })
      if (suspects.isQuarantined(request.fingerprint)) return failed({ kind: 'request_quarantined', ran: 'no', deaths: suspects.crashCount(request.fingerprint), retryAfterMs: suspects.remainingMs(request.fingerprint) })
      const round = await tryRound(request)
      if (round.kind !== 'none') return round
      // A lease runs out only after the leader was out of reach for long: the caller is better off elsewhere, at once.
      if (!member.isServing()) return failed({ kind: 'not_serving', detail: 'its lease ran out', addresses: opts.otherAddresses(), retryAfterMs: 1000 })
      const now = performance.now()
      if (now > request.patienceUntil) return failed({ kind: 'patience_over', retryAfterMs: Math.max(1000, round.retryAfterMs) })
      if (now - startedAt > NO_ENDPOINT_MS) return failed({ kind: 'no_endpoint', pool: request.service, retryAfterMs: NO_ENDPOINT_RETRY_MS })
      await timers.setTimeout(pauseMs)
      pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 1.5)
    }
  }

  const tryRound = async (request: PlacementRequest): Promise<Round> => {
    const candidates = toCandidates(request)
    if (candidates.length === 0) return { kind: 'none', retryAfterMs: 0 }
    const spec = member.document()?.services[request.service]
    const order = routing.orderEndpoints({ policy: opts.policy, key: request.key, candidates, loads, loadFactor: spec?.loadFactor ?? 1.25, random: opts.random, sequence: turn++ })
    const search: Search = { ranked: routing.rankByRendezvous({ key: request.key, candidates }), queue: order.slice(0, MAX_TRIES), place: undefined, leastFull: undefined }
    for (let i = 0; i < search.queue.length; i++) {
      const endpoint = search.queue[i]
      const tried = await tryOne(request, endpoint, { waitMs: 0, importFrom: findCache(request, endpoint, search) })
      const end = await settle(request, search, endpoint, tried)
      if (end !== undefined) return end
      if (tried.kind === 'declined') takeDecline(search, i, tried)
    }
    if (search.leastFull === undefined) return { kind: 'none', retryAfterMs: 0 }
    return await waitInQueue(request, search, search.leastFull.endpoint)
  }

  /** @returns the end of the search, or undefined where the next endpoint may be asked */
  const settle = async (request: PlacementRequest, search: Search, endpoint: string, tried: TryResult): Promise<PlacementResult | undefined> => {
    switch (tried.kind) {
      case 'placed':
        noteSpill(request, search.ranked[0], endpoint)
        return tried
      case 'uncertain': {
        const failure = await resolveUncertain(request, tried)
        return failure === undefined ? undefined : { kind: 'failed', failure }
      }
      case 'declined':
        if (tried.reason !== 'quarantined') return undefined
        return { kind: 'failed', failure: { kind: 'request_quarantined', ran: 'no', deaths: routing.QUARANTINE_CRASHES, retryAfterMs: tried.retryAfterMs } }
    }
  }

  /** Learns from an owner's refusal where to ask next. */
  const takeDecline = (search: Search, at: number, declined: Declined): void => {
    switch (declined.reason) {
      case 'elsewhere':
        search.place = declined.endpoint
        if (search.place !== undefined && search.queue[at + 1] !== search.place) search.queue.splice(at + 1, 0, search.place)
        break
      case 'full':
        if (search.leastFull === undefined || declined.load < search.leastFull.load) search.leastFull = { endpoint: search.queue[at], load: declined.load }
        break
      case 'quarantined':
      case 'not_owner':
      case 'unready':
      case 'patience':
      case 'void':
      case 'suspect_running':
      case 'connect_refused':
        break
    }
  }

  const waitInQueue = async (request: PlacementRequest, search: Search, endpoint: string): Promise<Round> => {
    const waitMs = request.patienceUntil - performance.now()
    if (waitMs <= 0) return { kind: 'none', retryAfterMs: 0 }
    request.trace.record('queues', `${endpoint}, up to ${Math.round(waitMs)} ms`)
    const tried = await tryOne(request, endpoint, { waitMs, importFrom: findCache(request, endpoint, search) })
    const end = await settle(request, search, endpoint, tried)
    if (end !== undefined) return end
    if (tried.kind !== 'declined') return { kind: 'none', retryAfterMs: 0 }
    if (tried.reason === 'patience') return { kind: 'failed', failure: { kind: 'patience_over', retryAfterMs: tried.retryAfterMs } }
    return { kind: 'none', retryAfterMs: tried.retryAfterMs }
  }

  /** Tells the home's owner where the chat ran, so that it is found there next time. */
  const noteSpill = (request: PlacementRequest, home: string, endpoint: string): void => {
    const entry = table.get(home)
    const work = request.toWork(undefined)
    if (entry === undefined || work.kind !== 'chat' || opts.policy !== 'owner') return
    const owner = member.views.ownerOf(entry)
    if (owner === undefined) return
    if (home !== endpoint) opts.attempts.recordChatLocation(owner, { t: 'placed', chat: work.chat, home, endpoint })
  }

  return {
    place,
    tryEndpoint: tryOne,
    adjustInFlight (endpoint, by) { own.set(endpoint, Math.max(0, (own.get(endpoint) ?? 0) + by)) }
  }
}
