/**
 * Who is served first where not all can be: the more urgent client accounts, and among equals the more urgent routes. A decision
 * without input or output.
 *
 * Load pattern: more requests than the endpoints can begin in time, of all kinds at once. The less urgent a request, the shorter
 * the queue that it joins; so it is refused a little before the others are, and what it leaves free is theirs.
 */

/** The ranks that occur, the most urgent first. */
export interface Ranks { accounts: readonly number[], routes: readonly number[] }

/** The least urgent request joins queues up to this share of what the most urgent one does. */
const LEAST_SHARE = 0.6

/**
 * Lists ranks once each, the most urgent first.
 * @param ranks the ranks; null is that of who has none, behind all others
 * @returns the ranks in order
 */
export function toDistinctRanks (ranks: ReadonlyArray<number | null>): number[] {
  return [...new Set(ranks.map(toNumber))].sort((a, b) => a - b)
}

/**
 * Tells how long a queue a request may join, compared with the most urgent one.
 * @param ranks the ranks that occur
 * @param accountRank rank of its client account, null without one
 * @param routeRank rank of its route
 * @returns a share, 1 for the most urgent
 */
export function toQueueShare (ranks: Ranks, accountRank: number | null, routeRank: number): number {
  const last = ranks.accounts.length * ranks.routes.length - 1
  if (last <= 0) return 1
  const account = Math.max(0, ranks.accounts.indexOf(toNumber(accountRank)))
  const route = Math.max(0, ranks.routes.indexOf(routeRank))
  return 1 - (1 - LEAST_SHARE) * (account * ranks.routes.length + route) / last
}

function toNumber (rank: number | null): number {
  return rank ?? Infinity
}
