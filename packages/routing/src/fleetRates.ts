/** Aggregates the demand of client accounts on the control leader and computes the share that fits their limits. */

/** Request rates of client accounts across the fleet. */
export interface FleetRates {
  /** Adds the request counts reported by one instance. */
  add (list: ReadonlyArray<{ account: string, count: number }>): void
  /** @returns the fraction of the account's demand that fits its limit; 1 when the demand is within it */
  share (account: string, requestsPerSecond: number): number
}

interface Rate { perSecond: number, updatedAt: number }

/** Time constant of the exponentially decaying rate. */
const DECAY_MS = 2000

/** @param now monotonic milliseconds */
export function createFleetRates (now: () => number = () => performance.now()): FleetRates {
  const rates = new Map<string, Rate>()
  const toDecayed = (rate: Rate, at: number): number => rate.perSecond * Math.exp((rate.updatedAt - at) / DECAY_MS)
  return {
    add (list) {
      const at = now()
      for (const { account, count } of list) {
        const rate = rates.get(account)
        const before = rate === undefined ? 0 : toDecayed(rate, at)
        rates.set(account, { perSecond: before + count * 1000 / DECAY_MS, updatedAt: at })
      }
    },
    share (account, requestsPerSecond) {
      const rate = rates.get(account)
      if (rate === undefined) return 1
      const perSecond = toDecayed(rate, now())
      return perSecond <= requestsPerSecond ? 1 : requestsPerSecond / perSecond
    }
  }
}
