/** Back-off from addresses that failed, exponential and with jitter. */

/** Back-off from addresses that failed. */
export interface DialBackoff {
  /** Returns whether an address may be tried now. */
  isOver (address: string): boolean
  /** Returns whether the latest attempt at an address failed. */
  hasFailed (address: string): boolean
  noteFailure (address: string): void
  /** Records that an address works: its next failure counts as the first one. */
  noteSuccess (address: string): void
}

/**
 * Back-off after the first failure of an address; doubles with each consecutive failure. Short at first, since a process that was
 * killed is back soon.
 */
const MIN_BACKOFF_MS = 200
const MAX_BACKOFF_MS = 1600
/** Random share of a back-off, so that instances that failed together do not return together. */
const BACKOFF_JITTER = 0.5

/**
 * Creates a back-off without failures.
 * @param now returns milliseconds on the monotonic clock
 */
export function createDialBackoff (now: () => number): DialBackoff {
  const until = new Map<string, number>()
  const failures = new Map<string, number>()
  return {
    isOver: address => (until.get(address) ?? 0) <= now(),
    hasFailed: address => failures.has(address),
    noteFailure (address) {
      const failureCount = (failures.get(address) ?? 0) + 1
      failures.set(address, failureCount)
      const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (failureCount - 1))
      until.set(address, now() + backoffMs * (1 - BACKOFF_JITTER * Math.random()))
    },
    noteSuccess (address) { failures.delete(address) }
  }
}
