/**
 * Retry budget of an entry instance for one service. Bounds the retries of the fleet in a sliding window, so that the failure of
 * some endpoints does not overload the others; each instance enforces its own share without coordination.
 */
import * as numbers from '../placement/numbers.js'

/** Limits for the fleet. */
export interface RetryBudgetOptions {
  /** Retries for each request. */
  ratio: number
  /** Length of the sliding window, in milliseconds. */
  windowMs: number
  /** Retries for each window that are allowed in addition, for the fleet. */
  slack: number
}

/** Retry budget of one service at one entry instance. */
export interface RetryBudget {
  /** Counts a request towards the budget. */
  recordRequest (now: number): void
  /**
   * Takes one retry from the budget.
   * @param share share of the budget that may be used, the whole by default
   * @returns false if it is exhausted
   */
  trySpend (now: number, instances: number, share?: number): boolean
}

/** Share of the budget that is used; the windows of the instances are not aligned. */
const SAFETY_SHARE = 0.8
const SLOTS = 10

/** Share of the budget that retries may use whose endpoint is only silent; the rest is left for those whose response was lost. */
export const HEDGE_SHARE = 0.5

/** @param toOptions returns the present limits */
export function createRetryBudget (toOptions: () => RetryBudgetOptions): RetryBudget {
  const requests = new Array<number>(SLOTS).fill(0)
  const retries = new Array<number>(SLOTS).fill(0)
  let { windowMs } = toOptions()
  let slot = 0

  /** What was counted in a window of another length counts for the whole of the present one. */
  const changeWindow = (now: number): void => {
    windowMs = toOptions().windowMs
    slot = Math.floor(now * SLOTS / windowMs)
    for (const counts of [requests, retries]) {
      const total = numbers.sum(counts)
      counts.fill(0)
      counts[slot % SLOTS] = total
    }
  }

  const advance = (now: number): void => {
    if (toOptions().windowMs !== windowMs) changeWindow(now)
    const current = Math.floor(now * SLOTS / windowMs)
    const steps = Math.min(SLOTS, current - slot)
    for (let i = 1; i <= steps; i++) {
      requests[(slot + i) % SLOTS] = 0
      retries[(slot + i) % SLOTS] = 0
    }
    if (steps > 0) slot = current
  }

  return {
    recordRequest (now) {
      advance(now)
      requests[slot % SLOTS]++
    },
    trySpend (now, instances, share = 1) {
      advance(now)
      const { ratio, slack } = toOptions()
      const allowed = share * SAFETY_SHARE * (ratio * numbers.sum(requests) + slack / Math.max(1, instances))
      if (numbers.sum(retries) + 1 > allowed) return false
      retries[slot % SLOTS]++
      return true
    }
  }
}

/**
 * Returns a function that finds the budget of a service, and creates it if there is none yet.
 * @param toOptions returns the present limits
 */
export function createRetryBudgets (toOptions: () => RetryBudgetOptions): (service: string) => RetryBudget {
  const budgets = new Map<string, RetryBudget>()
  return service => {
    const known = budgets.get(service)
    if (known !== undefined) return known
    const created = createRetryBudget(toOptions)
    budgets.set(service, created)
    return created
  }
}
