/** Records the results of attempts: in the request log, the metrics, the endpoint pool, outlier detection and crash quarantine. */
import type * as attempts from './attempt.js'
import * as clientCalls from './clientCall.js'
import * as endpointPools from '../endpoints/endpointPool.js'
import * as endpointProbes from '../endpoints/endpointProbe.js'
import type * as entryContexts from '../instance/entryContext.js'
import * as requestStates from './requestState.js'
import type * as runTrackers from '../quarantine/runTracker.js'

/** A response that is missing for this multiple of the target latency counts as missed, also if the client disconnected. */
const UNRESPONSIVE_TARGETS = 2

/** A request that was sent to an endpoint. */
export interface SentRequest {
  endpoint: endpointPools.Endpoint
  /** Time at which it was sent, on the monotonic clock. */
  sentAt: number
  run: runTrackers.Run
}

/** Records the outcome of an attempt for the log and the metrics. */
export function recordAttempt (call: clientCalls.ClientCall, { endpoint, sentAt }: SentRequest, outcome: string, why = 'resume'): void {
  call.attempts.push({ endpoint: endpoint.id, why, outcome, ms: Math.round(call.ctx.now() - sentAt) })
  call.ctx.metrics.attempts.inc({ service: call.service, outcome: outcome.split(':')[0] })
}

/**
 * Records the result of an attempt before the response body is read: whether the endpoint is reachable, whether it may have run the
 * request, and whether it is down.
 * @returns when it is known whether the endpoint of a lost response is down
 */
export async function recordResult (call: clientCalls.ClientCall, state: requestStates.RequestState, sent: SentRequest, result: attempts.AttemptResult): Promise<void> {
  const { ctx } = call
  const { endpoint, run, sentAt } = sent
  switch (result.kind) {
    case 'unreachable':
      run.end('inconclusive', ctx.now())
      if (!call.aborter.signal.aborted) recordUnreachable(ctx, endpoint, result)
      break
    case 'notRun':
      run.end('inconclusive', ctx.now())
      state.sends++
      markReachable(ctx, endpoint)
      if (result.status === 421) ctx.pool.markMisdirected(endpoint, ctx.now())
      else recordOutcome(call, endpoint, true)
      break
    case 'lost':
      requestStates.recordRun(call, state)
      recordMissingResponse(call, endpoint, sentAt)
      await recordLoss(call, sent)
      break
    case 'response':
      requestStates.recordRun(call, state)
      markReachable(ctx, endpoint)
  }
}

/** Records an attempt for outlier detection. */
export function recordOutcome (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, isMissed: boolean): void {
  call.ctx.outliers.record(endpoint.id, isMissed, call.ctx.now())
}

/**
 * Records an attempt without a response as missed, unless the client disconnected before the endpoint could be considered unresponsive.
 */
function recordMissingResponse (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, sentAt: number): void {
  const wasAbortedEarly = call.aborter.signal.aborted && call.ctx.now() - sentAt < UNRESPONSIVE_TARGETS * call.route.targetMs
  if (!wasAbortedEarly) recordOutcome(call, endpoint, true)
}

/** Records a connection failure; the responses that the endpoint lost become crashes. */
export function recordUnreachable (ctx: entryContexts.EntryContext, endpoint: endpointPools.Endpoint, failure: endpointProbes.ProbeFailure): void {
  ctx.pool.markUnreachable(endpoint, ctx.now(), failure)
  ctx.quarantine.confirmDown(endpointPools.toIncarnation(endpoint), ctx.now(), failure.isSilent ? 'silent' : 'refused')
}

/** Probes an endpoint, and records a failure. */
export function checkEndpoint (ctx: entryContexts.EntryContext, incarnation: string): void {
  const endpoint = ctx.pool.all().find(item => endpointPools.toIncarnation(item) === incarnation)
  if (endpoint === undefined) return
  void endpointProbes.probeEndpoint(endpoint).then(failure => {
    if (failure !== undefined) recordUnreachable(ctx, endpoint, failure)
  })
}

/**
 * Records a response that broke off.
 * @returns when it is known whether its endpoint is down
 */
export async function recordBrokenResponse (call: clientCalls.ClientCall, sent: SentRequest): Promise<void> {
  recordOutcome(call, sent.endpoint, true)
  await recordLoss(call, sent)
}

/** Records a complete response. */
export function recordCompleteResponse (call: clientCalls.ClientCall, sent: SentRequest, status: number): void {
  sent.run.end(status < 500 ? 'completed' : 'inconclusive', call.ctx.now())
}

function markReachable (ctx: entryContexts.EntryContext, endpoint: endpointPools.Endpoint): void {
  ctx.pool.markReachable(endpoint, ctx.now())
  ctx.quarantine.confirmUp(endpointPools.toIncarnation(endpoint))
}

async function recordLoss (call: clientCalls.ClientCall, { endpoint, run }: SentRequest): Promise<void> {
  const { ctx } = call
  if (call.aborter.signal.aborted) {
    run.end('abandoned', ctx.now())
    return
  }
  // The idle connections to the endpoint are probably broken too.
  ctx.pool.closeIdleConnections(endpoint)
  ctx.log.event('responseLost', { request: call.attemptId, fingerprint: call.fingerprint, endpoint: endpoint.id })
  run.end('lost', ctx.now())
  // Probing immediately confirms a crash before further requests are sent to the endpoint.
  const probe = endpointProbes.probeAfterLoss(endpoint, failure => { recordUnreachable(ctx, endpoint, failure) })
  // If this crash may quarantine the request, it must not be retried before.
  if (ctx.quarantine.isSuspected(call.fingerprint)) await probe
}
