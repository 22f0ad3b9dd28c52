/** Admission checks on the headers of a request: size, route, API key and attempt id. */
import * as clientCalls from '../attempts/clientCall.js'
import * as headerNames from '../attempts/headerNames.js'
import * as routeTables from './routeTable.js'

/** Request line and headers of a request. */
export interface RequestHead {
  method: string
  url: string
  host: string | undefined
  /** Alternating names and values. */
  rawHeaders: readonly string[]
}

/** Result of {@link admit}. */
export type Admission =
  | { kind: 'admitted', route: routeTables.Route, account: routeTables.ClientAccount | undefined, /** Regions whose endpoints may run the request, undefined without a restriction. */ allowedRegions: readonly string[] | undefined, attemptId: string, clientDeadlineMs: number | undefined }
  | { kind: 'refused', refusal: clientCalls.Refusal }

/** Returns whether a newer document could admit the request: its route or API key was not found, or may not run in any region. */
export function dependsOnDocument (refusal: clientCalls.Refusal): boolean {
  return refusal.kind === 'rejected' && (refusal.status === 401 || refusal.status === 403 || refusal.status === 404)
}

const ATTEMPT_ID = /^[\x21-\x7e]{1,200}$/

/** Checks a request against the document in force. */
export function admit (head: RequestHead, table: routeTables.CompiledTable, names: headerNames.HeaderNames): Admission {
  const reject = (status: 400 | 401 | 403 | 404 | 413 | 431, why: string): Admission => ({ kind: 'refused', refusal: { kind: 'rejected', status, why } })
  const headerBytes = head.rawHeaders.reduce((sum, text) => sum + text.length + 2, head.method.length + head.url.length)
  if (headerBytes > table.limits.maxHeaderBytes) return reject(431, `the headers have ${headerBytes} bytes, the limit is ${table.limits.maxHeaderBytes}: send fewer or shorter ones`)
  // Repeated headers could be interpreted differently by the endpoint (request smuggling).
  const uniqueHeaders = ['host', names.attemptId, names.deadlineMs, names.key, 'content-length']
  for (const name of uniqueHeaders) {
    if (countHeader(head.rawHeaders, name) > 1) return reject(400, `the header ${name} is repeated: send it once`)
  }
  if (head.host === undefined || !head.url.startsWith('/')) return reject(400, 'send a Host header and a path that starts with a slash')
  const route = routeTables.findRoute(table, head.host, head.url)
  if (route === undefined) return reject(404, 'no route matches this host and path')
  const attemptId = findHeader(head.rawHeaders, names.attemptId)
  if (attemptId === undefined || !ATTEMPT_ID.test(attemptId)) return reject(400, `send an attempt id of 1 to 200 printable ASCII characters in ${names.attemptId}`)
  const key = findHeader(head.rawHeaders, names.key)
  const account = key === undefined ? undefined : table.accountByKey.get(key)
  if (table.hasAccounts && !route.isKeyless && account === undefined) return reject(401, `send a valid API key in ${names.key}`)
  const allowedRegions = routeTables.toAllowedRegions(route, account)
  if (allowedRegions?.length === 0) return reject(403, 'the route and the client account allow no common region: correct the regions of one of them')
  return { kind: 'admitted', route, account, allowedRegions, attemptId, clientDeadlineMs: toClientDeadlineMs(head.rawHeaders, names) }
}

/**
 * Returns the client deadline.
 * @param raw alternating names and values
 * @returns milliseconds from now, or undefined without one
 */
export function toClientDeadlineMs (raw: readonly string[], names: headerNames.HeaderNames): number | undefined {
  const ms = Number(findHeader(raw, names.deadlineMs))
  return Number.isFinite(ms) && ms > 0 ? ms : undefined
}

/**
 * Returns the first value of a header.
 * @param raw alternating names and values
 * @param name header name in lower case
 */
export function findHeader (raw: readonly string[], name: string): string | undefined {
  for (let i = 0; i < raw.length; i += 2) {
    if (raw[i].toLowerCase() === name) return raw[i + 1]
  }
  return undefined
}

function countHeader (raw: readonly string[], name: string): number {
  let count = 0
  for (let i = 0; i < raw.length; i += 2) {
    if (raw[i].toLowerCase() === name) count++
  }
  return count
}
