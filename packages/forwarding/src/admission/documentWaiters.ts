/**
 * Requests that wait for the first configuration document, or for a newer one that may contain their route or key. Waiting briefly
 * avoids rejecting requests during a fleet restart, when entry instances accept connections before they have a document.
 */

/** Maximum wait as a share of the client deadline; leaves time to serve the request or to retry. */
const WAIT_SHARE = 0.25
/** Longer than a control instance takes to start on a small share of a processor. */
const MAX_WAIT_MS = 1500
/** Longer than a newer document takes from another instance. */
const MAX_WAIT_FOR_NEWER_MS = 400
/** Deadline that is assumed for a request without one. */
const DEFAULT_DEADLINE_MS = 2000
/** Bounds what an instance holds: requests beyond this limit are rejected without waiting. */
const MAX_WAITING_REQUESTS = 512

/**
 * Returns how long a request may wait for the first document, or for a newer one.
 * @param clientDeadlineMs remaining time until the client deadline in milliseconds, undefined without one
 * @returns milliseconds; 0 if the request must be rejected without waiting
 */
export function toDocumentWaitMs (clientDeadlineMs: number | undefined, waitingCount: number, isForNewer = false): number {
  if (waitingCount >= MAX_WAITING_REQUESTS) return 0
  return Math.min(isForNewer ? MAX_WAIT_FOR_NEWER_MS : MAX_WAIT_MS, WAIT_SHARE * (clientDeadlineMs ?? DEFAULT_DEADLINE_MS))
}

/** Requests that wait for the next document. */
export interface DocumentWaiters {
  /** Resolves when a document arrives, the time is over or the client disconnects. */
  wait (ms: number, onDisconnect: (run: () => void) => void): Promise<void>
  /** Number of requests that are waiting. */
  count (): number
  /** Resumes all waiting requests, after a document arrived. */
  releaseAll (): void
}

export function createDocumentWaiters (): DocumentWaiters {
  const waiting = new Set<() => void>()
  return {
    async wait (ms, onDisconnect) {
      await new Promise<void>(resolve => {
        const end = (): void => {
          clearTimeout(timer)
          waiting.delete(end)
          resolve()
        }
        const timer = setTimeout(end, ms)
        waiting.add(end)
        onDisconnect(end)
      })
    },
    count: () => waiting.size,
    releaseAll () {
      for (const end of [...waiting]) end()
    }
  }
}
