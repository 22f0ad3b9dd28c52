/** The control leader's side of account limits: adds up demand and tells who is over. */

/** Rates of client accounts across the fleet. */
export interface FleetRates {
  /** Takes counts from one instance. */
  add (list: ReadonlyArray<{ account: string, count: number }>): void
  /** @returns the share of an account's demand that fits its limit; 1 when it is within */
  share (account: string, requestsPerSecond: number): number
}

interface Rate { perSecond: number, at: number }

/** The rate is a decaying sum over about this long. */
const MEMORY_MS = 2000

/**
 * Creates the rates.
 * @param now monotonic milliseconds
 * @returns the rates
 */
export function createFleetRates (now: () => number = () => performance.now()): FleetRates {
  const rates = new Map<string, Rate>()
  const decayed = (rate: Rate, at: number): number => rate.perSecond * Math.exp((rate.at - at) / MEMORY_MS)
  return {
    add (list) {
      const at = now()
      for (const { account, count } of list) {
        const rate = rates.get(account)
        const before = rate === undefined ? 0 : decayed(rate, at)
        rates.set(account, { perSecond: before + count * 1000 / MEMORY_MS, at })
      }
    },
    share (account, requestsPerSecond) {
      const rate = rates.get(account)
      if (rate === undefined) return 1
      const perSecond = decayed(rate, now())
      return perSecond <= requestsPerSecond ? 1 : requestsPerSecond / perSecond
    }
  }
}
