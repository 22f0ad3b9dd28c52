/** Time as the replica sees it, so that seeded tests can run the same code on a clock of their own. */
import * as timers from 'node:timers/promises'

/** A source of time and waiting. */
export interface Clock {
  /** @returns milliseconds that never go back and go on through a freeze of the process */
  now (): number
  /** @returns wall-clock milliseconds since 1970 */
  wallNow (): number
  /** Waits. */
  sleep (ms: number): Promise<void>
}

/** The machine's clock. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
  sleep: async ms => { await timers.setTimeout(ms, undefined, { ref: false }) }
}
