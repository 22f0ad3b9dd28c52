/**
 * Request priority under overload, by rank of the client account and then of the route. A lower priority has a shorter queue limit
 * and is therefore rejected earlier.
 */

/** Distinct ranks in use, highest priority first. */
export interface Ranks { accounts: readonly number[], routes: readonly number[] }

/** Queue limit of the lowest priority, as a share of the limit of the highest. */
const MIN_QUEUE_SHARE = 0.6

/**
 * Returns the distinct ranks, highest priority first.
 * @param ranks null for an item without a rank, which sorts last
 */
export function toDistinctRanks (ranks: ReadonlyArray<number | null>): number[] {
  return [...new Set(ranks.map(toNumber))].sort((a, b) => a - b)
}

/**
 * Returns the queue limit of a request, as a share of the limit of the highest priority.
 * @param accountRank null for an account without a rank
 */
export function toQueueShare (ranks: Ranks, accountRank: number | null, routeRank: number): number {
  const last = ranks.accounts.length * ranks.routes.length - 1
  if (last <= 0) return 1
  const account = Math.max(0, ranks.accounts.indexOf(toNumber(accountRank)))
  const route = Math.max(0, ranks.routes.indexOf(routeRank))
  return 1 - (1 - MIN_QUEUE_SHARE) * (account * ranks.routes.length + route) / last
}

function toNumber (rank: number | null): number {
  return rank ?? Infinity
}
