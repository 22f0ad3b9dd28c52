/** Predicts the wait in an endpoint's queue from how long requests lately ran there. */

/** The estimate for one endpoint. */
export interface WaitEstimator {
  /** Notes how long a request ran. */
  record (ranMs: number): void
  /**
   * @param running requests that run now
   * @param ahead requests that wait before the one in question
   * @param slots how many can run at once
   * @returns milliseconds until it starts
   */
  predict (running: number, ahead: number, slots: number): number
}

const START_MS = 1500
const WEIGHT = 0.1
const CAP_WAIT_MS = 300

/**
 * Creates an estimate.
 * @returns the estimate, from a guess until requests ended
 */
export function createWaitEstimator (): WaitEstimator {
  let meanMs = START_MS
  return {
    record (ranMs) { meanMs += (ranMs - meanMs) * WEIGHT },
    predict (running, ahead, slots) {
      const overflow = running + ahead + 1 - slots
      // Below its slots an endpoint is held back by the cap alone, which rises as soon as the loads of others are heard.
      if (overflow <= 0) return CAP_WAIT_MS
      return CAP_WAIT_MS + overflow * meanMs / slots
    }
  }
}
