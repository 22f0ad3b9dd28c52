/** A client's request as it is sent to an endpoint. */
import * as http from 'node:http'
import * as attempts from './attempt.js'
import * as clientCalls from './clientCall.js'
import * as forwardHeaders from './forwardHeaders.js'
import * as selectEndpoints from './selectEndpoint.js'

const BODILESS = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE'])

/**
 * Makes the request that an endpoint is sent.
 * @param call the client's request
 * @param picked the endpoint
 * @param leftMs how long the client still waits, milliseconds
 * @param lastEventId the last event that the client has, where the rest of a stream is asked for
 * @returns what is sent
 */
export function toOutgoingRequest (call: clientCalls.ClientCall, picked: selectEndpoints.SelectedEndpoint, leftMs: number, lastEventId: string | undefined): attempts.OutgoingRequest {
  const { req, ctx } = call
  // A method with a body needs a length even if the client sent none, or the HTTP library would send chunks.
  const hasBody = call.body.length > 0 || !BODILESS.has(req.method ?? 'GET')
  const add: forwardHeaders.RequestAdditions = { leftMs, endpointId: picked.endpoint.id, account: call.account, bodyBytes: call.body.length, hasBody, lastEventId, fetchFrom: picked.fetchFrom }
  return {
    method: req.method ?? 'GET',
    url: req.url ?? '/',
    headers: forwardHeaders.toRequestHeaders(req.rawHeaders, ctx.names, add),
    body: call.body,
    attemptId: call.attemptId
  }
}

/**
 * Tells whether an answer is a stream of events.
 * @param res the answer's head
 * @returns whether its body is one
 */
export function isEventStream (res: http.IncomingMessage): boolean {
  return res.headers['content-type']?.startsWith('text/event-stream') === true
}
