/**
 * How many bytes of documents an instance sends at a time. A decision without input or output.
 *
 * Load pattern: a document has grown by two thousand routes, and twenty instances ask one control instance on a link of a few Mbit/s
 * for it at once. Sent to all of them together it arrives at each of them after seconds; those that give up meanwhile ask for it
 * again, and what they were sent fills the link in vain. Sent to a few at a time, the first of them hand it on.
 */

/** The bytes that may be sent. */
export interface SendBudget {
  /** Takes a send. @returns whether it may be made now */
  tryReserve (bytes: number, now: number): boolean
}

/** A send is begun while what was sent before it keeps the link busy for no longer than this, milliseconds. */
const MAX_QUEUE_MS = 150

/**
 * Creates a budget.
 * @param bytesPerMs what the link carries, bytes a millisecond; Infinity where that is not known
 * @returns the budget, of a link that is free
 */
export function createSendBudget (bytesPerMs: number): SendBudget {
  let freeAt = -Infinity
  return {
    tryReserve (bytes, now) {
      const beginsAt = Math.max(now, freeAt)
      if (beginsAt - now > MAX_QUEUE_MS) return false
      freeAt = beginsAt + bytes / bytesPerMs
      return true
    }
  }
}
