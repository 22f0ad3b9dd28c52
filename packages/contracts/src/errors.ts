/**
 * Every error that a caller or operator can meet, as one tagged union. The table gives each kind its HTTP status and
 * whether the request ran; `describe` words the remedy.
 */

/** Whether a request ran: `no` is a promise, `unknown` says that it cannot be promised either way. */
export type Ran = 'no' | 'yes' | 'unknown'

/** An error, by kind, with what is needed to word its remedy. */
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

/** The name of an error. */
export type FailureKind = Failure['kind']

const STATUS: Record<FailureKind, number> = {
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

/**
 * Says whether the request behind an error ran.
 * @param failure the error
 * @returns `no` only where the system promises it
 */
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

/**
 * The HTTP status of an error.
 * @param failure the error
 * @returns a status code
 */
export function toStatus (failure: Failure): number {
  if (failure.kind === 'endpoint_error') return failure.status
  return STATUS[failure.kind]
}

/**
 * When the caller should come back.
 * @param failure the error
 * @returns milliseconds, or undefined where coming back does not help
 */
export function toRetryAfterMs (failure: Failure): number | undefined {
  return 'retryAfterMs' in failure ? failure.retryAfterMs : undefined
}

/**
 * Words an error for a person: what happened, and what to do.
 * @param failure the error
 * @returns one or two sentences
 */
export function describe (failure: Failure): string {
  switch (failure.kind) {
    case 'unauthenticated': return `${failure.what}. Send the header "Authorization: Bearer <token>" with a token that stands in the document.`
    case 'forbidden': return `${failure.what}. Ask an operator to allow it in the document.`
    case 'bad_request': return failure.detail
    case 'not_found': return `There is no ${failure.what} here. See the README for the paths.`
    case 'body_too_large': return `The body is larger than ${failure.limitBytes} bytes. Send a shorter request.`
    case 'unknown_model': return `No model "${failure.model}" stands in the document for this client account. GET /v1/models lists the ones it may use.`
    case 'unknown_service': return `No service or call "${failure.service}" stands in the document for this client account. Check the path.`
    case 'key_required': return 'This call is not idempotent and needs the header "Idempotency-Key" with a UUIDv7. It did not run.'
    case 'key_invalid': return `The Idempotency-Key is not usable: ${failure.detail}. Make a fresh UUIDv7 for each new call and keep it for resends. It did not run.`
    case 'key_expired': return `The Idempotency-Key is older than the ${failure.retentionHours} h for which outcomes are kept, so a repeat could not be told from a new call. It did not run now; check the earlier outcome, then use a new key.`
    case 'key_reused': return 'The Idempotency-Key was used before with another body. It did not run; use a new key for a new call.'
    case 'outcome_unknown': return `The call with this Idempotency-Key was started at ${failure.startedAt} and its outcome is unknown. It will not be repeated. Look at the service's own records, or ask an operator for "explain" with the request id.`
    case 'answer_not_kept': return `The call with this Idempotency-Key ran and finished at ${failure.finishedAt}, but its answer was too large to keep. It will not be repeated.`
    case 'account_limit': return `The client account is over its requests per second. It did not run; come back in ${seconds(failure.retryAfterMs)} s.`
    case 'overloaded': return `All endpoints are at their limit. It did not run; come back in ${seconds(failure.retryAfterMs)} s.`
    case 'patience_over': return `The wait would be longer than this priority's patience at this hour. It did not run; come back in ${seconds(failure.retryAfterMs)} s.`
    case 'no_endpoint': return `No endpoint of "${failure.pool}" is ready. It did not run; come back in ${seconds(failure.retryAfterMs)} s.`
    case 'not_serving': return `This instance is not serving (${failure.detail}). It did not run; use another address: ${failure.addresses.join(', ') || 'ask GET /v1/addresses elsewhere'}.`
    case 'ledger_unavailable': return `The ledger cannot be reached, so the call cannot be recorded. ${failure.ran === 'no' ? 'It did not run; resend' : 'Resend with the same Idempotency-Key'} in ${seconds(failure.retryAfterMs)} s.`
    case 'endpoint_lost': return `The endpoint was lost (${failure.detail}). ${failure.ran === 'no' ? 'It did not run; resend it.' : 'Whether it ran is unknown.'}`
    case 'answer_cut': return `The answer was cut (${failure.detail}) and could not be resumed. What came so far is not the whole answer; ask again.`
    case 'endpoint_error': return `The endpoint answered with status ${failure.status}: ${failure.detail}`
    case 'request_quarantined': return `This request was running on ${failure.deaths} endpoints when they died, so it is held back. It is not tried again now; change it, or come back in ${seconds(failure.retryAfterMs)} s.`
    case 'cancelled': return 'The caller closed the connection.'
    case 'conflict': return `The document was changed meanwhile: yours is based on version ${failure.baseVersion}, in force is ${failure.currentVersion}. Get the current one, merge, put again.`
    case 'invalid_document': return `The document has ${failure.faults.length} fault(s): ${failure.faults.slice(0, 20).map(f => `${f.path}: ${f.message}`).join('; ')}`
    case 'internal': return `Internal error: ${failure.detail}. Report it with the request id.`
  }
}

function seconds (ms: number): number {
  return Math.max(1, Math.ceil(ms / 1000))
}

/** The body of an error answer, in the shape that OpenAI clients read. */
export interface ErrorBody { error: { message: string, type: string, code: string, param: null, ran: Ran, request_id?: string, retry_after_ms?: number, addresses?: string[], faults?: Array<{ path: string, message: string }>, current_version?: number } }

/**
 * Builds the body of an error answer.
 * @param failure the error
 * @param requestId the request it belongs to
 * @returns the body, in the shape that OpenAI clients read
 */
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

/** A {@link Failure} on its way up the call stack. */
export class FailureError extends Error {
  /**
   * @param failure what went wrong
   */
  constructor (readonly failure: Failure) {
    super(describe(failure))
    this.name = 'FailureError'
  }
}

/**
 * Turns anything thrown into a {@link Failure}.
 * @param err what was caught
 * @returns the failure it carries, or kind `internal`
 */
export function toFailure (err: unknown): Failure {
  if (err instanceof FailureError) return err.failure
  return { kind: 'internal', detail: err instanceof Error ? err.message : String(err) }
}
