/** What an attempt teaches: the log of its request, the endpoint's record, and what crashed or fell silent. */
import type * as attempts from './attempt.js'
import * as clientCalls from './clientCall.js'
import * as requestStates from './requestState.js'
import * as endpointPools from './endpointPool.js'
import * as endpointProbes from './endpointProbe.js'

/** An endpoint that gave no answer for this multiple of the target is held to be silent, also where the client gave up. */
const SILENCE_TARGETS = 2

/**
 * Notes how an attempt ended, for the log and the metrics.
 * @param call the request
 * @param endpoint where it was sent
 * @param outcome how it ended
 * @param sentAt when it was sent
 * @param why why this endpoint was chosen
 */
export function recordAttempt (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, outcome: string, sentAt: number, why = 'resume'): void {
  call.attempts.push({ endpoint: endpoint.id, why, outcome, ms: Math.round(call.ctx.now() - sentAt) })
  call.ctx.metrics.attempts.inc({ service: call.service, outcome: outcome.split(':')[0] })
}

/**
 * Notes what a send has shown before any body was read: whether the endpoint is there, whether it may have run the request, and
 * whether it is down.
 * @param call the request
 * @param course its course
 * @param endpoint where it was sent
 * @param sent what came of it
 * @param sentAt when it was sent
 */
export function recordResult (call: clientCalls.ClientCall, course: requestStates.RequestState, endpoint: endpointPools.Endpoint, sent: attempts.AttemptResult, sentAt: number): void {
  const { ctx } = call
  switch (sent.kind) {
    case 'unreachable':
      if (!call.aborter.signal.aborted) recordUnreachable(call, endpoint, sent.why)
      break
    case 'notRun':
      course.sends++
      ctx.pool.markReachable(endpoint)
      if (sent.status === 421) ctx.pool.markMisdirected(endpoint)
      else recordOutcome(call, endpoint, true)
      break
    case 'lost':
      requestStates.recordRun(call, course)
      noteSilence(call, endpoint, sentAt)
      noteLoss(call, endpoint, course.fingerprint)
      break
    case 'answer':
      requestStates.recordRun(call, course)
      ctx.pool.markReachable(endpoint)
  }
}

/** Notes how an attempt went, for the choice of endpoints. */
export function recordOutcome (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, isMissed: boolean): void {
  call.ctx.outliers.record(endpoint.id, isMissed, call.ctx.now())
}

/**
 * Notes an attempt without an answer. Where the client left early that says nothing of the endpoint; where it left after twice
 * the target, it left because of it.
 */
function noteSilence (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, sentAt: number): void {
  const isEarly = call.aborter.signal.aborted && call.ctx.now() - sentAt < SILENCE_TARGETS * call.route.targetMs
  if (!isEarly) recordOutcome(call, endpoint, true)
}

/** Notes that an endpoint could not be reached, and which requests it took down with it. */
export function recordUnreachable (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, why: string): void {
  const { ctx } = call
  ctx.pool.markUnreachable(endpoint, ctx.now(), why)
  const news = ctx.quarantine.confirmDown(toIncarnation(endpoint), ctx.now())
  if (news.length > 0) ctx.gossip.sendCrashReports(news)
}

/** Notes that an answer broke off midway. */
export function recordBrokenResponse (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, fingerprint: string): void {
  recordOutcome(call, endpoint, true)
  noteLoss(call, endpoint, fingerprint)
}

/** Notes that an answer was lost. */
function noteLoss (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, fingerprint: string): void {
  if (call.aborter.signal.aborted) return
  // What broke one connection has likely broken the idle ones beside it.
  call.ctx.pool.closeIdleConnections(endpoint)
  call.ctx.quarantine.recordLoss(fingerprint, toIncarnation(endpoint), call.ctx.now())
  // Whether the endpoint is down is asked now: after a crash the next request would be the one to find out, and a request
  // that crashes endpoints would not be known for one before others had been sent to each of them.
  void endpointProbes.probeEndpoint(endpoint).then(why => {
    if (why !== undefined) recordUnreachable(call, endpoint, why)
  })
}

function toIncarnation (endpoint: endpointPools.Endpoint): string {
  return `${endpoint.id}@${endpoint.record.startedAt}`
}
