/** Unexpected errors in the handling of a request: they end this request alone, and its client gets an answer that is true. */
import * as abortResponses from '../streams/abortResponse.js'
import * as brokenResponses from './brokenResponses.js'
import * as clientCalls from '../attempts/clientCall.js'
import type * as entryContexts from './entryContext.js'

const MESSAGE = 'an unexpected error, see the log of this instance'

/** Ends an admitted request after an error. @returns the outcome for the log */
export function endWithError (call: clientCalls.ClientCall, err: unknown): string {
  const refusal: clientCalls.Refusal = call.isSent ? { kind: 'lost', why: MESSAGE } : toNotRun()
  return writeError(call, refusal, call.ctx, err)
}

/**
 * Ends a request that was not sent to an endpoint after an error.
 * @returns the outcome for the log
 */
export function refuseWithError (request: clientCalls.RefusableRequest, ctx: entryContexts.EntryContext, err: unknown): string {
  return writeError(request, toNotRun(), ctx, err)
}

function toNotRun (): clientCalls.Refusal {
  return { kind: 'unavailable', why: MESSAGE, cause: { kind: 'error' } }
}

function writeError (request: clientCalls.RefusableRequest, refusal: clientCalls.Refusal, ctx: entryContexts.EntryContext, err: unknown): string {
  const { res, attemptId } = request
  ctx.log.event('uncaught', { step: 'request', request: attemptId, detail: toDetail(err) })
  const why = err instanceof Error ? err.message : String(err)
  if (res.destroyed || res.writableEnded) return `error: ${why}`
  brokenResponses.noteCause(res, 'error')
  if (res.headersSent) {
    abortResponses.abortResponse(res)
    return `error: ${why}`
  }
  // Headers of a response that was not sent must not be those of this one.
  for (const name of res.getHeaderNames()) if (name !== 'connection') res.removeHeader(name)
  clientCalls.writeRefusal(request, refusal, ctx.names.attemptId)
  return `${clientCalls.toStatus(refusal)} error: ${why}`
}

function toDetail (err: unknown): string {
  return err instanceof Error ? err.stack ?? err.message : String(err)
}
