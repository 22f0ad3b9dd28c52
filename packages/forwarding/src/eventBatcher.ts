/**
 * Batches stream events that follow each other closely into one write. Fewer packets mean fewer retransmissions, each of which
 * delays all later events.
 */

/** Output and timer of an {@link EventBatcher}. */
export interface EventBatcherOptions {
  write: (bytes: Buffer) => void
  /** Schedules a callback. @returns a function that cancels it */
  schedule: (run: () => void, ms: number) => () => void
}

export interface EventBatcher {
  /** Adds an event. The first one is written immediately, to keep the time to the first event short. */
  push: (bytes: Buffer) => void
  /** Writes all pending events. */
  flush: () => void
}

/** Maximum time that an event is delayed for batching. */
export const BATCH_WINDOW_MS = 45

export function createEventBatcher (opts: EventBatcherOptions): EventBatcher {
  let pending: Buffer[] = []
  let isFirst = true
  let cancel: (() => void) | undefined

  const flush = (): void => {
    cancel?.()
    cancel = undefined
    if (pending.length === 0) return
    const bytes = pending.length === 1 ? pending[0] : Buffer.concat(pending)
    pending = []
    opts.write(bytes)
  }

  return {
    push (bytes) {
      pending.push(bytes)
      if (isFirst) {
        isFirst = false
        flush()
        return
      }
      cancel ??= opts.schedule(flush, BATCH_WINDOW_MS)
    },
    flush
  }
}
