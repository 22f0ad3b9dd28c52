/** The operators' commands as calls to a control instance. */
import * as undici from 'undici'
import * as contracts from '@kingcupdeck/contracts'

/** What a control instance answered. */
export type OperatorReply<T> = { kind: 'ok', body: T } | { kind: 'failed', status: number, error: contracts.ErrorBody['error'], body: Record<string, unknown> } | { kind: 'unreachable', detail: string }

/** Where and as whom an operator calls. */
export interface OperatorTarget { address: string, token: string }

const CALL_TIMEOUT_MS = 10_000

/**
 * Calls a control instance.
 * @param target where and as whom
 * @param method HTTP method
 * @param path path and query
 * @param body sent as JSON where given
 * @returns what it answered
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
