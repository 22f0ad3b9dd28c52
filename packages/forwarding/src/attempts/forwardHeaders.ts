/** Header forwarding in both directions, and the headers that the fleet sets. */
import * as headerNames from './headerNames.js'
import * as headerTexts from './headerText.js'

/** Characters of the names of headers that are logged. */
const MAX_LOGGED_CHARS = 200

/** Hop-by-hop headers. */
const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'])

/**
 * Returns the hop-by-hop headers that `Connection` headers list.
 * @param raw alternating names and values
 * @returns the names in lower case
 */
function listHopByHopHeaders (raw: readonly string[]): Set<string> {
  const names = new Set<string>()
  for (let i = 0; i < raw.length; i += 2) {
    if (raw[i].toLowerCase() !== 'connection') continue
    for (const name of raw[i + 1].split(',')) names.add(name.trim().toLowerCase())
  }
  return names
}

const NAME = /^[\w!#$%&'*+.^`|~-]+$/
const VALUE = /^[\t\x20-\x7e\x80-\xff]*$/

/** Returns whether a text can be sent as the value of a header. */
export function isValue (text: string): boolean {
  return VALUE.test(text)
}

/** Values of the headers that the fleet sets on a request. */
export interface RequestAdditions {
  remainingMs: number
  endpointId: string
  account: string | undefined
  bodyBytes: number
  hasBody: boolean
  lastEventId: string | undefined
  /** Address of an endpoint whose KV cache may contain the prompt. */
  fetchFrom: string | undefined
}

/**
 * Builds the headers of a request to an endpoint.
 * @param raw the client's headers, alternating names and values
 * @returns alternating names and values
 */
export function toRequestHeaders (raw: readonly string[], names: headerNames.HeaderNames, additions: RequestAdditions): string[] {
  const hopByHop = listHopByHopHeaders(raw)
  const reserved = new Set([names.deadlineMs, names.expectEndpoint, names.account, names.key, names.fetchFrom, 'content-length', ...names.reserved])
  if (additions.lastEventId !== undefined) reserved.add(names.lastEventId)
  const headers: string[] = []
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i].toLowerCase()
    // A client must not strip the headers that identify the request by listing them in Connection.
    const isIdentity = name === 'host' || name === names.attemptId
    if (!isIdentity && (CONNECTION_HEADERS.has(name) || reserved.has(name) || hopByHop.has(name))) continue
    headers.push(raw[i], raw[i + 1])
  }
  headers.push(names.deadlineMs, String(Math.max(1, Math.floor(additions.remainingMs))))
  headers.push(names.expectEndpoint, additions.endpointId)
  if (additions.account !== undefined) headers.push(names.account, headerTexts.toHeaderText(additions.account))
  if (additions.lastEventId !== undefined) headers.push(names.lastEventId, additions.lastEventId)
  if (additions.fetchFrom !== undefined) headers.push(names.fetchFrom, additions.fetchFrom)
  if (additions.hasBody) headers.push('Content-Length', String(additions.bodyBytes))
  headers.push('Connection', 'keep-alive')
  return headers
}

/**
 * Builds the headers of a response to a client.
 * @param raw the endpoint's headers, alternating names and values
 * @param onInvalid called with the names of headers that cannot be sent and are left out: the parser accepts more than may be sent
 * @returns alternating names and values, without Content-Length
 */
export function toResponseHeaders (raw: readonly string[], onInvalid: (names: string) => void): string[] {
  const hopByHop = listHopByHopHeaders(raw)
  const headers: string[] = []
  const invalid: string[] = []
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i].toLowerCase()
    if (CONNECTION_HEADERS.has(name) || hopByHop.has(name) || name === 'content-length') continue
    if (NAME.test(name) && VALUE.test(raw[i + 1])) headers.push(raw[i], raw[i + 1])
    else invalid.push(name)
  }
  if (invalid.length > 0) onInvalid(invalid.join(' ').slice(0, MAX_LOGGED_CHARS))
  return headers
}
