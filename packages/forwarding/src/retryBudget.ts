/**
 * How many second sends an entry instance may make. The whole fleet may send a service only so many requests again in any
 * window, or an outage of some endpoints becomes an overload of the rest; each instance keeps to its share of that without
 * asking anyone.
 */
import * as numbers from './numbers.js'

/** Bounds of the whole fleet. */
export interface RetryBudgetOptions {
  /** Second sends for each request. */
  ratio: number
  /** Length of the window, milliseconds. */
  windowMs: number
  /** Second sends that are allowed on top in a window, for the whole fleet. */
  slack: number
}

/** The second sends of one service from one entry instance. */
export interface RetryBudget {
  /** Notes a request. */
  recordRequest (now: number): void
  /** Takes one second send. @returns whether there was one left */
  trySpend (now: number, instances: number): boolean
}

/** Share of the bounds that is used: instances count windows that do not begin together. */
const CAUTION = 0.8
const SLOTS = 10

/**
 * Creates a window without requests.
 * @param bounds bounds of the whole fleet
 * @returns the window
 */
export function createRetryBudget (bounds: RetryBudgetOptions): RetryBudget {
  const slotMs = bounds.windowMs / SLOTS
  const requests = new Array<number>(SLOTS).fill(0)
  const sends = new Array<number>(SLOTS).fill(0)
  let slot = 0

  const turn = (now: number): void => {
    const current = Math.floor(now / slotMs)
    const steps = Math.min(SLOTS, current - slot)
    for (let i = 1; i <= steps; i++) {
      requests[(slot + i) % SLOTS] = 0
      sends[(slot + i) % SLOTS] = 0
    }
    if (steps > 0) slot = current
  }

  return {
    recordRequest (now) {
      turn(now)
      requests[slot % SLOTS]++
    },
    trySpend (now, instances) {
      turn(now)
      const allowed = CAUTION * (bounds.ratio * numbers.sum(requests) + bounds.slack / Math.max(1, instances))
      if (numbers.sum(sends) + 1 > allowed) return false
      sends[slot % SLOTS]++
      return true
    }
  }
}
