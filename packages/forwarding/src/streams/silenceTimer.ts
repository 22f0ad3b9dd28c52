/** Reports when a stream has sent no event for a while, and again as long as it sends none. */
import * as attemptWatchdogs from '../attempts/attemptWatchdog.js'

/** Timer of a stream. */
export interface SilenceTimer {
  /** Starts the timer anew: the stream sends events, or another endpoint continues it. */
  restart (): void
  /** Returns the time since that in milliseconds. */
  silentMs (): number
  stop (): void
}

/** Time without an event after which a stream is silent: several times the longest pause of a healthy one, and half of what clients wait before they leave. */
export const STALL_TIMEOUT_MS = 1000

/**
 * Starts a timer.
 * @param now returns milliseconds on the monotonic clock
 */
export function startSilenceTimer (onSilent: () => void, now: () => number): SilenceTimer {
  let since = now()
  /** Whether the timer still runs that was created last, so that it need not be created anew. */
  let isFirst = true
  const report = (): void => {
    isFirst = false
    onSilent()
    timer = setTimeout(report, attemptWatchdogs.RECHECK_MS)
  }
  let timer = setTimeout(report, STALL_TIMEOUT_MS)
  return {
    restart () {
      since = now()
      if (isFirst) {
        timer.refresh()
        return
      }
      isFirst = true
      clearTimeout(timer)
      timer = setTimeout(report, STALL_TIMEOUT_MS)
    },
    silentMs: () => Math.round(now() - since),
    stop () {
      isFirst = false
      clearTimeout(timer)
    }
  }
}
