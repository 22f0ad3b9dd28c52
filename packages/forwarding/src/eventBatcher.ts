/**
 * Joins events of a stream that follow each other closely into one write.
 *
 * Load pattern: an endpoint makes an event every 20 to 30 ms, each travels in a packet of its own, and a lost packet holds
 * back all that follow it for longer than an event may take. Fewer packets are lost where fewer are sent.
 */

/** How events are written and time passes. */
export interface EventBatcherOptions {
  write: (bytes: Buffer) => void
  /** Runs something later. @returns how to call it off */
  schedule: (run: () => void, ms: number) => () => void
}

/** Joins events. */
export interface EventBatcher {
  /** Takes an event; the first one goes out at once, since the time to it counts most. */
  push: (bytes: Buffer) => void
  /** Writes what is held. */
  flush: () => void
}

/** How long an event waits for others: a third of what one may take from endpoint to client, so that the way fits in. */
export const BATCH_WINDOW_MS = 45

/**
 * Creates a joiner.
 * @param opts where events go
 * @returns the joiner
 */
export function createEventBatcher (opts: EventBatcherOptions): EventBatcher {
  let held: Buffer[] = []
  let isFirst = true
  let callOff: (() => void) | undefined

  const flush = (): void => {
    callOff?.()
    callOff = undefined
    if (held.length === 0) return
    const bytes = held.length === 1 ? held[0] : Buffer.concat(held)
    held = []
    opts.write(bytes)
  }

  return {
    push (bytes) {
      held.push(bytes)
      if (isFirst) {
        isFirst = false
        flush()
        return
      }
      callOff ??= opts.schedule(flush, BATCH_WINDOW_MS)
    },
    flush
  }
}
