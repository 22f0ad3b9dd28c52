/**
 * Batches stream events that follow each other closely into one write. Fewer packets mean fewer retransmissions, each of which
 * delays all later events. The batch window follows the interval between the events of the stream, so that a write contains two of
 * them, whatever the speed of the endpoint.
 */

/** Output and timer of an {@link EventBatcher}. */
export interface EventBatcherOptions {
  write: (bytes: Buffer) => void
  /** Schedules a callback. @returns a function that cancels it */
  schedule: (run: () => void, ms: number) => () => void
  /** Returns milliseconds on the monotonic clock. */
  now: () => number
}

export interface EventBatcher {
  /** Adds an event. The first one is written immediately, to keep the time to the first event short. */
  push: (bytes: Buffer) => void
  /** Writes all pending events. */
  flush: () => void
}

/** Batch window of streams with shorter intervals between events. */
export const MIN_WINDOW_MS = 45
/** Maximum time that an event is delayed for batching. */
export const MAX_WINDOW_MS = 95
/** Batch window as a multiple of the interval between events: long enough for the next event, also if it is a little late. */
const WINDOW_INTERVALS = 1.7
/** Events with longer intervals would only be delayed: a write rarely contained two of them. */
const MAX_JOINED_INTERVAL_MS = 80
/** Weight of the latest interval in the moving average. */
const INTERVAL_WEIGHT = 0.2

export function createEventBatcher (opts: EventBatcherOptions): EventBatcher {
  let pending: Buffer[] = []
  let isFirst = true
  let cancel: (() => void) | undefined
  let pushedAt: number | undefined
  /** Moving average of the interval between events in milliseconds, undefined before the second. */
  let intervalMs: number | undefined

  const flush = (): void => {
    cancel?.()
    cancel = undefined
    if (pending.length === 0) return
    const bytes = pending.length === 1 ? pending[0] : Buffer.concat(pending)
    pending = []
    opts.write(bytes)
  }

  const recordInterval = (): void => {
    const at = opts.now()
    // A pause, as after a lost packet, says nothing about the interval.
    if (pushedAt !== undefined) {
      const latestMs = Math.min(MAX_WINDOW_MS, at - pushedAt)
      intervalMs = intervalMs === undefined ? latestMs : intervalMs + INTERVAL_WEIGHT * (latestMs - intervalMs)
    }
    pushedAt = at
  }

  const toWindowMs = (): number => {
    if (intervalMs === undefined || intervalMs > MAX_JOINED_INTERVAL_MS) return MIN_WINDOW_MS
    return Math.min(MAX_WINDOW_MS, Math.max(MIN_WINDOW_MS, WINDOW_INTERVALS * intervalMs))
  }

  return {
    push (bytes) {
      recordInterval()
      pending.push(bytes)
      if (isFirst) {
        isFirst = false
        flush()
        return
      }
      cancel ??= opts.schedule(flush, toWindowMs())
    },
    flush
  }
}
