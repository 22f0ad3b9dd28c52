/** Completion of a client request, with the response of an endpoint or with an error response. */
import * as http from 'node:http'
import * as links from '@kingcupdeck/links'
import * as clientCalls from './clientCall.js'
import * as forwardHeaders from './forwardHeaders.js'
import * as abortResponses from '../streams/abortResponse.js'
import * as brokenResponses from '../instance/brokenResponses.js'

/** With less time until the deadline, no further attempt is made, in milliseconds. */
export const MIN_REMAINING_MS = 10

/** A completely received response of an endpoint. */
export interface BufferedResponse { res: http.IncomingMessage, body: Buffer }

/** Logs headers of a response that cannot be sent. */
export function logInvalidHeaders ({ ctx, attemptId }: clientCalls.ClientCall, names: string): void {
  ctx.log.event('headersInvalid', { request: attemptId, names })
}

/** Keeps a response in the account of held bytes until the client has it. A client that reads slowly is disconnected if it holds most. */
export function holdUntilSent ({ res }: clientCalls.ClientCall, holder: links.Holder, bytes: number): void {
  links.holdResponse(res, holder, bytes, () => {
    if (!res.headersSent) return
    brokenResponses.noteCause(res, 'memory')
    abortResponses.abortResponse(res)
  })
}

/** Sends the response of an endpoint to the client and returns the outcome for the log. */
export function sendResponse (call: clientCalls.ClientCall, response: BufferedResponse): string {
  const { res, ctx } = call
  if (res.destroyed) return 'the client left'
  call.firstByteAt ??= ctx.now()
  const status = response.res.statusCode ?? 502
  const headers = forwardHeaders.toResponseHeaders(response.res.rawHeaders, names => { logInvalidHeaders(call, names) })
  if (call.req.method !== 'HEAD' && status !== 204 && status !== 304) headers.push('Content-Length', String(response.body.length))
  if (ctx.isDraining()) headers.push('Connection', 'close')
  res.writeHead(status, headers)
  res.end(response.body)
  return String(status)
}

/**
 * Completes a request without further attempts, and returns the outcome for the log.
 * @param delayMs lowest queue delay in milliseconds, if the endpoints are overloaded
 */
export function sendFailure (call: clientCalls.ClientCall, fallback: BufferedResponse | undefined, why: string, delayMs?: number): string {
  if (fallback !== undefined) return sendResponse(call, fallback)
  if (call.res.destroyed) return 'the client left'
  const isLate = call.deadlineAt - call.ctx.now() < MIN_REMAINING_MS
  if (call.mayHaveRun) return sendRefusal(call, isLate ? { kind: 'timeout', why } : { kind: 'lost', why })
  if (delayMs !== undefined) return sendRefusal(call, { kind: 'unavailable', why, cause: { kind: 'busy', delayMs } })
  const hasNoEndpoint = call.ctx.pool.usable(call.service, call.ctx.now()).length === 0
  return sendRefusal(call, { kind: 'unavailable', why, cause: { kind: hasNoEndpoint ? 'noEndpoint' : 'noRoom' } })
}

/** Sends an error response and returns the outcome for the log. */
export function sendRefusal (call: clientCalls.ClientCall, refusal: clientCalls.Refusal): string {
  clientCalls.writeRefusal(call, refusal, call.ctx.names.attemptId)
  return `${clientCalls.toStatus(refusal)} ${refusal.why}`
}
