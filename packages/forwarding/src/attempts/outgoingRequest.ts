/** Conversion of a client request to a request to an endpoint. */
import * as http from 'node:http'
import * as attempts from './attempt.js'
import * as clientCalls from './clientCall.js'
import * as forwardHeaders from './forwardHeaders.js'
import * as selectEndpoints from '../placement/selectEndpoint.js'

const BODILESS = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE'])

/**
 * Builds the request to an endpoint.
 * @param remainingMs time until the deadline, in milliseconds
 */
export function toOutgoingRequest (call: clientCalls.ClientCall, selected: selectEndpoints.SelectedEndpoint, remainingMs: number, lastEventId: string | undefined): attempts.OutgoingRequest {
  const { req, ctx } = call
  // Without Content-Length the HTTP library would use chunked encoding for methods that allow a body.
  const hasBody = call.body.length > 0 || !BODILESS.has(req.method ?? 'GET')
  const additions: forwardHeaders.RequestAdditions = { remainingMs, endpointId: selected.endpoint.id, account: call.account, bodyBytes: call.body.length, hasBody, lastEventId, fetchFrom: selected.fetchFrom }
  return {
    method: req.method ?? 'GET',
    url: req.url ?? '/',
    headers: forwardHeaders.toRequestHeaders(req.rawHeaders, ctx.names, additions),
    body: call.body,
    attemptId: call.attemptId
  }
}

/** Returns whether a response is an event stream. */
export function isEventStream (res: http.IncomingMessage): boolean {
  return res.headers['content-type']?.startsWith('text/event-stream') === true
}
