/** Helpers for Node's HTTP server: size-limited bodies, JSON responses, and errors in the format of the OpenAI API. */
import * as http from 'node:http'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'

/** Limits of the bodies of callers and endpoints; how many bytes are read is the limit of each call. A prompt may be a list of token ids. */
const JSON_LIMITS: contracts.input.JsonLimits = { maxBytes: Infinity, maxDepth: 100, maxValues: 2_000_000 }

/** A request and its response. */
export interface Exchange {
  req: http.IncomingMessage
  res: http.ServerResponse
  url: URL
  requestId: string
  /** Account of what the process holds for its clients. */
  held: links.HeldBytes
}

const NO_ROOM_RETRY_MS = 1000

/**
 * Reads a request body.
 * @throws FailureError `body_too_large` as soon as the limit is exceeded, without reading the rest; `overloaded` if the process holds too
 * much for its clients; `cancelled` if the client left
 */
export async function readBody ({ req, res, held }: Exchange, limitBytes: number): Promise<Buffer> {
  const holder = held.open()
  res.once('close', holder.release)
  const read = await links.readRequestBody(req, { maxBytes: limitBytes, holder })
  switch (read.kind) {
    case 'complete': return read.body
    case 'tooLarge': throw new contracts.FailureError({ kind: 'body_too_large', limitBytes })
    case 'noRoom': throw new contracts.FailureError({ kind: 'overloaded', retryAfterMs: NO_ROOM_RETRY_MS })
    case 'broken': throw new contracts.FailureError({ kind: 'cancelled', ran: 'no' })
  }
}

/**
 * Parses a body as JSON.
 * @throws FailureError `bad_request`
 */
export function parseJson (body: Buffer): unknown {
  const parsed = contracts.input.parseJson(body, JSON_LIMITS)
  if (parsed.kind === 'invalid') throw new contracts.FailureError({ kind: 'bad_request', detail: `The body cannot be read: ${parsed.message}` })
  return parsed.value
}

/**
 * Sends a JSON response.
 * @param headers additional headers
 */
export function sendJson (exchange: Exchange, status: number, body: unknown, headers: http.OutgoingHttpHeaders = {}): void {
  const text = JSON.stringify(body)
  exchange.res.writeHead(status, { 'content-type': 'application/json', [contracts.HEADERS.requestId]: exchange.requestId, ...headers })
  exchange.res.end(text)
}

/**
 * Sends an error response, with `retry-after` where a retry can succeed. Once the headers are sent, the error is
 * appended to the event stream instead.
 */
export function sendFailure (exchange: Exchange, failure: contracts.Failure): void {
  const { res } = exchange
  const body = contracts.toErrorBody(failure, exchange.requestId)
  if (res.headersSent) {
    if (!res.writableEnded) res.end(`data: ${JSON.stringify(body)}\n\n`)
    return
  }
  const retryAfterMs = contracts.toRetryAfterMs(failure)
  const headers: http.OutgoingHttpHeaders = { [contracts.HEADERS.ran]: contracts.toRan(failure) }
  if (retryAfterMs !== undefined) headers['retry-after'] = String(Math.max(1, Math.ceil(retryAfterMs / 1000)))
  // Retrying a call whose outcome is unknown returns the same error, so automatic retries are disabled.
  if (contracts.toRan(failure) === 'unknown' || failure.kind === 'request_quarantined') headers[contracts.HEADERS.shouldRetry] = 'false'
  // Unread bytes of the body would be parsed as the next request.
  if (!exchange.req.complete) headers.connection = 'close'
  sendJson(exchange, contracts.toStatus(failure), body, headers)
}

/**
 * Returns a header's first value.
 * @param name lower-case name
 */
export function toHeader (req: http.IncomingMessage, name: string): string | undefined {
  const value = req.headers[name]
  return Array.isArray(value) ? value[0] : value
}
