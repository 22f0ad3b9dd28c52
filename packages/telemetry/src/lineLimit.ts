/** Bounds how often an event is logged that may occur as often as others like. */

/**
 * Creates a limit of one line in each interval.
 * @param intervalMs minimum time between two lines, milliseconds
 * @param now returns milliseconds on the monotonic clock
 * @returns a function to be called for each occurrence: the number of occurrences since the last line if this one is to be logged, and
 * undefined if it is not
 */
export function createLineLimit (intervalMs: number, now: () => number = () => performance.now()): () => number | undefined {
  let loggedAt = -Infinity
  let unlogged = 0
  return () => {
    const at = now()
    if (at - loggedAt < intervalMs) {
      unlogged++
      return undefined
    }
    const count = unlogged
    loggedAt = at
    unlogged = 0
    return count
  }
}
