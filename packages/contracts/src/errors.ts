/** Errors reported to callers and operators: their kinds, HTTP statuses, messages and response bodies. */

/** Whether a request ran: `no` and `yes` are guaranteed, `unknown` is used where neither can be guaranteed. */
export type Ran = 'no' | 'yes' | 'unknown'

/** An error reported to a caller or operator, discriminated by kind. */
export type Failure =
  | { kind: 'unauthenticated', what: string }
  | { kind: 'forbidden', what: string }
  | { kind: 'bad_request', detail: string }
  | { kind: 'not_found', what: string }
  | { kind: 'body_too_large', limitBytes: number }
  | { kind: 'unknown_model', model: string }
  | { kind: 'unknown_service', service: string }
  | { kind: 'key_required' }
  | { kind: 'key_invalid', detail: string }
  | { kind: 'key_expired', retentionHours: number }
  | { kind: 'key_reused' }
  | { kind: 'outcome_unknown', startedAt: string }
  | { kind: 'answer_not_kept', finishedAt: string }
  | { kind: 'account_limit', retryAfterMs: number }
  | { kind: 'overloaded', retryAfterMs: number }
  | { kind: 'patience_over', retryAfterMs: number }
  | { kind: 'no_endpoint', pool: string, retryAfterMs: number }
  | { kind: 'not_serving', detail: string, addresses: string[], retryAfterMs: number }
  | { kind: 'ledger_unavailable', ran: Ran, retryAfterMs: number }
  | { kind: 'endpoint_lost', ran: Ran, detail: string }
  | { kind: 'answer_cut', detail: string }
  | { kind: 'endpoint_error', status: number, detail: string }
  | { kind: 'request_quarantined', ran: Ran, deaths: number, retryAfterMs: number }
  | { kind: 'cancelled', ran: Ran }
  | { kind: 'conflict', baseVersion: number, currentVersion: number }
  | { kind: 'invalid_document', faults: Array<{ path: string, message: string }> }
  | { kind: 'internal', detail: string }

/** The kind of a {@link Failure}. */
export type FailureKind = Failure['kind']

const STATUS_BY_KIND: Record<FailureKind, number> = {
  unauthenticated: 401,
  forbidden: 403,
  bad_request: 400,
  not_found: 404,
  body_too_large: 413,
  unknown_model: 404,
  unknown_service: 404,
  key_required: 400,
  key_invalid: 400,
  key_expired: 422,
  key_reused: 422,
  outcome_unknown: 409,
  answer_not_kept: 409,
  account_limit: 429,
  overloaded: 503,
  patience_over: 503,
  no_endpoint: 503,
  not_serving: 503,
  ledger_unavailable: 503,
  endpoint_lost: 502,
  answer_cut: 502,
  endpoint_error: 502,
  request_quarantined: 422,
  cancelled: 499,
  conflict: 409,
  invalid_document: 400,
  internal: 500
}

/** Returns whether the failed request ran; `no` only where that is guaranteed. */
export function toRan (failure: Failure): Ran {
  switch (failure.kind) {
    case 'ledger_unavailable':
    case 'endpoint_lost':
    case 'cancelled':
    case 'request_quarantined':
      return failure.ran
    case 'outcome_unknown':
    case 'internal':
      return 'unknown'
    case 'answer_not_kept':
    case 'answer_cut':
    case 'endpoint_error':
      return 'yes'
    default:
      return 'no'
  }
}

/** Returns the HTTP status of a failure. */
export function toStatus (failure: Failure): number {
  if (failure.kind === 'endpoint_error') return failure.status
  return STATUS_BY_KIND[failure.kind]
}

/** Returns the delay before a retry in milliseconds, or undefined if a retry does not help. */
export function toRetryAfterMs (failure: Failure): number | undefined {
  return 'retryAfterMs' in failure ? failure.retryAfterMs : undefined
}

/** Returns a message for people: what failed and what to do about it. */
export function describe (failure: Failure): string {
  switch (failure.kind) {
    case 'unauthenticated': return `${failure.what}. Send the header "Authorization: Bearer <token>" with a token that is listed in the configuration document.`
    case 'forbidden': return `${failure.what}. Ask an operator to allow it in the configuration document.`
    case 'bad_request': return failure.detail
    case 'not_found': return `Not found: ${failure.what}. See the README for the available paths.`
    case 'body_too_large': return `The body exceeds the limit of ${failure.limitBytes} bytes. Send a smaller request.`
    case 'unknown_model': return `Model "${failure.model}" is not available to this client account. GET /v1/models lists the available models.`
    case 'unknown_service': return `Service or call "${failure.service}" is not available to this client account. Check the path.`
    case 'key_required': return 'This call is not idempotent and requires the header "Idempotency-Key" with a UUIDv7. It did not run.'
    case 'key_invalid': return `The Idempotency-Key is invalid: ${failure.detail}. Generate a new UUIDv7 for each call and reuse it only for retries of that call. It did not run.`
    case 'key_expired': return `The Idempotency-Key is older than the retention period of ${failure.retentionHours} h, so a retry cannot be distinguished from a new call. It did not run now; check the outcome of the earlier call, then use a new key.`
    case 'key_reused': return 'The Idempotency-Key was already used with a different body. It did not run; use a new key for a new call.'
    case 'outcome_unknown': return `The call with this Idempotency-Key was started at ${failure.startedAt} and its outcome is unknown. It will not be repeated. Check the service's own records, or ask an operator to run "explain" with the request id.`
    case 'answer_not_kept': return `The call with this Idempotency-Key ran and finished at ${failure.finishedAt}, but its response was too large to store. It will not be repeated.`
    case 'account_limit': return `The client account exceeded its rate limit. The request did not run; retry in ${toSeconds(failure.retryAfterMs)} s.`
    case 'overloaded': return `All endpoints are at their load limit. The request did not run; retry in ${toSeconds(failure.retryAfterMs)} s.`
    case 'patience_over': return `The request cannot start within its maximum wait. It did not run; retry in ${toSeconds(failure.retryAfterMs)} s.`
    case 'no_endpoint': return `No endpoint of "${failure.pool}" is ready. The request did not run; retry in ${toSeconds(failure.retryAfterMs)} s.`
    case 'not_serving': return `This instance is not serving (${failure.detail}). The request did not run; use another address: ${failure.addresses.join(', ') || 'see GET /v1/addresses of another instance'}.`
    case 'ledger_unavailable': return `The ledger is unavailable, so the call cannot be recorded. ${failure.ran === 'no' ? 'It did not run; retry' : 'Retry with the same Idempotency-Key'} in ${toSeconds(failure.retryAfterMs)} s.`
    case 'endpoint_lost': return `The endpoint was lost (${failure.detail}). ${failure.ran === 'no' ? 'The request did not run; retry it.' : 'Whether the request ran is unknown.'}`
    case 'answer_cut': return `The response was interrupted (${failure.detail}) and could not be resumed. The received part is incomplete; send the request again.`
    case 'endpoint_error': return `The endpoint responded with status ${failure.status}: ${failure.detail}`
    case 'request_quarantined': return `This request was in flight on ${failure.deaths} endpoints when they crashed and is quarantined. It is not retried; change it, or retry in ${toSeconds(failure.retryAfterMs)} s.`
    case 'cancelled': return 'The caller closed the connection.'
    case 'conflict': return `The document was changed concurrently: the submitted one is based on version ${failure.baseVersion}, the current version is ${failure.currentVersion}. Get the current document, merge the changes and submit it again.`
    case 'invalid_document': return `The document has ${failure.faults.length} fault(s): ${failure.faults.slice(0, 20).map(f => `${f.path}: ${f.message}`).join('; ')}`
    case 'internal': return `Internal error: ${failure.detail}. Report it with the request id.`
  }
}

function toSeconds (ms: number): number {
  return Math.max(1, Math.ceil(ms / 1000))
}

/** The body of an error response, in the format of the OpenAI API. */
export interface ErrorBody { error: { message: string, type: string, code: string, param: null, ran: Ran, request_id?: string, retry_after_ms?: number, addresses?: string[], faults?: Array<{ path: string, message: string }>, current_version?: number } }

/** Converts a failure to the body of an error response. */
export function toErrorBody (failure: Failure, requestId?: string): ErrorBody {
  return {
    error: {
      message: describe(failure),
      type: failure.kind,
      code: failure.kind,
      param: null,
      ran: toRan(failure),
      request_id: requestId,
      retry_after_ms: toRetryAfterMs(failure),
      addresses: failure.kind === 'not_serving' ? failure.addresses : undefined,
      faults: failure.kind === 'invalid_document' ? failure.faults : undefined,
      current_version: failure.kind === 'conflict' ? failure.currentVersion : undefined
    }
  }
}

/** Wraps a {@link Failure} so that it can be thrown. */
export class FailureError extends Error {
  constructor (readonly failure: Failure) {
    super(describe(failure))
    this.name = 'FailureError'
  }
}

/** Converts a caught value to a {@link Failure}: that of a {@link FailureError}, else one of kind `internal`. */
export function toFailure (err: unknown): Failure {
  if (err instanceof FailureError) return err.failure
  return { kind: 'internal', detail: err instanceof Error ? err.message : String(err) }
}
