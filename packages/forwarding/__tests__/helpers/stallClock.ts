/**
 * Clock that stands still while the machine stalls, for bounds that must not rest on its speed. It goes on while this process computes: it
 * may not blame the machine for that.
 */
import * as timers from 'node:timers/promises'

const TICK_MS = 10
/** A longer tick is a stall. */
const MAX_TICK_MS = 30

export interface StallClock {
  /** Returns milliseconds. */
  now: () => number
  /** Returns the longest stall so far, milliseconds. */
  longestMs: () => number
  stop: () => void
}

/** Waits for a time on such a clock. */
export async function sleep (ms: number): Promise<void> {
  const clock = startStallClock()
  while (clock.now() < ms) await timers.setTimeout(TICK_MS)
  clock.stop()
}

/**
 * Plays a scene whose steps depend on timers, and again while the machine stalled in it, whatever came of it.
 * @param maxStallMs longest stall that the scene bears
 */
export async function playWithoutStall<T> (maxStallMs: number, play: () => Promise<T>): Promise<T> {
  while (true) {
    const clock = startStallClock()
    const result = await play().finally(clock.stop)
    if (clock.longestMs() <= maxStallMs) return result
  }
}

/** Starts a clock. */
export function startStallClock (): StallClock {
  let elapsed = 0
  let longest = 0
  let at = performance.now()
  let usage = process.cpuUsage()
  const tick = (): void => {
    const next = performance.now()
    const { user, system } = process.cpuUsage(usage)
    const computedMs = (user + system) / 1000
    longest = Math.max(longest, next - at - TICK_MS - computedMs)
    elapsed += Math.min(next - at, Math.max(MAX_TICK_MS, computedMs))
    at = next
    usage = process.cpuUsage()
  }
  const timer = setInterval(tick, TICK_MS)
  return {
    now: () => elapsed,
    longestMs () {
      tick()
      return longest
    },
    stop: () => { clearInterval(timer) }
  }
}
