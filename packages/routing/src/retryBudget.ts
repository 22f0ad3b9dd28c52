/** A budget for retries: a share of recent first attempts, so that an outage does not multiply the load. */

/** Retries that may still be made. */
export interface RetryBudget {
  /** Notes a first attempt, which earns a part of a retry. */
  deposit (): void
  /** Spends one retry. @returns whether there was one */
  tryWithdraw (): boolean
}

/** Shares of one do not add up exactly. */
const ROUNDING = 1e-9

/** What a budget is built from. */
export interface RetryBudgetOptions {
  /** Retries earned by one first attempt. */
  share?: number
  /** The most that can be saved up; also the budget at the start. */
  max?: number
}

/**
 * Creates a budget.
 * @param opts how much is earned and saved
 * @returns the budget
 */
export function createRetryBudget (opts: RetryBudgetOptions = {}): RetryBudget {
  const share = opts.share ?? 0.2
  const max = opts.max ?? 50
  let left = max
  return {
    deposit () { left = Math.min(max, left + share) },
    tryWithdraw () {
      if (left < 1 - ROUNDING) return false
      left--
      return true
    }
  }
}
