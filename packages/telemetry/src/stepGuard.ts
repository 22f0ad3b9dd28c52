/** Keeps periodic work going: an unexpected error in one step must not end the steps after it, without which the process serves nothing. */
import * as lineLimits from './lineLimit.js'
import type * as logs from './log.js'

/** The errors of a step are logged once in this time. */
const LOG_INTERVAL_MS = 10_000
const MAX_DETAIL_LENGTH = 1000

/**
 * Creates a function that runs a step; an error is logged in bounds and costs the rest of this step only.
 * @param step name for the log and the metrics
 */
export function createStepGuard (log: logs.Log, step: string): (run: () => void) => void {
  const toUnlogged = lineLimits.createLineLimit(LOG_INTERVAL_MS)
  return run => {
    try {
      run()
    } catch (err) {
      const unlogged = toUnlogged()
      if (unlogged === undefined) return
      log.event('uncaught', { step, unlogged, detail: (err instanceof Error ? err.stack ?? err.message : String(err)).slice(0, MAX_DETAIL_LENGTH) })
    }
  }
}
