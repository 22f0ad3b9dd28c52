/** What follows from the result of an attempt: a response to the client, another attempt, or a failure. */
import * as attempts from './attempt.js'
import * as attemptRecorders from './attemptRecorder.js'
import type * as clientCalls from './clientCall.js'
import * as clientResponses from './clientResponse.js'
import type * as openAttempts from './openAttempt.js'
import * as relayStreams from '../streams/relayStream.js'
import * as requestStates from './requestState.js'
import * as resumeStreams from '../streams/resumeStream.js'
import type * as selectEndpoints from '../placement/selectEndpoint.js'

/** Next step after an attempt. */
export type Next =
  /** Try another endpoint. */
  | { kind: 'retry' }
  /** Fail the request; `delayMs` is the lowest queue delay if the endpoints are overloaded. */
  | { kind: 'fail', why: string, delayMs?: number }
  /** The response was sent, or the client disconnected. */
  | { kind: 'done', outcome: string }

/** One attempt at an endpoint. */
export interface Attempt {
  call: clientCalls.ClientCall
  state: requestStates.RequestState
  selected: selectEndpoints.SelectedEndpoint
  sent: attemptRecorders.SentRequest
}

/** Handles the result of an attempt that is no stream. */
export function handleResult (attempt: Attempt, result: Exclude<openAttempts.OpenResult, { kind: 'stream' }>): Next {
  const { call, state } = attempt
  switch (result.kind) {
    case 'unsendable':
    case 'unreachable':
      record(attempt, `${result.kind}: ${result.why}`)
      return { kind: 'retry' }
    case 'notRun':
      record(attempt, `notRun ${result.status}`)
      // The next brittle endpoint would have to reject the request too.
      if (result.brittleLimit !== undefined && result.status !== attempts.MISDIRECTED_STATUS) return { kind: 'fail', why: 'a brittle endpoint has no room' }
      return { kind: 'retry' }
    case 'aborted':
      record(attempt, `${result.isSent ? 'lost' : 'unreachable'}: ${result.why}`)
      if (call.aborter.signal.aborted && !result.isSent) return { kind: 'fail', why: 'the client left' }
      return afterLoss(attempt, result.why)
    case 'lost':
      record(attempt, `lost: ${result.why}`)
      return afterLoss(attempt, result.why)
    case 'complete': {
      const { response } = result
      const status = response.res.statusCode ?? 0
      record(attempt, String(status))
      attemptRecorders.recordCompleteResponse(call, attempt.sent, status)
      attemptRecorders.recordOutcome(call, attempt.sent.endpoint, isLate(attempt) || status >= 500)
      // A server error comes early, so there is time to retry at another endpoint; it is kept as the fallback response.
      if (status >= 500 && status !== 504 && requestStates.mayRun(call.route, state.runs)) {
        state.fallback = response
        return { kind: 'retry' }
      }
      return { kind: 'done', outcome: clientResponses.sendResponse(call, response) }
    }
  }
}

/** Relays an event stream, and resumes it at another endpoint if it breaks off. */
export async function forwardStream (attempt: Attempt, source: openAttempts.StreamSource): Promise<Next> {
  const { call, state } = attempt
  call.firstByteAt = call.ctx.now()
  attemptRecorders.recordOutcome(call, source.sent.endpoint, isLate(attempt))
  const outcome = await relayStreams.relayStream(call, {
    source,
    resume: async opts => await resumeStreams.resumeStream(call, state, opts)
  })
  record(attempt, outcome)
  return { kind: 'done', outcome }
}

function afterLoss ({ call, state }: Attempt, why: string): Next {
  return requestStates.mayRun(call.route, state.runs) ? { kind: 'retry' } : { kind: 'fail', why }
}

/** Records the outcome of an attempt for the log and the metrics. */
export function record (attempt: Attempt, outcome: string): void {
  attemptRecorders.recordAttempt(attempt.call, attempt.sent, outcome, attempt.selected.why)
}

function isLate (attempt: Attempt): boolean {
  const { call: { ctx, route }, sent: { sentAt } } = attempt
  return route.targetMs > 0 && ctx.now() - sentAt > route.targetMs
}
