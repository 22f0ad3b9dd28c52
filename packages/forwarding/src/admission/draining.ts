/**
 * Admission of requests at a draining instance. Clients cache addresses for some seconds, so every request is accepted at first;
 * later only those that end within the grace period.
 */

/** Progress of the drain, and the maximum duration of a request. */
export interface DrainProgress {
  /** Time since the drain started, in milliseconds. */
  elapsedMs: number
  /** Length of the grace period, in milliseconds. */
  graceMs: number
  /** Maximum duration of the request, in milliseconds. */
  waitMs: number
}

/** Share of the grace period in which every request is accepted; the rest is longer than nearly all streams last. */
const ACCEPT_ALL_SHARE = 0.36
/** Time before the end of the grace period at which the last response must be complete. */
export const DRAIN_END_MARGIN_MS = 500

/** Returns whether a request ends before the instance exits. */
export function isAccepted (req: DrainProgress): boolean {
  if (req.elapsedMs <= ACCEPT_ALL_SHARE * req.graceMs) return true
  return req.elapsedMs + req.waitMs <= req.graceMs - DRAIN_END_MARGIN_MS
}
