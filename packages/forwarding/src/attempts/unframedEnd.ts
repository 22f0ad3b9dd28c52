/**
 * The end of a response with neither a length nor chunks, which only the end of its connection shows. A process that crashes while it
 * responds ends the connection in the same way, so the end proves nothing until the endpoint is known to have outlived it.
 */
import * as timers from 'node:timers/promises'
import * as attemptRecorders from './attemptRecorder.js'
import type * as attempts from './attempt.js'
import type * as clientCalls from './clientCall.js'
import * as endpointProbes from '../endpoints/endpointProbe.js'

/** A process that ends may accept connections until it is gone, and what it sent may arrive. */
const SETTLE_MS = 150
const LAST_DATA_MS = 50

/**
 * Returns why a response that has ended is not complete, undefined if it is complete as far as that can be known now. An endpoint that
 * does not answer at all may have been cut off, which does not make the response incomplete.
 */
export async function findCut (call: clientCalls.ClientCall, { endpoint, via }: attemptRecorders.SentRequest, response: attempts.OpenResponse): Promise<string | undefined> {
  if (!response.isUnframed) return undefined
  try {
    const socket = await endpoint.dial(via)
    socket.on('error', () => {}).destroy()
    return undefined
  } catch (err) {
    const failure = endpointProbes.toFailure(err)
    // An instance that is killed closes its tunnels in order.
    if (via !== undefined) return `the instance that the response passed through, or the endpoint, is gone: ${failure.why}`
    void attemptRecorders.recordUnreachable(call.ctx, endpoint, failure)
    return failure.isSilent ? undefined : `the endpoint is down at the end of the response: ${failure.why}`
  }
}

/** Records a complete response, once the endpoint is known to have outlived it. */
export async function recordComplete (call: clientCalls.ClientCall, sent: attemptRecorders.SentRequest, response: attempts.OpenResponse): Promise<void> {
  const status = response.res.statusCode ?? 0
  if (!response.isUnframed) {
    attemptRecorders.recordCompleteResponse(call, sent, status)
    return
  }
  const { ctx } = call
  const { endpoint } = sent
  const endedAt = ctx.now()
  const { run } = sent
  sent.keepsRun = true
  await timers.setTimeout(SETTLE_MS, undefined, { ref: false })
  const isHeard = endpoint.answeredAt > endedAt + LAST_DATA_MS
  const failure = isHeard ? undefined : await attemptRecorders.probeAndRecord(ctx, endpoint)
  if (failure === undefined) attemptRecorders.recordCompleteResponse(call, sent, status)
  else if (failure.isSilent) run.end('inconclusive', ctx.now())
  else {
    attemptRecorders.logLost(call, endpoint)
    run.end('lost', endedAt)
  }
}
