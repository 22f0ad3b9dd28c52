/** Places a request on an endpoint: its home first, then spill targets, then a queue within the caller's patience. */
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'
import * as attempts from './attempts.js'
import * as cacheFinders from './cacheFinder.js'
import * as ids from './ids.js'
import * as traces from './traces.js'

/** A request to place. */
export interface PlacementRequest {
  requestId: string
  service: string
  /** Affinity key. */
  key: string
  fingerprint: string
  account: string
  accountWeight: number
  rank: number
  /** Returns the current body for an endpoint; a resumed answer changes it. */
  toBody (): Uint8Array
  /** Monotonic time in milliseconds at which the caller's patience ends. */
  patienceUntil: number
  /** The model that an endpoint must serve, if any. */
  model: string | undefined
  /** @param importFrom the endpoint to import the chat's KV cache from */
  toWork (importFrom: string | undefined): contracts.Dispatch['work']
  /** Whether it may run more than once. */
  isIdempotent: boolean
  /** Whether the chat has earlier turns, so that an endpoint may have its KV cache. */
  isMultiTurn: boolean
  /** Endpoints on which earlier attempts failed. */
  excluded: Set<string>
  /** Whether it was in flight when an endpoint died. */
  isSuspect: boolean
  trace: traces.Trace
  /** Aborts when the caller disconnects. */
  signal: AbortSignal
}

/** An attempt accepted by an owner. */
export interface Placed { kind: 'placed', attempt: attempts.Attempt, owner: contracts.Instance, endpoint: string, msg: contracts.Dispatch }

/** Result of placing a request. */
export type PlacementResult = Placed | { kind: 'failed', failure: contracts.Failure }

/** Dependencies of {@link createPlacer}. */
export interface PlacerOptions {
  member: membership.Membership
  table: membership.EndpointTable
  attempts: attempts.Attempts
  suspects: routing.Suspects
  policy: routing.PlacementPolicy
  random: () => number
  /** Returns URLs of other instances, for callers that this one cannot serve. */
  otherAddresses (): string[]
}

/** Places requests on endpoints. */
export interface Placer {
  place (request: PlacementRequest): Promise<PlacementResult>
  /** Dispatches a request to the owner of one endpoint. */
  tryEndpoint (request: PlacementRequest, endpoint: string, opts: TryOptions): Promise<TryResult>
  /** Adjusts the number of requests that this instance has in flight on an endpoint. */
  adjustInFlight (endpoint: string, delta: 1 | -1): void
}

/** Options of one dispatch; `waitMs` is the longest wait in the endpoint's queue. */
export interface TryOptions { waitMs: number, importFrom: string | undefined, attemptId?: string }

/** An owner declined the request without sending any of it to an endpoint. */
export interface Declined { kind: 'declined', reason: contracts.DeclineReason, load: number, retryAfterMs: number, endpoint: string | undefined }

/** Result of one dispatch; `uncertain` if the owner was lost before it answered. */
export type TryResult =
  | Placed
  | Declined
  | { kind: 'uncertain', owner: contracts.Instance, attemptId: string }

/** State of one pass over the endpoints of a pool. */
interface Search {
  /** Endpoints by rendezvous rank, the chat's home first. */
  ranked: readonly string[]
  /** Endpoints to try, in order. */
  queue: string[]
  /** The endpoint that last served the chat, if the home's owner reported one. */
  cacheLocation: string | undefined
  /** The endpoint with the lowest load among those at their cap. */
  leastLoaded: { endpoint: string, load: number } | undefined
}

type RoundResult = PlacementResult | { kind: 'none', retryAfterMs: number }

/** Endpoints tried per pass before the request is queued: asking more owners costs more than a short wait in a queue. */
const MAX_TRIES = 6
const INITIAL_BACKOFF_MS = 60
const MAX_BACKOFF_MS = 500
/** Longest wait for a ready endpoint; covers a change of ownership. */
const NO_ENDPOINT_TIMEOUT_MS = 8000
const NO_ENDPOINT_RETRY_AFTER_MS = 3000
const DEFAULT_LOAD_FACTOR = 1.25
/** Reported loads older than this are ignored. */
const LOAD_MAX_AGE_MS = 3000

/** Creates a placer. */
export function createPlacer (opts: PlacerOptions): Placer {
  const { member, table, suspects } = opts
  const reportedLoads = new Map<string, { load: number, at: number }>()
  const ownInFlight = new Map<string, number>()
  const caches = cacheFinders.createCacheFinder(table)
  let turn = 0

  const loads: routing.LoadView = {
    reported: id => {
      const known = reportedLoads.get(id)
      return known === undefined || performance.now() - known.at > LOAD_MAX_AGE_MS ? 0 : known.load
    },
    local: id => ownInFlight.get(id) ?? 0
  }

  const recordLoad = (endpoint: string, load: number): void => { reportedLoads.set(endpoint, { load, at: performance.now() }) }

  const toCandidates = (request: PlacementRequest): readonly contracts.EndpointRecord[] => {
    const ready = table.ready(request.service, request.model)
    if (request.excluded.size === 0) return ready
    const eligible = ready.filter(entry => !request.excluded.has(entry.id))
    return eligible.length > 0 ? eligible : ready
  }

  const tryEndpoint = async (request: PlacementRequest, endpoint: string, tryOpts: TryOptions): Promise<TryResult> => {
    const declined = (reason: contracts.DeclineReason): TryResult => ({ kind: 'declined', reason, load: 0, retryAfterMs: 0, endpoint: undefined })
    const entry = table.get(endpoint)
    const owner = entry === undefined ? undefined : member.views.ownerOf(entry)
    if (owner === undefined) return declined('not_owner')
    const msg: contracts.Dispatch = {
      t: 'dispatch',
      attempt: tryOpts.attemptId ?? ids.createAttemptId(),
      request: request.requestId,
      incarnation: owner.incarnation,
      endpoint,
      service: request.service,
      work: request.toWork(tryOpts.importFrom),
      account: request.account,
      accountWeight: request.accountWeight,
      rank: request.rank,
      waitMs: Math.max(0, tryOpts.waitMs),
      suspect: request.isSuspect ? request.fingerprint : undefined,
      fingerprint: request.fingerprint,
      body: request.toBody()
    }
    const attempt = await opts.attempts.start(owner, msg)
    const event = await attempt.next()
    switch (event.t) {
      case 'accepted':
        recordLoad(endpoint, event.load)
        request.trace.record('accepted', `${endpoint} through owner ${owner.id}, load ${event.load}`)
        return { kind: 'placed', attempt, owner, endpoint, msg }
      case 'declined':
        attempt.close()
        recordLoad(endpoint, event.load)
        request.trace.record('declined', `${endpoint} through owner ${owner.id}: ${event.reason}, load ${event.load}`)
        return { kind: 'declined', reason: event.reason, load: event.load, retryAfterMs: event.retryAfterMs, endpoint: event.endpoint }
      default:
        attempt.close()
        request.trace.record('uncertain', `owner ${owner.id} of ${endpoint} was lost before it accepted or declined the request`)
        return { kind: 'uncertain', owner, attemptId: msg.attempt }
    }
  }

  /** Returns the endpoint to import the chat's KV cache from, or undefined if no other one is likely to have it. */
  const findCache = (request: PlacementRequest, endpoint: string, search: Search): string | undefined => {
    if (!request.isMultiTurn) return undefined
    return search.cacheLocation ?? caches.find({ ...request, ranked: search.ranked, candidates: toCandidates(request) }, endpoint)
  }

  const resolveUncertain = async (request: PlacementRequest, tried: Extract<TryResult, { kind: 'uncertain' }>): Promise<contracts.Failure | undefined> => {
    if (request.isIdempotent) {
      void opts.attempts.cancel(tried.owner, tried.attemptId)
      return undefined
    }
    // A request dispatched to an unresponsive peer may still run when the peer resumes, so it is placed again only after
    // the peer confirms the cancellation.
    const ran = await opts.attempts.cancel(tried.owner, tried.attemptId)
    if (ran === 'no') return undefined
    return { kind: 'endpoint_lost', ran: 'unknown', detail: `owner instance ${tried.owner.id} was lost before it answered` }
  }

  const place = async (request: PlacementRequest): Promise<PlacementResult> => {
    const startedAt = performance.now()
    let backoffMs = INITIAL_BACKOFF_MS
    const failed = (failure: contracts.Failure): PlacementResult => ({ kind: 'failed', failure })
    while (true) {
      if (request.signal.aborted) return failed({ kind: 'cancelled', ran: 'no' })
      if (suspects.isQuarantined(request.fingerprint)) return failed({ kind: 'request_quarantined', ran: 'no', deaths: suspects.crashCount(request.fingerprint), retryAfterMs: suspects.remainingMs(request.fingerprint) })
      const round = await tryRound(request)
      if (round.kind !== 'none') return round
      // Without a lease this instance is cut off from the leader, so the caller is sent to another one.
      if (!member.isServing()) return failed({ kind: 'not_serving', detail: 'its lease expired', addresses: opts.otherAddresses(), retryAfterMs: 1000 })
      const now = performance.now()
      if (now > request.patienceUntil) return failed({ kind: 'patience_over', retryAfterMs: Math.max(1000, round.retryAfterMs) })
      if (now - startedAt > NO_ENDPOINT_TIMEOUT_MS) return failed({ kind: 'no_endpoint', pool: request.service, retryAfterMs: NO_ENDPOINT_RETRY_AFTER_MS })
      await timers.setTimeout(backoffMs)
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 1.5)
    }
  }

  const tryRound = async (request: PlacementRequest): Promise<RoundResult> => {
    const candidates = toCandidates(request)
    if (candidates.length === 0) return { kind: 'none', retryAfterMs: 0 }
    const spec = member.document()?.services[request.service]
    const order = routing.orderEndpoints({ policy: opts.policy, key: request.key, candidates, loads, loadFactor: spec?.loadFactor ?? DEFAULT_LOAD_FACTOR, random: opts.random, sequence: turn++ })
    const search: Search = { ranked: routing.rankByRendezvous({ key: request.key, candidates }), queue: order.slice(0, MAX_TRIES), cacheLocation: undefined, leastLoaded: undefined }
    for (let i = 0; i < search.queue.length; i++) {
      const endpoint = search.queue[i]
      const tried = await tryEndpoint(request, endpoint, { waitMs: 0, importFrom: findCache(request, endpoint, search) })
      const end = await toSearchEnd(request, search, endpoint, tried)
      if (end !== undefined) return end
      if (tried.kind === 'declined') applyDecline(search, i, tried)
    }
    if (search.leastLoaded === undefined) return { kind: 'none', retryAfterMs: 0 }
    return await queueOn(request, search, search.leastLoaded.endpoint)
  }

  /** Returns the result of the search, or undefined if the next endpoint may be tried. */
  const toSearchEnd = async (request: PlacementRequest, search: Search, endpoint: string, tried: TryResult): Promise<PlacementResult | undefined> => {
    switch (tried.kind) {
      case 'placed':
        recordSpill(request, search.ranked[0], endpoint)
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

  /** Updates the search from an owner's decline. */
  const applyDecline = (search: Search, index: number, declined: Declined): void => {
    switch (declined.reason) {
      case 'elsewhere':
        search.cacheLocation = declined.endpoint
        if (search.cacheLocation !== undefined && search.queue[index + 1] !== search.cacheLocation) search.queue.splice(index + 1, 0, search.cacheLocation)
        break
      case 'full':
        if (search.leastLoaded === undefined || declined.load < search.leastLoaded.load) search.leastLoaded = { endpoint: search.queue[index], load: declined.load }
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

  const queueOn = async (request: PlacementRequest, search: Search, endpoint: string): Promise<RoundResult> => {
    const waitMs = request.patienceUntil - performance.now()
    if (waitMs <= 0) return { kind: 'none', retryAfterMs: 0 }
    request.trace.record('queues', `${endpoint}, up to ${Math.round(waitMs)} ms`)
    const tried = await tryEndpoint(request, endpoint, { waitMs, importFrom: findCache(request, endpoint, search) })
    const end = await toSearchEnd(request, search, endpoint, tried)
    if (end !== undefined) return end
    if (tried.kind !== 'declined') return { kind: 'none', retryAfterMs: 0 }
    if (tried.reason === 'patience') return { kind: 'failed', failure: { kind: 'patience_over', retryAfterMs: tried.retryAfterMs } }
    return { kind: 'none', retryAfterMs: tried.retryAfterMs }
  }

  /** Notifies the home's owner of a spill, so that the chat's next request is redirected to the same endpoint. */
  const recordSpill = (request: PlacementRequest, home: string, endpoint: string): void => {
    const entry = table.get(home)
    const work = request.toWork(undefined)
    if (entry === undefined || work.kind !== 'chat' || opts.policy !== 'owner') return
    const owner = member.views.ownerOf(entry)
    if (owner === undefined) return
    if (home !== endpoint) opts.attempts.recordChatLocation(owner, { t: 'placed', chat: work.chat, home, endpoint })
  }

  return {
    place,
    tryEndpoint,
    adjustInFlight (endpoint, delta) { ownInFlight.set(endpoint, Math.max(0, (ownInFlight.get(endpoint) ?? 0) + delta)) }
  }
}
