/**
 * Requests that wait for a document: for the first one, or for a newer one that may know their path or key.
 *
 * Load pattern: the whole fleet is killed or loses its power. Entry instances listen again some hundred milliseconds before the
 * first control instance can hand out the document, and callers come all that time. Refused, each of them uses up its one return
 * for an outage that is nearly over; held for a moment, most of them are still answered within their target.
 */

/** A request is held for this share of the time that its caller waits: enough is left to be served or to come back. */
const HOLD_SHARE = 0.25
/** Longer than a control instance takes to start on a small share of a processor. */
const HOLD_MOST_MS = 1500
/** Longer than a newer document takes from another instance: an instance that has one serves all others meanwhile. */
const HOLD_NEWER_MOST_MS = 400
/** A caller that names no deadline waits at least so long. */
const UNNAMED_DEADLINE_MS = 2000
/** What an instance holds is bounded: beyond it requests are refused at once. */
const HOLD_REQUESTS = 512

/**
 * Tells how long a request may be held until there is a document, or a newer one.
 * @param clientMs how long its caller waits, milliseconds, if it says so
 * @param held requests that are held already
 * @param isForNewer whether this instance has a document
 * @returns milliseconds, 0 where it is refused at once
 */
export function toDocumentWaitMs (clientMs: number | undefined, held: number, isForNewer = false): number {
  if (held >= HOLD_REQUESTS) return 0
  return Math.min(isForNewer ? HOLD_NEWER_MOST_MS : HOLD_MOST_MS, HOLD_SHARE * (clientMs ?? UNNAMED_DEADLINE_MS))
}

/** Requests that wait for the next document. */
export interface DocumentWaiters {
  /**
   * Waits until a document comes, the time is over or the caller has left.
   * @param ms how long at most
   * @param onLeave has a function called when the caller leaves
   */
  wait (ms: number, onLeave: (run: () => void) => void): Promise<void>
  /** @returns requests that wait now */
  count (): number
  /** A document has come. */
  releaseAll (): void
}

/**
 * Creates the waiting room.
 * @returns the room, empty
 */
export function createDocumentWaiters (): DocumentWaiters {
  const waiting = new Set<() => void>()
  return {
    async wait (ms, onLeave) {
      await new Promise<void>(resolve => {
        const end = (): void => {
          clearTimeout(timer)
          waiting.delete(end)
          resolve()
        }
        const timer = setTimeout(end, ms)
        waiting.add(end)
        onLeave(end)
      })
    },
    count: () => waiting.size,
    releaseAll () {
      for (const end of [...waiting]) end()
    }
  }
}
