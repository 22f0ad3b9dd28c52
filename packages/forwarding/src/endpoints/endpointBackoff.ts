/** Backoff of an endpoint after connection failures. */
import type * as endpointPools from './endpointPool.js'

/** Initial backoff after a connection failure, doubled with each further failure. */
export const BACKOFF_MS = 250
const MAX_BACKOFF_MS = 2000
/** Longer than after connection failures: the endpoint is up, and may be asked about that at any time. */
const MAX_EXCESS_BACKOFF_MS = 8000

/** Counts a connection failure; the endpoint is not used during a backoff period. */
export function recordFailure (endpoint: endpointPools.Endpoint, now: number): void {
  if (endpoint.failures === 0) endpoint.suspectedColdBefore = endpoint.suspectedColdAt
  endpoint.failures++
  const backoffMs = Math.min(MAX_BACKOFF_MS, BACKOFF_MS * 2 ** (endpoint.failures - 1))
  endpoint.backoffUntil = now + backoffMs
  endpoint.suspectedColdAt = now
  // Its requests have waited for a connection, not in a queue.
  endpoint.queueDelay?.reset()
}

/**
 * Counts a response that was ended for its length. Repeated ones without a complete response in between set the endpoint aside for a time:
 * a single one may be due to the request.
 */
export function recordExcess (endpoint: endpointPools.Endpoint, now: number): void {
  endpoint.excesses++
  if (endpoint.excesses > 1) endpoint.excessUntil = now + Math.min(MAX_EXCESS_BACKOFF_MS, BACKOFF_MS * 2 ** (endpoint.excesses - 2))
}

/** Ends the backoff period. */
export function resetFailures (endpoint: endpointPools.Endpoint): void {
  endpoint.failures = 0
  endpoint.loggedFailures = 0
  endpoint.backoffUntil = 0
}
