/** How a request ends towards its client: with an endpoint's whole answer, or with one of our own. */
import * as http from 'node:http'
import * as clientCalls from './clientCall.js'
import * as forwardHeaders from './forwardHeaders.js'

/** With less time left than this, no endpoint can answer in time, milliseconds. */
export const MIN_REMAINING_MS = 10

/** An endpoint's answer that is whole. */
export interface BufferedResponse { res: http.IncomingMessage, body: Buffer }

/**
 * Passes a whole answer on.
 * @param call the request
 * @param answer the endpoint's answer
 * @returns the outcome, for the log
 */
export function sendResponse (call: clientCalls.ClientCall, answer: BufferedResponse): string {
  const { res, ctx } = call
  if (res.destroyed) return 'the client left'
  call.firstByteAt ??= ctx.now()
  const status = answer.res.statusCode ?? 502
  const headers = forwardHeaders.toResponseHeaders(answer.res.rawHeaders)
  if (call.req.method !== 'HEAD' && status !== 204 && status !== 304) headers.push('Content-Length', String(answer.body.length))
  if (ctx.isDraining()) headers.push('Connection', 'close')
  res.writeHead(status, headers)
  res.end(answer.body)
  return String(status)
}

/**
 * Ends a request for which nothing more can be tried.
 * @param call the request
 * @param held an endpoint's failure, if there is one to pass on
 * @param why why nothing more can be tried
 * @param delayMs by how much the endpoints begin late, where that is why, milliseconds
 * @returns the outcome, for the log
 */
export function sendFailure (call: clientCalls.ClientCall, held: BufferedResponse | undefined, why: string, delayMs?: number): string {
  if (held !== undefined) return sendResponse(call, held)
  if (call.res.destroyed) return 'the client left'
  const isLate = call.deadlineAt - call.ctx.now() < MIN_REMAINING_MS
  if (call.mayHaveRun) return sendRefusal(call, isLate ? { kind: 'timeout', why } : { kind: 'lost', why })
  if (delayMs !== undefined) return sendRefusal(call, { kind: 'unavailable', why, cause: { kind: 'busy', delayMs } })
  const isUnreachable = call.ctx.pool.usable(call.service, call.ctx.now()).length === 0
  return sendRefusal(call, { kind: 'unavailable', why, cause: { kind: isUnreachable ? 'noEndpoint' : 'noRoom' } })
}

/**
 * Answers a request without an endpoint's answer.
 * @param call the request
 * @param refusal what is answered
 * @returns the outcome, for the log
 */
export function sendRefusal (call: clientCalls.ClientCall, refusal: clientCalls.Refusal): string {
  clientCalls.writeRefusal(call, refusal, call.ctx.names.attemptId)
  return `${clientCalls.toStatus(refusal)} ${refusal.why}`
}
