/**
 * Map that forgets old entries. Entries are kept in two generations, so that no write has to look for the oldest one: finding the first
 * key of a map from which many were deleted takes as long as there were deletions.
 */

/** Map of limited size. */
export interface RecentMap<V> {
  get (key: string): V | undefined
  has (key: string): boolean
  set (key: string, value: V): void
}

/**
 * Creates an empty map.
 * @param minEntries latest entries that are kept at least; at most twice as many are
 */
export function createRecentMap<V> (minEntries: number): RecentMap<V> {
  let current = new Map<string, V>()
  let previous = new Map<string, V>()
  return {
    get: key => current.get(key) ?? previous.get(key),
    has: key => current.has(key) || previous.has(key),
    set (key, value) {
      current.set(key, value)
      if (current.size < minEntries) return
      previous = current
      current = new Map()
    }
  }
}
