/** HTTP client for the operator API of a control instance and the explain and addresses paths of a router instance. */
import * as undici from 'undici'
import * as contracts from '@kingcupdeck/contracts'

/** The outcome of an API call: success, an error answer, or no usable answer. */
export type OperatorReply<T> = { kind: 'ok', body: T } | { kind: 'failed', status: number, error: contracts.ErrorBody['error'], body: Record<string, unknown> } | { kind: 'unreachable', detail: string }

/** Base URL of an instance and the token to call it with. */
export interface OperatorTarget { address: string, token: string }

const CALL_TIMEOUT_MS = 10_000

/**
 * Calls the API of an instance.
 * @param path path and query
 * @param body sent as JSON unless undefined
 */
export async function callOperatorApi<T> (target: OperatorTarget, method: 'GET' | 'PUT' | 'POST', path: string, body?: unknown): Promise<OperatorReply<T>> {
  try {
    const res = await undici.request(target.address.replace(/\/$/, '') + path, {
      method,
      headers: { authorization: `Bearer ${target.token}`, 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
    })
    const answer = await res.body.json() as Record<string, unknown>
    if (res.statusCode < 300) return { kind: 'ok', body: answer as T }
    return { kind: 'failed', status: res.statusCode, error: answer.error as contracts.ErrorBody['error'], body: answer }
  } catch (err) {
    return { kind: 'unreachable', detail: err instanceof Error ? err.message || String((err as { code?: string }).code) : String(err) }
  }
}
