/** Clock that stands still while the machine stalls, for bounds that must not rest on its speed. */
import * as timers from 'node:timers/promises'

const TICK_MS = 10
/** A longer tick is a stall. */
const MAX_TICK_MS = 30

export interface StallClock {
  /** Returns milliseconds. */
  now: () => number
  stop: () => void
}

/** Waits for a time on such a clock. */
export async function sleep (ms: number): Promise<void> {
  const clock = startStallClock()
  while (clock.now() < ms) await timers.setTimeout(TICK_MS)
  clock.stop()
}

/** Starts a clock. */
export function startStallClock (): StallClock {
  let elapsed = 0
  let at = performance.now()
  const timer = setInterval(() => {
    const next = performance.now()
    elapsed += Math.min(MAX_TICK_MS, next - at)
    at = next
  }, TICK_MS)
  return { now: () => elapsed, stop: () => { clearInterval(timer) } }
}
