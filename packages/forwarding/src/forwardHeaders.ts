/** Which headers are passed on, in either direction, and which the fleet sets itself. */
import * as headerNames from './headerNames.js'

/** Headers that concern one connection only. */
const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'])

/**
 * Lists the headers that a `Connection` header names as its own.
 * @param raw names and values by turns
 * @returns the names in lower case
 */
function namedByConnection (raw: readonly string[]): Set<string> {
  const named = new Set<string>()
  for (let i = 0; i < raw.length; i += 2) {
    if (raw[i].toLowerCase() !== 'connection') continue
    for (const name of raw[i + 1].split(',')) named.add(name.trim().toLowerCase())
  }
  return named
}

/** What the fleet adds to a request. */
export interface RequestAdditions {
  leftMs: number
  endpointId: string
  account: string | undefined
  bodyBytes: number
  hasBody: boolean
  lastEventId: string | undefined
  /** Address of an endpoint whose cache may hold the prompt. */
  fetchFrom: string | undefined
}

/**
 * Makes the headers of a request to an endpoint.
 * @param raw the client's headers, names and values by turns
 * @param names the names on the wire
 * @param add what the fleet adds
 * @returns names and values by turns
 */
export function toRequestHeaders (raw: readonly string[], names: headerNames.HeaderNames, add: RequestAdditions): string[] {
  const dropped = namedByConnection(raw)
  const replaced = new Set([names.deadlineMs, names.expectEndpoint, names.account, names.key, names.fetchFrom, 'content-length', ...names.reserved])
  if (add.lastEventId !== undefined) replaced.add(names.lastEventId)
  const headers: string[] = []
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i].toLowerCase()
    // A header that tells which request this is cannot be declared as the connection's own by the client.
    const isIdentity = name === 'host' || name === names.attemptId
    if (!isIdentity && (CONNECTION_HEADERS.has(name) || replaced.has(name) || dropped.has(name))) continue
    headers.push(raw[i], raw[i + 1])
  }
  headers.push(names.deadlineMs, String(Math.max(1, Math.floor(add.leftMs))))
  headers.push(names.expectEndpoint, add.endpointId)
  if (add.account !== undefined) headers.push(names.account, add.account)
  if (add.lastEventId !== undefined) headers.push(names.lastEventId, add.lastEventId)
  if (add.fetchFrom !== undefined) headers.push(names.fetchFrom, add.fetchFrom)
  if (add.hasBody) headers.push('Content-Length', String(add.bodyBytes))
  headers.push('Connection', 'keep-alive')
  return headers
}

/**
 * Makes the headers of an answer to a client.
 * @param raw the endpoint's headers, names and values by turns
 * @returns names and values by turns, without the length, which the sender sets
 */
export function toResponseHeaders (raw: readonly string[]): string[] {
  const dropped = namedByConnection(raw)
  const headers: string[] = []
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i].toLowerCase()
    if (CONNECTION_HEADERS.has(name) || dropped.has(name) || name === 'content-length') continue
    headers.push(raw[i], raw[i + 1])
  }
  return headers
}
