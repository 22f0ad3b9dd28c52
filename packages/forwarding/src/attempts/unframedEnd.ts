/**
 * The end of a response with neither a length nor chunks, which only the end of its connection shows. A process that ends while it
 * responds closes the connection in the same way, and may accept others until it is gone. So the end is passed on to the client only
 * once the endpoint is known to have outlived it.
 */
import * as timers from 'node:timers/promises'
import * as links from '@kingcupdeck/links'
import * as attemptRecorders from './attemptRecorder.js'
import type * as attempts from './attempt.js'
import type * as clientCalls from './clientCall.js'
import type * as endpointPools from '../endpoints/endpointPool.js'
import * as endpointProbes from '../endpoints/endpointProbe.js'
import * as endpointWitnesses from '../endpoints/endpointWitness.js'

/** Time for which an endpoint must outlive a response: a process that ends may accept connections until it is gone. */
const SETTLE_MS = 150
/** Pause before a connection is opened again; an endpoint with too many resets further ones. */
const REOPEN_MS = 50
/** Connections that are opened for one response, if the endpoint closes them. */
const MAX_OPENED = 8

/** What is known of an endpoint after the end of its response. */
type Sign =
  /** It has responded to a request that was sent after the end, or has kept a connection open for long enough. */
  | 'alive'
  /** Another process was found at its address, or a later start of it was announced. */
  | 'replaced'
  /** The connection to it was closed, by its end or because it has too many. */
  | 'closed'
  /** The request was aborted. */
  | 'aborted'

/**
 * Waits until it is known whether a response that has ended is complete. Its accounting at the endpoint ends before.
 * @returns why it is not known to be complete, undefined if it is complete
 */
export async function findCut (call: clientCalls.ClientCall, sent: attemptRecorders.SentRequest, response: attempts.OpenResponse): Promise<string | undefined> {
  if (!response.isUnframed) return undefined
  const endedAt = call.ctx.now()
  sent.keepsRun = true
  sent.release()
  const signal = AbortSignal.any([sent.signal, call.aborter.signal])
  for (let opened = 0; opened < MAX_OPENED; opened++) {
    let witness: endpointWitnesses.Witness
    try {
      witness = await endpointWitnesses.openWitness(sent.endpoint, sent.via)
    } catch (err) {
      return await judgeFailure(call, sent, endpointProbes.toFailure(err))
    }
    const sign = await awaitSign(call, sent, witness, endedAt, signal)
    witness.release()
    switch (sign) {
      case 'alive': return undefined
      case 'replaced': return 'the endpoint was replaced at the end of the response'
      case 'aborted': return String(signal.reason)
      case 'closed': await timers.setTimeout(REOPEN_MS, undefined, { ref: false })
    }
  }
  return 'the endpoint closes all connections at the end of the response'
}

/** Waits for the first sign of what became of an endpoint. */
async function awaitSign ({ ctx }: clientCalls.ClientCall, { endpoint }: attemptRecorders.SentRequest, witness: endpointWitnesses.Witness, endedAt: number, signal: AbortSignal): Promise<Sign> {
  return await new Promise<Sign>(resolve => {
    const settle = (sign: Sign): void => {
      cancelDeadline()
      endpoint.answerListeners.delete(onAnswer)
      endpoint.downListeners.delete(onDown)
      signal.removeEventListener('abort', onAbort)
      resolve(sign)
    }
    const onAnswer = (sentAt: number): void => { if (sentAt > endedAt) settle('alive') }
    const onDown = (failure: endpointProbes.ProbeFailure): void => { if (!failure.isSilent) settle('replaced') }
    const onAbort = (): void => { settle('aborted') }
    const cancelDeadline = links.setDeadline(Math.max(0, endedAt + SETTLE_MS - ctx.now()), () => { settle(isReplaced(endpoint, endedAt) ? 'replaced' : 'alive') })
    endpoint.answerListeners.add(onAnswer)
    endpoint.downListeners.add(onDown)
    signal.addEventListener('abort', onAbort)
    void witness.closed.then(() => { settle('closed') })
    if (signal.aborted) onAbort()
  })
}

function isReplaced (endpoint: endpointPools.Endpoint, endedAt: number): boolean {
  return endpoint.misdirectedAt !== undefined && endpoint.misdirectedAt >= endedAt
}

/** @returns why a response is not known to be complete after its endpoint could not be connected to, undefined if only the path was lost */
async function judgeFailure (call: clientCalls.ClientCall, { endpoint, via }: attemptRecorders.SentRequest, failure: endpointProbes.ProbeFailure): Promise<string | undefined> {
  // An instance that is killed closes its tunnels in order.
  if (via !== undefined) return `the instance that the response passed through, or the endpoint, is gone: ${failure.why}`
  const verdict = await attemptRecorders.recordUnreachable(call.ctx, endpoint, failure)
  return verdict === 'lost' ? undefined : `the endpoint is not reached at the end of the response: ${failure.why}`
}
