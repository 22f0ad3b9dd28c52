/** Selects the endpoint of a request from the current state of the endpoint pool. */
import * as contracts from '@kingcupdeck/contracts'
import * as attemptRecorders from '../attempts/attemptRecorder.js'
import * as chooseEndpoints from './chooseEndpoint.js'
import type * as clientCalls from '../attempts/clientCall.js'
import * as coldLimiters from './coldLimiter.js'
import * as endpointPools from '../endpoints/endpointPool.js'
import * as numbers from './numbers.js'

/** Maximum number of endpoints that a request is sent to while none of them runs it. */
export const MAX_SENDS = 4
/** Connections that an instance may open to an endpoint, however many instances there are. */
const MIN_CONNECTIONS = 2

/** A request is not retried at an endpoint with more connection failures in a row: it would wait for one after the other in an outage. */
const MAX_RETRY_FAILURES = 1

/** Result of {@link selectEndpoint}. */
export type Selection =
  | ({ kind: 'selected' } & SelectedEndpoint)
  /** All eligible endpoints exceed the maximum queue delay; `delayMs` is the lowest delay. */
  | { kind: 'busy', delayMs: number }
  | { kind: 'none' }

/** An endpoint and the reason for its selection, with its load and the total load. */
export interface SelectedEndpoint { endpoint: endpointPools.Endpoint, why: string, /** Address of the endpoint whose KV cache may contain the prompt. */ fetchFrom: string | undefined, /** Whether the send counts against the limit of a cold endpoint. */ isLimited: boolean }

/**
 * Selects among the endpoints that were not tried yet.
 * @param delayLimitMs maximum queue delay, in milliseconds
 * @param isEligible leaves out further endpoints; none by default
 */
export function selectEndpoint (call: clientCalls.ClientCall, tried: ReadonlySet<string>, delayLimitMs: number, isEligible: (endpoint: endpointPools.Endpoint) => boolean = () => true): Selection {
  const { ctx, route } = call
  const now = ctx.now()
  const service = call.table.services.get(call.service)
  const endpoints = ctx.pool.usable(call.service, now).filter(item => isAllowed(call, item))
  const usable = toCandidates(endpoints, service?.maxConnections ?? Infinity, ctx.gossip.instanceCount(), now)
  const outliers = ctx.outliers.findOutliers(call.service, usable, now)
  const maxColdPerSecond = coldLimiters.toMaxPerSecond(service?.coldPerSecond ?? 0, ctx.coldBound())
  const isLimited = (item: endpointPools.Endpoint): boolean => maxColdPerSecond < Infinity && endpointPools.mayBeCold(item, service?.coldStartMs ?? 0, now)
  const mayUse = (item: endpointPools.Endpoint): boolean => !isLimited(item) || ctx.coldLimiter.maySend(item.id, maxColdPerSecond, now)
  const isWorthRetry = (item: endpointPools.Endpoint): boolean => tried.size === 0 || item.failures <= MAX_RETRY_FAILURES
  const candidates = usable.filter((item, i) => !outliers.has(item.id) && !tried.has(item.id) && isEligible(endpoints[i]) && isWorthRetry(endpoints[i]) && mayUse(endpoints[i]) && ctx.brittleLimiter.maySend(call.service, item, now))
  const affinity = route.hasPrompt && call.sharedParts.length > 0 ? contracts.createScorer(call.sharedParts.join(',')) : undefined
  const choice = chooseEndpoints.chooseEndpoint(candidates, { affinity, zone: ctx.zone, delayLimitMs, meanLoad: affinity === undefined ? undefined : toServiceMeanLoad(call, usable, now) }, Math.random())
  if (choice.kind !== 'chosen') return choice
  const endpoint = ctx.pool.get(choice.id)
  if (endpoint === undefined) return { kind: 'none' }
  const source = affinity === undefined || service?.canFetch !== true ? undefined : findSource(call, tried, affinity, endpoint.id)
  const why = `${choice.why} ${endpoint.inFlight + endpoint.peerInFlight}/${numbers.sum(candidates.map(item => item.load))}${source === undefined ? '' : ` from ${source.id}`}`
  return { kind: 'selected', endpoint, why, fetchFrom: source?.record.address, isLimited: isLimited(endpoint) }
}

/** Age of the latest data of a responsive endpoint, in milliseconds; longer than the interval between events. */
const RESPONSIVE_MAX_AGE_MS = 400

/**
 * Selects an endpoint for a request whose endpoint is silent: one that has just sent something, or one without requests that has just
 * accepted a connection. If all endpoints pause there is none, and the prompt is not processed once more for nothing.
 * @returns undefined if there is none now; an endpoint without requests is then probed, so that a later call may return it
 */
export function selectResponsive (call: clientCalls.ClientCall, tried: ReadonlySet<string>, delayLimitMs: number): SelectedEndpoint | undefined {
  const since = call.ctx.now() - RESPONSIVE_MAX_AGE_MS
  const isIdle = (endpoint: endpointPools.Endpoint): boolean => endpoint.inFlight === 0
  const isResponsive = (endpoint: endpointPools.Endpoint): boolean => endpoint.answeredAt > since || (isIdle(endpoint) && endpoint.acceptedAt > since)
  const selected = selectEndpoint(call, tried, delayLimitMs, isResponsive)
  if (selected.kind === 'selected') return selected
  const idle = selectEndpoint(call, tried, delayLimitMs, isIdle)
  if (idle.kind === 'selected') void probeIdle(call, idle.endpoint)
  return undefined
}

async function probeIdle (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint): Promise<void> {
  const failure = await attemptRecorders.probeAndRecord(call.ctx, endpoint)
  if (failure === undefined) endpoint.acceptedAt = call.ctx.now()
}

/** Records that the request is sent to the selected endpoint. What is returned is to be released when the endpoint is done with it. */
export function recordSend (call: clientCalls.ClientCall, tried: Set<string>, selected: SelectedEndpoint): attemptRecorders.SentRequest {
  const { endpoint } = selected
  const { ctx } = call
  const sentAt = ctx.now()
  tried.add(endpoint.id)
  endpoint.inFlight++
  if (selected.isLimited) ctx.coldLimiter.recordSend(endpoint.id, sentAt)
  const run = ctx.quarantine.startRun(call.suspects, endpointPools.toIncarnation(endpoint), sentAt)
  const aborter = new AbortController()
  // Not AbortSignal.any: a combined signal with a listener is never collected.
  const onAbort = (): void => { aborter.abort(call.aborter.signal.reason) }
  call.aborter.signal.addEventListener('abort', onAbort)
  if (call.aborter.signal.aborted) onAbort()
  let isReleased = false
  const sent: attemptRecorders.SentRequest = {
    endpoint,
    sentAt,
    run,
    isSilent: false,
    keepsRun: false,
    signal: aborter.signal,
    abort (why) { aborter.abort(why) },
    release () {
      if (isReleased) return
      isReleased = true
      call.aborter.signal.removeEventListener('abort', onAbort)
      endpoint.inFlight--
      if (!sent.keepsRun) run.end('abandoned', ctx.now())
    }
  }
  return sent
}

/**
 * Returns the mean load that bounds the load of an endpoint. Endpoints of evacuated zones count: the others must not exceed the bound
 * because they take over the work of a zone.
 */
function toServiceMeanLoad (call: clientCalls.ClientCall, usable: readonly chooseEndpoints.Candidate[], now: number): number {
  const evacuated = call.ctx.pool.evacuated(call.service, now).map(item => ({ load: item.inFlight + item.peerInFlight }))
  return chooseEndpoints.toMeanLoad([...usable, ...evacuated])
}

/**
 * Converts endpoints to candidates, in the same order.
 * @param maxConnections connections that an endpoint accepts from all instances together
 */
function toCandidates (endpoints: readonly endpointPools.Endpoint[], maxConnections: number, instanceCount: number, now: number): chooseEndpoints.Candidate[] {
  const connectionLimit = Math.max(MIN_CONNECTIONS, Math.floor(maxConnections / instanceCount))
  const unixNow = Date.now()
  return endpoints.map(item => ({
    id: item.id,
    zone: item.record.zone,
    load: item.inFlight + item.peerInFlight,
    ownInFlight: item.inFlight,
    slots: Math.max(1, item.record.slots),
    isCold: item.coldUntil > now,
    delayMs: item.queueDelay?.estimateMs(now) ?? item.peerQueueDelayMs ?? 0,
    freeConnections: connectionLimit - item.inFlight,
    ageMs: toAgeMs(item, unixNow)
  }))
}

function findSource (call: clientCalls.ClientCall, tried: ReadonlySet<string>, affinity: contracts.Scorer, chosen: string): endpointPools.Endpoint | undefined {
  const { ctx } = call
  const unixNow = Date.now()
  const sources = ctx.pool.reachable(call.service, ctx.now())
    .filter(item => isAllowed(call, item) && (item.id === chosen || !tried.has(item.id)))
    .map((item): chooseEndpoints.CacheSource => ({ id: item.id, ageMs: toAgeMs(item, unixNow) }))
  const id = chooseEndpoints.chooseCacheSource(sources, affinity, chosen)
  return id === undefined ? undefined : ctx.pool.get(id)
}

/** Returns whether the region of an endpoint may run a request. */
function isAllowed (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint): boolean {
  if (call.allowedRegions === undefined) return true
  const region = call.ctx.regionOf(endpoint.record.zone)
  return region !== undefined && call.allowedRegions.includes(region)
}

/** Clock skew between machines of some seconds is small compared with the warm-up time. */
function toAgeMs (endpoint: endpointPools.Endpoint, unixNow: number): number {
  return endpoint.record.startedAt === 0 ? Infinity : Math.max(0, unixNow - endpoint.record.startedAt)
}
