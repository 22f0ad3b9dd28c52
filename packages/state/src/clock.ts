/** Clock of a replica, injected so that seeded tests can run on virtual time. */
import * as timers from 'node:timers/promises'

export interface Clock {
  /** @returns monotonic milliseconds, which keep advancing while the process is suspended */
  now (): number
  /** @returns wall-clock milliseconds since 1970 */
  wallNow (): number
  sleep (ms: number): Promise<void>
}

/** The start of this process on {@link systemClock}. */
export const PROCESS_STARTED_AT_MS = 0

/** Clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
  sleep: async ms => { await timers.setTimeout(ms, undefined, { ref: false }) }
}
