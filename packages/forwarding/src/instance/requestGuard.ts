/**
 * Guard of a request: ends it if its handling has not done so shortly after its deadline, whatever keeps it. A request whose client waits
 * for ever is worse than one that fails.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as abortResponses from '../streams/abortResponse.js'
import * as brokenResponses from './brokenResponses.js'
import * as clientCalls from '../attempts/clientCall.js'
import type * as entryContexts from './entryContext.js'

/** A request that is being handled. */
export interface GuardedRequest extends clientCalls.RefusableRequest {
  /** The request once it is admitted and its body was read. */
  call?: clientCalls.ClientCall
}

/** Guard of a request. */
export interface RequestGuard {
  /** Sets the time that is left until the deadline, in milliseconds. */
  setDeadline (remainingMs: number): void
  stop (): void
}

/** Added to the deadline, at which the handling of the request ends by itself. */
const MARGIN_MS = 200
const STOPPING = 'this instance is stopping'

/** Starts a guard, without a deadline. */
export function createGuard (request: GuardedRequest, ctx: entryContexts.EntryContext): RequestGuard {
  let timer: NodeJS.Timeout | undefined
  return {
    setDeadline (remainingMs) {
      clearTimeout(timer)
      timer = setTimeout(() => { end(request, ctx) }, contracts.input.toTimerMs(remainingMs + MARGIN_MS))
    },
    stop () { clearTimeout(timer) }
  }
}

function end (request: GuardedRequest, ctx: entryContexts.EntryContext): void {
  const { call, res } = request
  if (res.writableEnded || res.destroyed) return
  ctx.log.event('requestOverdue', { request: request.attemptId, step: toStep(request), attempts: call?.attempts.length })
  // Whatever keeps the request, it is not sent any more.
  call?.aborter.abort('the deadline has passed')
  if (res.headersSent) {
    brokenResponses.noteCause(res, 'deadline')
    abortResponses.abortResponse(res)
    return
  }
  clientCalls.writeRefusal(request, call?.isSent === true ? { kind: 'timeout', why: 'the deadline has passed' } : { kind: 'unavailable', why: 'the deadline has passed', cause: { kind: 'error' } }, ctx.names.attemptId)
}

/** Ends a request that has no response yet because this instance stops. A response that has begun may still be completed. */
export function endStopping (request: GuardedRequest, ctx: entryContexts.EntryContext): void {
  const { call, res } = request
  if (res.writableEnded || res.destroyed || res.headersSent) return
  ctx.log.event('requestStopped', { request: request.attemptId, route: call?.route.name, step: toStep(request), attempts: call?.attempts.length })
  call?.aborter.abort(STOPPING)
  // A response that waits for its turn on the connection is sent with the earlier ones.
  clientCalls.writeRefusal(request, call?.isSent === true ? { kind: 'lost', why: `${STOPPING}; the request may have run` } : { kind: 'unavailable', why: STOPPING, cause: { kind: 'stopping' } }, ctx.names.attemptId)
}

function toStep ({ call, req, res }: GuardedRequest): string {
  if (res.headersSent) return 'response'
  if (call !== undefined) return call.isSent ? 'sent' : 'not sent'
  return req.complete ? 'admission' : 'body'
}
