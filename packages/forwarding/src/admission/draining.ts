/**
 * Admission of requests at a draining instance: only those that will end within the grace period. Clients cache addresses for some
 * seconds, so early in the grace period a request is also accepted if requests of its route have lasted no longer lately, although its
 * deadline is later.
 */
import type * as drainTimes from './drainTimes.js'

/** Progress of the drain, and the request. */
export interface DrainingRequest {
  /** Time since the drain started, in milliseconds. */
  elapsedMs: number
  times: drainTimes.DrainTimes
  /** Maximum duration of the request, in milliseconds. */
  waitMs: number
  /** Returns whether the request is expected to end within a time, in milliseconds; false if only its maximum duration may be relied on. */
  isExpectedWithin: (ms: number) => boolean
}

/** Returns whether a request ends before the instance exits. */
export function isAccepted ({ elapsedMs, times, waitMs, isExpectedWithin }: DrainingRequest): boolean {
  const leftMs = times.lastEndMs - elapsedMs
  if (waitMs <= leftMs) return true
  return elapsedMs <= times.expectationMs && isExpectedWithin(leftMs)
}
