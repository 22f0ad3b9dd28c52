/** Records the results of attempts: in the request log, the metrics, the endpoint pool, outlier detection and crash quarantine. */
import type * as attempts from './attempt.js'
import * as clientCalls from './clientCall.js'
import * as endpointPools from '../endpoints/endpointPool.js'
import * as endpointProbes from '../endpoints/endpointProbe.js'
import * as requestStates from './requestState.js'

/** A response that is missing for this multiple of the target latency counts as missed, also if the client disconnected. */
const UNRESPONSIVE_TARGETS = 2

/** Records the outcome of an attempt for the log and the metrics. */
export function recordAttempt (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, outcome: string, sentAt: number, why = 'resume'): void {
  call.attempts.push({ endpoint: endpoint.id, why, outcome, ms: Math.round(call.ctx.now() - sentAt) })
  call.ctx.metrics.attempts.inc({ service: call.service, outcome: outcome.split(':')[0] })
}

/**
 * Records the result of an attempt before the response body is read: whether the endpoint is reachable, whether it may have run the
 * request, and whether it is down.
 */
export function recordResult (call: clientCalls.ClientCall, state: requestStates.RequestState, endpoint: endpointPools.Endpoint, result: attempts.AttemptResult, sentAt: number): void {
  const { ctx } = call
  switch (result.kind) {
    case 'unreachable':
      if (!call.aborter.signal.aborted) recordUnreachable(call, endpoint, result)
      break
    case 'notRun':
      state.sends++
      ctx.pool.markReachable(endpoint, ctx.now())
      if (result.status === 421) ctx.pool.markMisdirected(endpoint, ctx.now())
      else recordOutcome(call, endpoint, true)
      break
    case 'lost':
      requestStates.recordRun(call, state)
      recordMissingResponse(call, endpoint, sentAt)
      recordLoss(call, endpoint, state.fingerprint)
      break
    case 'response':
      requestStates.recordRun(call, state)
      ctx.pool.markReachable(endpoint, ctx.now())
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

/** Records a connection failure, and reports the requests that were lost with the endpoint as crashes. */
export function recordUnreachable (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, failure: endpointProbes.ProbeFailure): void {
  const { ctx } = call
  ctx.pool.markUnreachable(endpoint, ctx.now(), failure)
  const reports = ctx.quarantine.confirmDown(toIncarnation(endpoint), ctx.now())
  if (reports.length > 0) ctx.gossip.sendCrashReports(reports)
}

/** Records a response that broke off. */
export function recordBrokenResponse (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, fingerprint: string): void {
  recordOutcome(call, endpoint, true)
  recordLoss(call, endpoint, fingerprint)
}

/** Records a lost response. */
function recordLoss (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, fingerprint: string): void {
  if (call.aborter.signal.aborted) return
  // The idle connections to the endpoint are probably broken too.
  call.ctx.pool.closeIdleConnections(endpoint)
  call.ctx.log.event('responseLost', { request: call.attemptId, fingerprint, endpoint: endpoint.id })
  call.ctx.quarantine.recordLoss(fingerprint, toIncarnation(endpoint), call.ctx.now())
  // Probing immediately confirms a crash before further requests are sent to the endpoint.
  void endpointProbes.probeEndpoint(endpoint).then(failure => {
    if (failure !== undefined) recordUnreachable(call, endpoint, failure)
  })
}

function toIncarnation (endpoint: endpointPools.Endpoint): string {
  return `${endpoint.id}@${endpoint.record.startedAt}`
}
