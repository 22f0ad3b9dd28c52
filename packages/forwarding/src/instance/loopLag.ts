/**
 * Lag of the event loop. After a stall of the process, what happened during the stall is seen all at once, and what is handled just then may
 * have happened at any time since the loop looked last.
 */

/** Lag of the event loop. */
export interface LoopLag {
  /** Returns by how much later than usual the event that is being handled may have been seen, in milliseconds. */
  lagMs: () => number
  stop: () => void
}

const CHECK_INTERVAL_MS = 50

/** Begins to measure. @param now returns milliseconds on the monotonic clock */
export function startLoopLag (now: () => number): LoopLag {
  /** What happened before was seen. */
  let seenAt = now()
  const check = (): void => {
    const at = now()
    // Immediates run after the loop has looked for events; timers may run several times in between.
    setImmediate(() => { seenAt = at })
  }
  const timer = setInterval(check, CHECK_INTERVAL_MS).unref()
  return {
    lagMs: () => Math.max(0, now() - seenAt - CHECK_INTERVAL_MS),
    stop () { clearInterval(timer) }
  }
}
