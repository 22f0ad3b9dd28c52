/** One request of a client: what was decided when it came in, and how it is answered. */
import * as http from 'node:http'
import * as entryContexts from './entryContext.js'
import * as retryAfters from './retryAfter.js'
import * as routeTables from './routeTable.js'

/** How a send to an endpoint went, for the log. */
export interface AttemptRecord { endpoint: string, /** Why this endpoint was chosen. */ why: string, outcome: string, ms: number }

/** One request of a client. */
export interface ClientCall {
  req: http.IncomingMessage
  res: http.ServerResponse
  ctx: entryContexts.EntryContext
  route: routeTables.Route
  table: routeTables.CompiledTable
  service: string
  account: string | undefined
  /** Rank of the client account, null where it has none. */
  accountRank: number | null
  attemptId: string
  body: Buffer
  /** When the head of the request was here. */
  startedAt: number
  /** When the client no longer waits, or the route's time is over. */
  deadlineAt: number
  /** Aborted when nothing is to be gained any more; the reason says why. */
  aborter: AbortController
  attempts: AttemptRecord[]
  /** Whether some endpoint may have run the request. */
  mayHaveRun: boolean
  firstByteAt: number | undefined
}

/** What the fleet itself answers. */
export type Refusal =
  /** The request did not run and will not: come back after a while. */
  | { kind: 'unavailable', why: string, cause: retryAfters.RefusalCause }
  /** The request itself is at fault. */
  | { kind: 'rejected', status: 400 | 401 | 404 | 413 | 431, why: string }
  /** An endpoint may have run the request, but there is no answer. */
  | { kind: 'lost', why: string }
  /** The time is over; an endpoint may have run the request. */
  | { kind: 'timeout', why: string }

/**
 * Answers a request without an endpoint's answer.
 * @param call the request and where its answer goes
 * @param refusal what is answered
 * @param attemptHeader name of the header that echoes the attempt's id
 */
export function writeRefusal (call: { req: http.IncomingMessage, res: http.ServerResponse, attemptId: string | undefined }, refusal: Refusal, attemptHeader: string): void {
  const { res } = call
  if (res.headersSent || res.destroyed) {
    // The head of an endpoint's answer is out: only a broken connection shows that the answer is not whole.
    res.destroy()
    return
  }
  const body = Buffer.from(JSON.stringify({ error: { kind: refusal.kind, message: refusal.why } }))
  if (call.attemptId !== undefined) res.setHeader(attemptHeader, call.attemptId)
  if (refusal.kind === 'unavailable') res.setHeader('Retry-After', (retryAfters.toRetryAfterMs(refusal.cause, Math.random()) / 1000).toFixed(3))
  if (!call.req.complete) res.setHeader('Connection', 'close')
  res.setHeader('Content-Type', 'application/json')
  res.setHeader('Content-Length', body.length)
  res.writeHead(toStatus(refusal))
  res.end(body)
}

/**
 * Gives the status of a refusal.
 * @param refusal what is answered
 * @returns the HTTP status
 */
export function toStatus (refusal: Refusal): number {
  switch (refusal.kind) {
    case 'unavailable': return 503
    case 'rejected': return refusal.status
    case 'lost': return 502
    case 'timeout': return 504
  }
}
