/** Ids of requests and attempts, idempotency keys and request fingerprints. */
import * as uuid from 'uuid'
import * as contracts from '@kingcupdeck/contracts'

/**
 * Creates a request id that contains the id of its entry instance, which keeps the trace.
 * @param instance the entry instance's id
 */
export function createRequestId (instance: string): string {
  return `${instance}~${uuid.v7()}`
}

/**
 * Extracts the entry instance from a request id.
 * @returns the instance's id, or undefined if the request id has another format
 */
export function toEntryInstance (requestId: string): string | undefined {
  const at = requestId.indexOf('~')
  return at > 0 ? requestId.slice(0, at) : undefined
}

/** Creates an attempt id. */
export function createAttemptId (): string {
  return uuid.v7()
}

/** Result of validating an idempotency key: its creation time, or why it is rejected. */
export type IdempotencyKeyCheck = { kind: 'usable', atMs: number } | { kind: 'unusable', detail: string }

/**
 * Validates an idempotency key. It must be a UUIDv7, whose timestamp distinguishes a key past the retention period from
 * a new one.
 */
export function checkIdempotencyKey (key: string): IdempotencyKeyCheck {
  if (!uuid.validate(key)) return { kind: 'unusable', detail: 'it is not a valid UUID' }
  if (uuid.version(key) !== 7) return { kind: 'unusable', detail: `expected UUID version 7, got version ${uuid.version(key)}` }
  return { kind: 'usable', atMs: contracts.toKeyMs(key) }
}

/**
 * Computes a request's fingerprint, which is the same for each resend whatever its key or request id.
 * @param service the service, or `service/call` for plain services
 * @param body the body as received
 */
export function toFingerprint (service: string, body: Uint8Array): string {
  return contracts.sha256(Buffer.concat([Buffer.from(service + '\n'), body])).slice(0, 32)
}
