/** The rest of a stream that broke off, from another endpoint. */
import * as attempts from './attempt.js'
import * as clientResponses from './clientResponse.js'
import * as attemptRecorders from './attemptRecorder.js'
import * as clientCalls from './clientCall.js'
import * as requestStates from './requestState.js'
import * as outgoingRequests from './outgoingRequest.js'
import * as selectEndpoints from './selectEndpoint.js'
import * as relayStreams from './relayStream.js'

/**
 * Asks other endpoints for the rest of a stream. A client that has a part of its answer waits for the rest however long the queue
 * is.
 * @param call the request
 * @param course the endpoints that were tried and that may have run it; those that are asked now are added
 * @param lastEventId the last event that the client has
 * @returns the rest, or why there is none
 */
export async function resumeStream (call: clientCalls.ClientCall, course: requestStates.RequestState, lastEventId: string | undefined): Promise<relayStreams.ResumeResult> {
  const { ctx, route } = call
  let offers = 0
  while (offers < selectEndpoints.MAX_SENDS) {
    const leftMs = call.deadlineAt - ctx.now()
    if (call.aborter.signal.aborted || leftMs < clientResponses.MIN_REMAINING_MS) return { kind: 'none', why: 'the time is over' }
    if (!requestStates.mayRun(route, course.runs)) return { kind: 'none', why: 'no further attempt is allowed' }
    const picked = selectEndpoints.selectEndpoint(call, course.tried, Infinity)
    if (picked.kind !== 'picked') return { kind: 'none', why: 'no further endpoint can be reached' }
    if (!ctx.retryBudget(call.service).trySpend(ctx.now(), ctx.gossip.instanceCount())) return { kind: 'none', why: 'the budget of retries is used up' }
    const { endpoint } = picked
    course.tried.add(endpoint.id)
    offers++
    const sentAt = ctx.now()
    endpoint.inFlight++
    const sent = await attempts.sendAttempt({
      endpoint,
      request: outgoingRequests.toOutgoingRequest(call, picked, leftMs, lastEventId),
      names: ctx.names,
      signal: call.aborter.signal,
      responseTimeoutMs: leftMs
    })
    attemptRecorders.recordResult(call, course, endpoint, sent, sentAt)
    switch (sent.kind) {
      case 'answer': {
        const status = sent.res.statusCode ?? 0
        // Its place in the count is given back by the relay when the stream ends.
        if (outgoingRequests.isEventStream(sent.res) && status < 300) return { kind: 'stream', endpoint, sent }
        attemptRecorders.recordAttempt(call, endpoint, `no stream ${status}`, sentAt)
        attemptRecorders.recordOutcome(call, endpoint, true)
        sent.abort()
        break
      }
      case 'unreachable':
        attemptRecorders.recordAttempt(call, endpoint, `unreachable: ${sent.why}`, sentAt)
        break
      case 'notRun':
        attemptRecorders.recordAttempt(call, endpoint, `notRun ${sent.status}`, sentAt)
        break
      case 'lost':
        attemptRecorders.recordAttempt(call, endpoint, `lost: ${sent.why}`, sentAt)
        endpoint.inFlight--
        return { kind: 'none', why: sent.why }
    }
    endpoint.inFlight--
  }
  return { kind: 'none', why: 'no endpoint had room' }
}
