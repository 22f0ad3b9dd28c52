/**
 * Fleet-wide limits of client accounts from slivers: each instance counts what it sees, the control leader adds the counts
 * up once a second and answers with the share that may pass, and in between each instance holds its own part to that.
 */

/** What limits an account. */
export interface AccountLimit { requestsPerSecond: number, burst: number }

/** The limits as one instance keeps them. */
export interface AccountLimits {
  /**
   * Asks for one request.
   * @returns 0 if it may pass, else milliseconds after which it is worth coming back
   */
  take (account: string, limit: AccountLimit, share: number): number
  /** @returns requests asked for per account since the last call, passed or not */
  collectDemand (): Array<{ account: string, count: number }>
}

interface Bucket { tokens: number, filledAt: number, demand: number, demandPerSecond: number }

const DEMAND_MEMORY_MS = 2000

/**
 * Creates the limits.
 * @param now monotonic milliseconds
 * @returns the limits
 */
export function createAccountLimits (now: () => number = () => performance.now()): AccountLimits {
  const buckets = new Map<string, Bucket>()
  let demandSince = now()

  return {
    take (account, limit, share) {
      const at = now()
      let bucket = buckets.get(account)
      if (bucket === undefined) {
        bucket = { tokens: limit.burst, filledAt: at, demand: 0, demandPerSecond: 0 }
        buckets.set(account, bucket)
      }
      bucket.demand++
      // While the fleet as a whole is over the limit, this instance's part is its share of its own demand.
      const rate = share < 1 ? Math.min(limit.requestsPerSecond, Math.max(bucket.demandPerSecond, 1) * share) : limit.requestsPerSecond
      const burst = share < 1 ? Math.max(1, limit.burst * Math.min(1, rate / limit.requestsPerSecond)) : limit.burst
      bucket.tokens = Math.min(burst, bucket.tokens + (at - bucket.filledAt) / 1000 * rate)
      bucket.filledAt = at
      if (bucket.tokens >= 1) {
        bucket.tokens--
        return 0
      }
      return Math.ceil((1 - bucket.tokens) / rate * 1000)
    },
    collectDemand () {
      const at = now()
      const elapsed = Math.max(1, at - demandSince)
      demandSince = at
      const list: Array<{ account: string, count: number }> = []
      const weight = Math.min(1, elapsed / DEMAND_MEMORY_MS)
      for (const [account, bucket] of buckets) {
        bucket.demandPerSecond += (bucket.demand / elapsed * 1000 - bucket.demandPerSecond) * weight
        if (bucket.demand > 0) list.push({ account, count: bucket.demand })
        else if (bucket.demandPerSecond < 0.01) buckets.delete(account)
        bucket.demand = 0
      }
      return list
    }
  }
}
