/**
 * Distributed rate limiting of client accounts: each instance reports its demand, the control leader returns the share of
 * the demand that fits the fleet-wide limit, and a local token bucket enforces it.
 */

/** Rate limit of a client account across the fleet. */
export interface AccountLimit { requestsPerSecond: number, burst: number }

/** Local enforcement of the account limits. */
export interface AccountLimits {
  /**
   * Takes a token for one request.
   * @param share fraction of the account's demand that may pass, as last reported by the control leader
   * @returns 0 if the request may pass, otherwise milliseconds after which to retry
   */
  take (account: string, limit: AccountLimit, share: number): number
  /** @returns requests per account since the last call, admitted or rejected */
  collectDemand (): Array<{ account: string, count: number }>
}

interface Bucket { tokens: number, refilledAt: number, demand: number, demandPerSecond: number }

const DEMAND_AVERAGING_MS = 2000
/** Accounts below this demand are evicted. */
const IDLE_REQUESTS_PER_SECOND = 0.01

/** @param now monotonic milliseconds */
export function createAccountLimits (now: () => number = () => performance.now()): AccountLimits {
  const buckets = new Map<string, Bucket>()
  let windowStartedAt = now()

  return {
    take (account, limit, share) {
      const at = now()
      let bucket = buckets.get(account)
      if (bucket === undefined) {
        bucket = { tokens: limit.burst, refilledAt: at, demand: 0, demandPerSecond: 0 }
        buckets.set(account, bucket)
      }
      bucket.demand++
      // While the fleet exceeds the limit, this instance admits the reported share of its own demand.
      const rate = share < 1 ? Math.min(limit.requestsPerSecond, Math.max(bucket.demandPerSecond, 1) * share) : limit.requestsPerSecond
      const burst = share < 1 ? Math.max(1, limit.burst * Math.min(1, rate / limit.requestsPerSecond)) : limit.burst
      bucket.tokens = Math.min(burst, bucket.tokens + (at - bucket.refilledAt) / 1000 * rate)
      bucket.refilledAt = at
      if (bucket.tokens >= 1) {
        bucket.tokens--
        return 0
      }
      return Math.ceil((1 - bucket.tokens) / rate * 1000)
    },
    collectDemand () {
      const at = now()
      const elapsed = Math.max(1, at - windowStartedAt)
      windowStartedAt = at
      const list: Array<{ account: string, count: number }> = []
      const weight = Math.min(1, elapsed / DEMAND_AVERAGING_MS)
      for (const [account, bucket] of buckets) {
        bucket.demandPerSecond += (bucket.demand / elapsed * 1000 - bucket.demandPerSecond) * weight
        if (bucket.demand > 0) list.push({ account, count: bucket.demand })
        else if (bucket.demandPerSecond < IDLE_REQUESTS_PER_SECOND) buckets.delete(account)
        bucket.demand = 0
      }
      return list
    }
  }
}
