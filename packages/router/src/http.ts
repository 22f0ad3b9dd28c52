/** Helpers around Node's HTTP server: bodies with a limit, JSON answers, errors in the shape that OpenAI clients read. */
import * as http from 'node:http'
import * as contracts from '@kingcupdeck/contracts'

/** A request and its answer. */
export interface Exchange {
  req: http.IncomingMessage
  res: http.ServerResponse
  /** Path and query. */
  url: URL
  requestId: string
}

/**
 * Reads a body, up to a limit.
 * @param req the request
 * @param limitBytes the most that is taken
 * @returns the bytes
 * @throws FailureError `body_too_large`, before the rest is read
 */
export async function readBody (req: http.IncomingMessage, limitBytes: number): Promise<Buffer> {
  const refuse = (): never => { throw new contracts.FailureError({ kind: 'body_too_large', limitBytes }) }
  if (Number(req.headers['content-length'] ?? 0) > limitBytes) refuse()
  const parts: Buffer[] = []
  let size = 0
  for await (const part of req) {
    size += (part as Buffer).length
    if (size > limitBytes) refuse()
    parts.push(part as Buffer)
  }
  return Buffer.concat(parts)
}

/**
 * Parses a body as JSON.
 * @param body the bytes
 * @returns the value
 * @throws FailureError `bad_request`
 */
export function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch (err) {
    throw new contracts.FailureError({ kind: 'bad_request', detail: `The body is not JSON: ${err instanceof Error ? err.message : String(err)}` })
  }
}

/**
 * Answers with JSON.
 * @param exchange the request
 * @param status HTTP status
 * @param body what to send
 * @param headers further headers
 */
export function sendJson (exchange: Exchange, status: number, body: unknown, headers: http.OutgoingHttpHeaders = {}): void {
  const text = JSON.stringify(body)
  exchange.res.writeHead(status, { 'content-type': 'application/json', [contracts.HEADERS.requestId]: exchange.requestId, ...headers })
  exchange.res.end(text)
}

/**
 * Answers with an error, and with when to come back where that helps.
 * @param exchange the request
 * @param failure the error
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
  // A repeat of a call whose outcome is unknown gets the same answer: clients that retry by themselves are told not to.
  if (contracts.toRan(failure) === 'unknown' || failure.kind === 'request_quarantined') headers[contracts.HEADERS.shouldRetry] = 'false'
  // The rest of a body that was not read would be taken for the next request.
  if (!exchange.req.complete) headers.connection = 'close'
  sendJson(exchange, contracts.toStatus(failure), body, headers)
}

/**
 * Reads one header.
 * @param req the request
 * @param name lower-case name
 * @returns its value, or undefined
 */
export function toHeader (req: http.IncomingMessage, name: string): string | undefined {
  const value = req.headers[name]
  return Array.isArray(value) ? value[0] : value
}
