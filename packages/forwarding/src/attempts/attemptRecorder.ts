/** Records the results of attempts: in the request log, the metrics, the endpoint pool, outlier detection and crash quarantine. */
import * as timers from 'node:timers/promises'
import * as brittleLimiters from '../placement/brittleLimiter.js'
import * as attempts from './attempt.js'
import * as clientCalls from './clientCall.js'
import * as endpointPools from '../endpoints/endpointPool.js'
import * as endpointProbes from '../endpoints/endpointProbe.js'
import type * as entryContexts from '../instance/entryContext.js'
import * as nameLists from '../quarantine/nameList.js'
import * as requestStates from './requestState.js'
import type * as lostPaths from '../paths/lostPaths.js'
import type * as runTrackers from '../quarantine/runTracker.js'

/** Time to wait for other instances to tell whether they reach an endpoint, before another endpoint is tried. */
const MAX_VERDICT_WAIT_MS = 60
/** A response that is missing for this multiple of the target latency counts as missed, also if the client disconnected. */
const UNRESPONSIVE_TARGETS = 2

/** A request that was sent to an endpoint. */
export interface SentRequest {
  endpoint: endpointPools.Endpoint
  /** Time at which it was sent, on the monotonic clock. */
  sentAt: number
  run: runTrackers.Run
  /** Whether the run ends later than the request, when it is known whether the endpoint outlived the response. */
  keepsRun: boolean
  /** Inner address of the entry instance that it passed through, undefined for a direct connection. */
  via?: string
  /** Whether the endpoint was found silent while a response was due. */
  isSilent: boolean
  /** Aborted with the request, or by {@link SentRequest.abort}. */
  signal: AbortSignal
  abort: (why: string) => void
  /** Ends the accounting when the endpoint is done with the request or was aborted; only the first call counts. */
  release: () => void
}

/** Records the outcome of an attempt for the log and the metrics. */
export function recordAttempt (call: clientCalls.ClientCall, { endpoint, sentAt, via }: SentRequest, outcome: string, why = 'resume'): void {
  call.attempts.push({ endpoint: endpoint.id, why: via === undefined ? why : `${why} via ${via}`, outcome, ms: Math.round(call.ctx.now() - sentAt) })
  call.ctx.metrics.attempts.inc({ service: call.service, outcome: outcome.split(':')[0] })
}

/**
 * Records the result of an attempt before the response body is read: whether the endpoint is reachable, whether it may have run the
 * request, and whether it is down.
 * @returns when it is known whether the endpoint of a lost response is down
 */
export async function recordResult (call: clientCalls.ClientCall, state: requestStates.RequestState, sent: SentRequest, result: attempts.AttemptResult): Promise<void> {
  const { ctx } = call
  const { endpoint, run } = sent
  if (result.kind !== 'unreachable' && result.kind !== 'unsendable') state.holdsTrialPermit = false
  switch (result.kind) {
    case 'unsendable':
      run.end('inconclusive', ctx.now())
      state.unsendable++
      break
    case 'unreachable':
      run.end('inconclusive', ctx.now())
      await recordConnectionFailure(ctx, state, endpoint, result)
      break
    case 'notRun':
      run.end('inconclusive', ctx.now())
      state.sends++
      if (result.status === attempts.MISDIRECTED_STATUS) {
        // The response of another process does not show that the endpoint is up, only that its address is reached.
        ctx.pool.markReachable(endpoint, ctx.now())
        ctx.pool.markMisdirected(endpoint, ctx.now())
      } else {
        markReachable(ctx, sent, `notRun ${result.status}`)
        ctx.brittleLimiter.record(call.service, endpoint.id, result.brittleLimit, true, ctx.now())
        recordOutcome(call, endpoint, true)
      }
      break
    case 'lost':
      requestStates.recordRun(call, state)
      await recordLoss(call, sent)
      break
    case 'aborted':
      if (result.isSent) {
        requestStates.recordRun(call, state)
        recordAbandoned(call, sent)
      } else run.end('inconclusive', ctx.now())
      break
    case 'response':
      ctx.brittleLimiter.record(call.service, endpoint.id, brittleLimiters.parseBrittleLimit(result.res.headers[ctx.names.brittle]), false, ctx.now())
      requestStates.recordRun(call, state)
      markReachable(ctx, sent, String(result.res.statusCode))
      for (const listener of endpoint.answerListeners) listener(sent.sentAt)
  }
}

/** Records an attempt for outlier detection. */
export function recordOutcome (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, isMissed: boolean): void {
  call.ctx.outliers.record(endpoint.id, isMissed, call.ctx.now())
}

/** Returns whether the client disconnected before the endpoint could be considered unresponsive. */
function wasAbortedEarly (call: clientCalls.ClientCall, sentAt: number): boolean {
  return call.aborter.signal.aborted && call.ctx.now() - sentAt < UNRESPONSIVE_TARGETS * call.route.targetMs
}

/** Records a failed connection of an attempt. Nothing was sent, so the endpoint is tried again if only the path was lost. */
async function recordConnectionFailure (ctx: entryContexts.EntryContext, state: requestStates.RequestState, endpoint: endpointPools.Endpoint, failure: endpointProbes.ProbeFailure): Promise<void> {
  const recorded = recordUnreachable(ctx, endpoint, failure).then(verdict => {
    if (verdict === 'lost') requestStates.excuse(state, endpoint.id)
    state.verdicts.delete(recorded)
  })
  state.verdicts.add(recorded)
  await Promise.race([recorded, timers.setTimeout(MAX_VERDICT_WAIT_MS, undefined, { ref: false })])
}

/**
 * Records that no connection to an endpoint could be established. If other instances reach it, only the path of this one is lost;
 * otherwise the responses that the endpoint lost become crashes.
 */
export async function recordUnreachable (ctx: entryContexts.EntryContext, endpoint: endpointPools.Endpoint, failure: endpointProbes.ProbeFailure): Promise<lostPaths.PathVerdict> {
  ctx.pool.markUnreachable(endpoint, ctx.now(), failure)
  const verdict = await ctx.paths.check(endpoint, failure)
  const incarnation = endpointPools.toIncarnation(endpoint)
  if (verdict === 'lost') {
    ctx.quarantine.excuse(incarnation)
  } else {
    ctx.pool.logUnreachable(endpoint, failure)
    ctx.quarantine.confirmDown(incarnation, ctx.now(), failure.isSilent ? 'silent' : 'refused')
  }
  return verdict
}

/** Probes an endpoint, and records a failure. @returns why it is considered down, or undefined if it accepts connections */
export async function probeAndRecord (ctx: entryContexts.EntryContext, endpoint: endpointPools.Endpoint): Promise<endpointProbes.ProbeFailure | undefined> {
  const failure = await endpointProbes.probeEndpoint(endpoint)
  if (failure !== undefined) void recordUnreachable(ctx, endpoint, failure)
  return failure
}

/** Probes the endpoint with an incarnation, if it is known. */
export function checkEndpoint (ctx: entryContexts.EntryContext, incarnation: string): void {
  const endpoint = ctx.pool.all().find(item => endpointPools.toIncarnation(item) === incarnation)
  if (endpoint !== undefined) void probeAndRecord(ctx, endpoint)
}

/** Records a complete response. */
export function recordCompleteResponse (call: clientCalls.ClientCall, sent: SentRequest, status: number): void {
  sent.run.end(status < 300 ? 'completed' : 'inconclusive', call.ctx.now())
  sent.endpoint.excesses = 0
}

function markReachable (ctx: entryContexts.EntryContext, { endpoint, sentAt }: SentRequest, response: string): void {
  ctx.pool.markReachable(endpoint, ctx.now())
  ctx.quarantine.confirmUp(endpointPools.toIncarnation(endpoint), sentAt, ctx.now(), response)
}

/**
 * Records that an attempt or its response was aborted: the client left, the deadline passed, or another endpoint responded first. It
 * counts against the endpoint if that had enough time.
 */
export function recordAbandoned (call: clientCalls.ClientCall, sent: SentRequest): void {
  sent.run.end('abandoned', call.ctx.now())
  const wasDue = call.aborter.signal.aborted ? !wasAbortedEarly(call, sent.sentAt) : sent.isSilent
  if (wasDue) recordMissed(call, sent)
}

/** Logs that a response was lost or broke off. */
export function logLost (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint): void {
  call.ctx.log.event('responseLost', { request: call.attemptId, fingerprint: call.fingerprint, endpoint: endpoint.id, parts: call.sharedParts.length === 0 ? undefined : nameLists.toNameList(call.sharedParts, ' ') })
}

/**
 * Records a response that was lost or broke off. It counts against the endpoint unless the path to the endpoint turns out to be lost.
 * @returns when it is known whether the endpoint is down, if this crash may quarantine the request
 */
export async function recordLoss (call: clientCalls.ClientCall, sent: SentRequest): Promise<void> {
  const { ctx } = call
  const { endpoint, run } = sent
  // The idle connections to the endpoint are probably broken too.
  ctx.pool.closeIdleConnections(endpoint)
  logLost(call, endpoint)
  run.end('lost', ctx.now())
  // Probing immediately confirms a crash before further requests are sent to the endpoint.
  const probe = endpointProbes.probeAfterLoss(endpoint, async failure => await recordUnreachable(ctx, endpoint, failure))
    .then(verdict => { if (verdict !== 'lost') recordMissed(call, sent) })
  // If this crash may quarantine the request, it must not be retried before.
  if (ctx.quarantine.isSuspected(call.suspects)) await probe
}

/** Records a response that is missing or incomplete. The instance that the request passed through may have lost it. */
function recordMissed (call: clientCalls.ClientCall, { endpoint, via }: SentRequest): void {
  if (via === undefined) recordOutcome(call, endpoint, true)
}
