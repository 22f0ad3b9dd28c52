/** Resumption of a broken stream at another endpoint. */
import * as attempts from '../attempts/attempt.js'
import * as attemptRecorders from '../attempts/attemptRecorder.js'
import * as clientCalls from '../attempts/clientCall.js'
import * as clientResponses from '../attempts/clientResponse.js'
import * as outgoingRequests from '../attempts/outgoingRequest.js'
import * as relayStreams from './relayStream.js'
import * as requestStates from '../attempts/requestState.js'
import * as selectEndpoints from '../placement/selectEndpoint.js'

/**
 * Requests the rest of a stream from other endpoints. The queue delay is not limited, because the client already has a part of the
 * response.
 */
export async function resumeStream (call: clientCalls.ClientCall, state: requestStates.RequestState, lastEventId: string | undefined): Promise<relayStreams.ResumeResult> {
  const { ctx, route } = call
  let sends = 0
  while (sends < selectEndpoints.MAX_SENDS) {
    const remainingMs = call.deadlineAt - ctx.now()
    if (call.aborter.signal.aborted || remainingMs < clientResponses.MIN_REMAINING_MS) return { kind: 'none', why: 'the deadline has passed' }
    if (!requestStates.mayRun(route, state.runs)) return { kind: 'none', why: 'no further attempt is allowed' }
    const selected = selectEndpoints.selectEndpoint(call, state.tried, Infinity)
    if (selected.kind !== 'selected') return { kind: 'none', why: 'no further endpoint is available' }
    if (!ctx.retryBudget(call.service).trySpend(ctx.now(), ctx.gossip.instanceCount())) return { kind: 'none', why: 'the retry budget is exhausted' }
    const { endpoint } = selected
    selectEndpoints.recordSend(call, state.tried, selected)
    sends++
    const sentAt = ctx.now()
    const result = await attempts.sendAttempt({
      endpoint,
      request: outgoingRequests.toOutgoingRequest(call, selected, remainingMs, lastEventId),
      names: ctx.names,
      signal: call.aborter.signal,
      responseTimeoutMs: remainingMs
    })
    attemptRecorders.recordResult(call, state, endpoint, result, sentAt)
    switch (result.kind) {
      case 'response': {
        const status = result.res.statusCode ?? 0
        // The relay decrements inFlight when the stream ends.
        if (outgoingRequests.isEventStream(result.res) && status < 300) return { kind: 'stream', endpoint, response: result }
        attemptRecorders.recordAttempt(call, endpoint, `no stream ${status}`, sentAt)
        attemptRecorders.recordOutcome(call, endpoint, true)
        result.abort()
        break
      }
      case 'unreachable':
        attemptRecorders.recordAttempt(call, endpoint, `unreachable: ${result.why}`, sentAt)
        break
      case 'notRun':
        attemptRecorders.recordAttempt(call, endpoint, `notRun ${result.status}`, sentAt)
        break
      case 'lost':
        attemptRecorders.recordAttempt(call, endpoint, `lost: ${result.why}`, sentAt)
        endpoint.inFlight--
        return { kind: 'none', why: result.why }
    }
    endpoint.inFlight--
  }
  return { kind: 'none', why: 'no endpoint accepted the request' }
}
