/**
 * Limits how many bytes of documents an instance sends at a time. Many simultaneous full documents would saturate a slow link
 * until the receivers time out and retry; sending to a few at a time lets the first receivers serve the others.
 */
import * as timers from 'node:timers/promises'

/** A budget of bytes on one link. */
export interface SendBudget {
  /**
   * Reserves room for a message on the link.
   * @param now milliseconds
   * @returns whether it may be sent now
   */
  tryReserve (bytes: number, now: number): boolean
}

/** Longest time for which earlier messages may keep the link busy before another one is rejected. */
const MAX_QUEUE_MS = 150

/**
 * Creates the budget of an idle link.
 * @param toBytesPerMs returns the present capacity of the link, bytes per millisecond; Infinity, the default, if unknown
 */
export function createSendBudget (toBytesPerMs: () => number = () => Infinity): SendBudget {
  let idleAt = -Infinity
  return {
    tryReserve (bytes, now) {
      const startsAt = Math.max(now, idleAt)
      if (startsAt - now > MAX_QUEUE_MS) return false
      idleAt = startsAt + bytes / toBytesPerMs()
      return true
    }
  }
}

/** Interval at which a message that waits for room on the link is checked. */
const ROOM_POLL_MS = 10

/**
 * Creates a queue of messages that wait for room on the link, in order.
 * @param now returns milliseconds
 * @returns a function that resolves when a message may be sent, or when it is no longer wanted
 */
export function createSendQueue (budget: SendBudget, now: () => number): (toBytes: () => number, isWanted: () => boolean) => Promise<void> {
  let last: Promise<void> = Promise.resolve()
  return async (toBytes, isWanted) => {
    const turn = last.then(async () => {
      while (isWanted() && !budget.tryReserve(toBytes(), now())) await timers.setTimeout(ROOM_POLL_MS)
    })
    // A message that fails costs itself only.
    last = turn.catch(() => {})
    await turn
  }
}
