/** A retry budget: retries are limited to a share of first attempts, so that an outage does not amplify the load. */

/** Balance of available retries. */
export interface RetryBudget {
  /** Credits a share of a retry for a first attempt. */
  deposit (): void
  /** Uses one retry. @returns false when the budget is exhausted */
  tryWithdraw (): boolean
}

/** Absorbs floating-point error of summed shares. */
const ROUNDING = 1e-9
const DEFAULT_SHARE = 0.2
const DEFAULT_MAX = 50

export interface RetryBudgetOptions {
  /** Retries credited for one first attempt. Default: 0.2. */
  share?: number
  /** Upper bound of the balance, and the initial balance. Default: 50. */
  max?: number
}

export function createRetryBudget (opts: RetryBudgetOptions = {}): RetryBudget {
  const share = opts.share ?? DEFAULT_SHARE
  const max = opts.max ?? DEFAULT_MAX
  let balance = max
  return {
    deposit () { balance = Math.min(max, balance + share) },
    tryWithdraw () {
      if (balance < 1 - ROUNDING) return false
      balance--
      return true
    }
  }
}
