/** An admitted client request, and the responses that the entry instance generates itself. */
import * as http from 'node:http'
import * as entryContexts from '../instance/entryContext.js'
import * as retryAfters from '../admission/retryAfter.js'
import * as routeTables from '../admission/routeTable.js'

/** Why a request is aborted when its client disconnects. */
export const CLIENT_LEFT = 'the client left'

/** Result of one attempt at an endpoint, for the log. */
export interface AttemptRecord { endpoint: string, /** Why the endpoint was selected. */ why: string, outcome: string, ms: number }

/** An admitted client request. */
export interface ClientCall {
  req: http.IncomingMessage
  res: http.ServerResponse
  ctx: entryContexts.EntryContext
  route: routeTables.Route
  table: routeTables.CompiledTable
  service: string
  account: string | undefined
  /** Rank of the client account, null without one. */
  accountRank: number | null
  /** Regions whose endpoints may run it, undefined without a restriction. */
  allowedRegions: readonly string[] | undefined
  attemptId: string
  body: Buffer
  /** Identifies the request across the attempts of its client. */
  fingerprint: string
  /** Keys of what may crash endpoints: the request and the shared parts of its prompt. */
  suspects: readonly string[]
  /** Ids of the parts of its prompt that other requests may share. */
  sharedParts: readonly string[]
  /** When the request headers were received. */
  startedAt: number
  /** The earlier of the client deadline and the timeout of the route. */
  deadlineAt: number
  /** Aborted when the deadline is over or the client disconnects; the reason says which. */
  aborter: AbortController
  attempts: AttemptRecord[]
  /** Whether a connection to an endpoint was given the request: from then on it must not be reported as not run after an exception. */
  isSent: boolean
  /** Whether an endpoint may have run the request. */
  mayHaveRun: boolean
  firstByteAt: number | undefined
}

/** Error responses of the entry instance itself. */
export type Refusal =
  /** The request did not run; the client may retry it later. */
  | { kind: 'unavailable', why: string, cause: retryAfters.RefusalCause }
  /** The request is invalid. */
  | { kind: 'rejected', status: 400 | 401 | 403 | 404 | 413 | 431, why: string }
  /** An endpoint may have run the request, but its response was lost. */
  | { kind: 'lost', why: string }
  /** The deadline is over; an endpoint may have run the request. */
  | { kind: 'timeout', why: string }

/** What an error response needs of a request. */
export interface RefusableRequest { req: http.IncomingMessage, res: http.ServerResponse, attemptId: string | undefined }

/** Sends an error response, or breaks the connection if a response has already started. */
export function writeRefusal (call: RefusableRequest, refusal: Refusal, attemptHeader: string): void {
  const { res } = call
  if (res.writableEnded) return
  if (res.headersSent || res.destroyed) {
    // The response headers were sent: only a broken connection marks the response as incomplete.
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

/** Returns the HTTP status of a refusal. */
export function toStatus (refusal: Refusal): number {
  switch (refusal.kind) {
    case 'unavailable': return 503
    case 'rejected': return refusal.status
    case 'lost': return 502
    case 'timeout': return 504
  }
}
