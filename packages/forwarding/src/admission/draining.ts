/**
 * Admission of requests at a draining instance: only those that will end within the grace period. Clients cache addresses for some
 * seconds, so early in the grace period a request is also accepted if requests of its route have lasted no longer lately, although its
 * deadline is later.
 */

/** Progress of the drain, and the request. */
export interface DrainingRequest {
  /** Time since the drain started, in milliseconds. */
  elapsedMs: number
  /** Length of the grace period, in milliseconds. */
  graceMs: number
  /** Maximum duration of the request, in milliseconds. */
  waitMs: number
  /** Returns whether the request is expected to end within a time, in milliseconds; false if only its maximum duration may be relied on. */
  isExpectedWithin: (ms: number) => boolean
}

/** Share of the grace period in which an expected duration suffices. Later, clients have asked for other addresses. */
const EXPECTATION_SHARE = 0.36
/** Time before the end of the grace period at which the last response must be complete. */
export const DRAIN_END_MARGIN_MS = 500

/** Returns whether a request ends before the instance exits. */
export function isAccepted ({ elapsedMs, graceMs, waitMs, isExpectedWithin }: DrainingRequest): boolean {
  const leftMs = graceMs - DRAIN_END_MARGIN_MS - elapsedMs
  if (waitMs <= leftMs) return true
  return elapsedMs <= EXPECTATION_SHARE * graceMs && isExpectedWithin(leftMs)
}
