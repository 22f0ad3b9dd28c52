/** Resumption of a stream at another endpoint. */
import * as attemptRecorders from '../attempts/attemptRecorder.js'
import * as clientCalls from '../attempts/clientCall.js'
import * as quarantineReasons from '../quarantine/quarantineReason.js'
import * as openAttempts from '../attempts/openAttempt.js'
import type * as relayStreams from './relayStream.js'
import * as requestStates from '../attempts/requestState.js'
import * as retryBudgets from '../attempts/retryBudget.js'
import * as selectEndpoints from '../placement/selectEndpoint.js'

/**
 * Requests the rest of a stream from other endpoints, up to its first new event. The queue delay is not limited, because the client
 * already has a part of the response.
 */
export async function resumeStream (call: clientCalls.ClientCall, state: requestStates.RequestState, opts: relayStreams.ResumeOptions): Promise<relayStreams.ResumeResult> {
  let sends = 0
  while (sends < selectEndpoints.MAX_SENDS) {
    const why = toObstacle(call, state, opts)
    if (why !== undefined) return { kind: 'none', why }
    const selected = select(call, state, opts.isSourceOpen())
    if (selected === undefined) {
      if (!opts.isSourceOpen() && await requestStates.awaitVerdicts(call, state)) continue
      return { kind: 'none', why: 'no further endpoint is available' }
    }
    if (requestStates.needsTrialPermit(call, state)) {
      if (!await requestStates.requestTrialPermit(call, state)) return { kind: 'none', why: toQuarantineReason(call) }
      // Limits and loads have changed meanwhile.
      continue
    }
    if (!requestStates.trySpendRetry(call, opts.isSourceOpen() ? retryBudgets.HEDGE_SHARE : 1)) return { kind: 'none', why: 'the retry budget is exhausted' }
    sends++
    const result = await attempt(call, state, selected, opts)
    if (result !== undefined) return { kind: 'stream', source: result }
  }
  return { kind: 'none', why: 'no endpoint accepted the request' }
}

/** Returns why the stream must not be resumed now, if so. */
function toObstacle (call: clientCalls.ClientCall, state: requestStates.RequestState, opts: relayStreams.ResumeOptions): string | undefined {
  const { ctx, route } = call
  if (opts.signal.aborted) return String(opts.signal.reason)
  if (requestStates.isOver(call)) return 'the deadline has passed'
  if (!state.holdsTrialPermit && ctx.quarantine.isQuarantined(call.suspects, ctx.now())) return toQuarantineReason(call)
  // The silent endpoint may have crashed because of the request.
  if (opts.isSourceOpen() && ctx.quarantine.isSuspected(call.suspects)) return 'the request is suspected of crashing endpoints'
  return requestStates.mayRun(route, state.runs) ? undefined : 'no further attempt is allowed'
}

function toQuarantineReason ({ ctx, suspects }: clientCalls.ClientCall): string {
  return quarantineReasons.toQuarantineReason(ctx.quarantine.judge(suspects, ctx.now()))
}

/** While the source is only silent, an endpoint is selected only if it is responsive. */
function select (call: clientCalls.ClientCall, state: requestStates.RequestState, isSourceOpen: boolean): selectEndpoints.SelectedEndpoint | undefined {
  if (isSourceOpen) return selectEndpoints.selectResponsive(call, state.tried, Infinity)
  const selected = selectEndpoints.selectEndpoint(call, state.tried, Infinity)
  return selected.kind === 'selected' ? selected : undefined
}

/** @returns the stream, which is to be released, or undefined if the endpoint sent none */
async function attempt (call: clientCalls.ClientCall, state: requestStates.RequestState, selected: selectEndpoints.SelectedEndpoint, opts: relayStreams.ResumeOptions): Promise<openAttempts.StreamSource | undefined> {
  const sent = selectEndpoints.recordSend(call, state.tried, selected)
  const onAbort = (): void => { sent.abort(String(opts.signal.reason)) }
  opts.signal.addEventListener('abort', onAbort)
  const result = await openAttempts.openAttempt({
    call,
    state,
    selected,
    sent,
    lastEventId: opts.lastEventId,
    isOtherOpen: opts.isSourceOpen
  })
  opts.signal.removeEventListener('abort', onAbort)
  switch (result.kind) {
    case 'stream':
      if ((result.source.response.res.statusCode ?? 0) < 300) return result.source
      result.source.reader.abort('the resumption failed')
      recordFailed(call, sent, result.source.response.res.statusCode)
      break
    case 'complete':
      recordFailed(call, sent, result.response.res.statusCode)
      break
    case 'notRun':
      attemptRecorders.recordAttempt(call, sent, `notRun ${result.status}`)
      break
    case 'unsendable':
    case 'unreachable':
    case 'lost':
    case 'aborted':
      attemptRecorders.recordAttempt(call, sent, `${result.kind}: ${result.why}`)
  }
  sent.release()
  return undefined
}

function recordFailed (call: clientCalls.ClientCall, sent: attemptRecorders.SentRequest, status: number | undefined): void {
  attemptRecorders.recordAttempt(call, sent, `no stream ${status}`)
  attemptRecorders.recordOutcome(call, sent.endpoint, true)
  sent.run.end('inconclusive', call.ctx.now())
}
