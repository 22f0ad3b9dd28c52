/** Ids of requests and attempts. */
import * as uuid from 'uuid'
import * as contracts from '@kingcupdeck/contracts'

/**
 * Makes a request id that tells which instance knows its trace.
 * @param instance the entry instance
 * @returns the id
 */
export function createRequestId (instance: string): string {
  return `${instance}~${uuid.v7()}`
}

/**
 * Finds the instance in a request id.
 * @param requestId the id
 * @returns the entry instance, or undefined if it is no request id of ours
 */
export function toEntryInstance (requestId: string): string | undefined {
  const at = requestId.indexOf('~')
  return at > 0 ? requestId.slice(0, at) : undefined
}

/** @returns a fresh attempt id */
export function createAttemptId (): string {
  return uuid.v7()
}

/** What is wrong with an idempotency key, or the time it carries. */
export type IdempotencyKeyCheck = { kind: 'usable', atMs: number } | { kind: 'unusable', detail: string }

/**
 * Checks an idempotency key: it must carry its time, so that a key too old to be remembered is told from a new one.
 * @param key the header's value
 * @returns the time the key was made, or what is wrong with it
 */
export function checkIdempotencyKey (key: string): IdempotencyKeyCheck {
  if (!uuid.validate(key)) return { kind: 'unusable', detail: 'it is not a UUID' }
  if (uuid.version(key) !== 7) return { kind: 'unusable', detail: `it is a UUID of version ${uuid.version(key)}, not 7` }
  return { kind: 'usable', atMs: contracts.toKeyMs(key) }
}

/**
 * The fingerprint of a request: the same for each resend, whatever key or id it carries.
 * @param service the service
 * @param body the body as the caller sent it
 * @returns a short digest
 */
export function toFingerprint (service: string, body: Uint8Array): string {
  return contracts.sha256(Buffer.concat([Buffer.from(service + '\n'), body])).slice(0, 32)
}
