/** Predicts the wait in an endpoint's queue from how long requests lately ran there. */

/** The estimate for one endpoint. */
export interface WaitEstimate {
  /** Notes how long a request ran. */
  note (ranMs: number): void
  /** @returns milliseconds until a request with this many before it starts */
  predict (ahead: number, parallel: number): number
}

const START_MS = 1500
const WEIGHT = 0.1

/**
 * Creates an estimate.
 * @returns the estimate, from a guess until requests ended
 */
export function createWaitEstimate (): WaitEstimate {
  let meanMs = START_MS
  return {
    note (ranMs) { meanMs += (ranMs - meanMs) * WEIGHT },
    predict: (ahead, parallel) => (ahead + 1) * meanMs / Math.max(1, parallel)
  }
}
