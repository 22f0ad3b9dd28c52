/** Runs one call on an endpoint of a plain service. */
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as boundedBodies from './boundedBody.js'
import type * as session from './session.js'

/** Statuses of final responses. */
const MIN_STATUS = 200
const MAX_STATUS = 599
/** Maximum size of an answer. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024

/** Result of a call. */
export type CallEnd =
  | { kind: 'answer', status: number, contentType: string, body: Uint8Array }
  | { kind: 'silent' }
  | { kind: 'cut', detail: string }

/**
 * Sends a call over a connection and reads the complete answer.
 * @param timeoutMs time limit for the complete answer; exceeding it ends the call as `silent`
 * @returns how the call ended; the connection is reused only after a complete answer
 */
export async function runPlainCall (lease: links.EndpointConnection, session: session.Session, timeoutMs: number): Promise<CallEnd> {
  const { msg } = session
  if (msg.work.kind !== 'plain') throw new Error(`expected work of kind plain, got ${msg.work.kind}`)
  const { signal } = session.abort
  let isTimedOut = false
  // Destroying the connection ends the call, and is cheaper than one more abort signal per call.
  const timer = setTimeout(() => {
    isTimedOut = true
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
    const body = await boundedBodies.readBounded(res.body, MAX_ANSWER_BYTES)
    if (res.statusCode < MIN_STATUS || res.statusCode > MAX_STATUS) {
      lease.destroy()
      return { kind: 'cut', detail: `response has the status ${res.statusCode}, which the protocol does not have` }
    }
    // The HTTP library takes a body that was reset for complete if it has neither a length nor chunks.
    if (res.headers['content-length'] === undefined && res.headers['transfer-encoding'] === undefined && lease.isBroken()) {
      lease.destroy()
      return { kind: 'cut', detail: 'the connection broke off in a response without a length' }
    }
    const echoed = res.headers[contracts.HEADERS.attempt]
    if (echoed !== undefined && echoed !== msg.attempt) {
      lease.destroy()
      return { kind: 'cut', detail: `response has attempt id ${String(echoed)}, expected ${msg.attempt}` }
    }
    lease.release()
    return { kind: 'answer', status: res.statusCode, contentType: String(res.headers['content-type'] ?? 'application/octet-stream'), body }
  } catch (err) {
    lease.destroy()
    if (isTimedOut) return { kind: 'silent' }
    return { kind: 'cut', detail: err instanceof Error ? err.message : String(err) }
  } finally {
    clearTimeout(timer)
  }
}
