/** Runs one call on an endpoint of a plain service. */
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import type * as session from './session.js'

/** How a call ended. */
export type CallEnd =
  | { kind: 'answer', status: number, contentType: string, body: Uint8Array }
  | { kind: 'silent' }
  | { kind: 'cut', detail: string }

/**
 * Sends a call over a connection and reads the whole answer.
 * @param lease the connection
 * @param session the attempt
 * @param timeoutMs after this long without the whole answer the connection counts as silent
 * @returns how it ended; the connection is given back only after a whole answer
 */
export async function runPlainCall (lease: links.EndpointConnection, session: session.Session, timeoutMs: number): Promise<CallEnd> {
  const { msg } = session
  if (msg.work.kind !== 'plain') throw new Error('not a plain call')
  const { signal } = session.abort
  let isSilent = false
  // Destroying the connection ends the call, and costs less than a signal of its own for each call.
  const timer = setTimeout(() => {
    isSilent = true
    lease.destroy()
  }, timeoutMs)
  const headers: Record<string, string> = { [contracts.HEADERS.attempt]: msg.attempt, [contracts.HEADERS.requestId]: msg.request }
  if (msg.work.idempotencyKey !== undefined) headers[contracts.HEADERS.idempotencyKey] = msg.work.idempotencyKey
  if (msg.work.contentType !== undefined) headers['content-type'] = msg.work.contentType
  try {
    const res = await lease.client.request({
      path: `/${msg.work.call}`,
      method: msg.work.method as 'POST',
      headers,
      body: msg.body.length > 0 ? Buffer.from(msg.body) : null,
      signal
    })
    const body = new Uint8Array(await res.body.arrayBuffer())
    const echoed = res.headers[contracts.HEADERS.attempt]
    if (echoed !== undefined && echoed !== msg.attempt) {
      lease.destroy()
      return { kind: 'cut', detail: `asked as ${msg.attempt}, answered as ${String(echoed)}` }
    }
    lease.release()
    return { kind: 'answer', status: res.statusCode, contentType: String(res.headers['content-type'] ?? 'application/octet-stream'), body }
  } catch (err) {
    lease.destroy()
    if (isSilent) return { kind: 'silent' }
    return { kind: 'cut', detail: err instanceof Error ? err.message : String(err) }
  } finally {
    clearTimeout(timer)
  }
}
