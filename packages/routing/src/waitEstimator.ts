/** Predicts the queueing time at an endpoint from a moving average of recent execution times. */

/** Estimates the queueing time at one endpoint. */
export interface WaitEstimator {
  /** Adds the execution time of a finished request. */
  record (ranMs: number): void
  /**
   * @param running number of requests in flight
   * @param ahead number of queued requests that are served first
   * @param slots number of requests that can run concurrently
   * @returns milliseconds until the request starts
   */
  predict (running: number, ahead: number, slots: number): number
}

/** Assumed execution time before the first sample. */
const INITIAL_MEAN_MS = 1500
const SMOOTHING_FACTOR = 0.1
/** Expected wait for the load cap, which rises with the next load reports. */
const CAP_WAIT_MS = 300

export function createWaitEstimator (): WaitEstimator {
  let meanMs = INITIAL_MEAN_MS
  return {
    record (ranMs) { meanMs += (ranMs - meanMs) * SMOOTHING_FACTOR },
    predict (running, ahead, slots) {
      const overflow = running + ahead + 1 - slots
      // With free slots only the load cap delays the request.
      if (overflow <= 0) return CAP_WAIT_MS
      return CAP_WAIT_MS + overflow * meanMs / slots
    }
  }
}
