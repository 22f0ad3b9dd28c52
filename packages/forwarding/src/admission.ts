/** Whether a request may be sent on: its route, its key, its size, its attempt's id. No input or output. */
import * as headerNames from './headerNames.js'
import * as clientCalls from './clientCall.js'
import * as routeTables from './routeTable.js'

/** The head of a request. */
export interface RequestHead {
  method: string
  url: string
  host: string | undefined
  /** Names and values by turns. */
  rawHeaders: readonly string[]
}

/** What came of looking at a head. */
export type Admission =
  | { kind: 'admitted', route: routeTables.Route, account: routeTables.ClientAccount | undefined, attemptId: string, clientDeadlineMs: number | undefined }
  | { kind: 'refused', refusal: clientCalls.Refusal }

/**
 * Tells whether a refusal says that something is not in the document: a newer one may hold it.
 * @param refusal the refusal
 * @returns whether it holds for this document only
 */
export function dependsOnDocument (refusal: clientCalls.Refusal): boolean {
  return refusal.kind === 'rejected' && (refusal.status === 401 || refusal.status === 404)
}

const ID = /^[\x21-\x7e]{1,200}$/

/**
 * Looks at the head of a request.
 * @param head the head
 * @param table the document in force
 * @param names names of headers
 * @returns the route and account, or why the request goes nowhere
 */
export function admit (head: RequestHead, table: routeTables.CompiledTable, names: headerNames.HeaderNames): Admission {
  const reject = (status: 400 | 401 | 404 | 413 | 431, why: string): Admission => ({ kind: 'refused', refusal: { kind: 'rejected', status, why } })
  const headerBytes = head.rawHeaders.reduce((sum, text) => sum + text.length + 2, head.method.length + head.url.length)
  if (headerBytes > table.limits.maxHeaderBytes) return reject(431, `the headers are larger than ${table.limits.maxHeaderBytes} bytes: send fewer or shorter ones`)
  // Guards against a request that two readers would take for different ones: a header that decides may stand only once.
  const once = ['host', names.attemptId, names.deadlineMs, names.key, 'content-length']
  for (const name of once) {
    if (countHeader(head.rawHeaders, name) > 1) return reject(400, `the header ${name} stands more than once: send it once`)
  }
  if (head.host === undefined || !head.url.startsWith('/')) return reject(400, 'send a Host header and a path that begins with a slash')
  const route = routeTables.findRoute(table, head.host, head.url)
  if (route === undefined) return reject(404, 'no route has this host and path')
  const attemptId = findHeader(head.rawHeaders, names.attemptId)
  if (attemptId === undefined || !ID.test(attemptId)) return reject(400, `send ${names.attemptId} with an id of this attempt`)
  const key = findHeader(head.rawHeaders, names.key)
  const account = key === undefined ? undefined : table.accountOf.get(key)
  if (table.hasAccounts && !route.isKeyless && account === undefined) return reject(401, `send a valid key in ${names.key}`)
  return { kind: 'admitted', route, account, attemptId, clientDeadlineMs: toClientDeadlineMs(head.rawHeaders, names) }
}

/**
 * Reads how long a client waits.
 * @param raw names and values by turns
 * @param names names of headers
 * @returns milliseconds, or undefined if it does not say
 */
export function toClientDeadlineMs (raw: readonly string[], names: headerNames.HeaderNames): number | undefined {
  const ms = Number(findHeader(raw, names.deadlineMs))
  return Number.isFinite(ms) && ms > 0 ? ms : undefined
}

/**
 * Finds a header.
 * @param raw names and values by turns
 * @param name its name in lower case
 * @returns the first value
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
