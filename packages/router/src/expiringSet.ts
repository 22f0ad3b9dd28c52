/** A set of ids with a retention time. */

/** A set whose ids expire. */
export interface ExpiringSet {
  add (id: string): void
  has (id: string): boolean
}

/**
 * Creates an empty set.
 * @param retentionMs minimum time an id is kept; expired ids are evicted when one is added
 */
export function createExpiringSet (retentionMs: number): ExpiringSet {
  const addedAt = new Map<string, number>()
  return {
    add (id) {
      const now = performance.now()
      addedAt.delete(id)
      addedAt.set(id, now)
      for (const [old, at] of addedAt) {
        if (now - at < retentionMs) break
        addedAt.delete(old)
      }
    },
    has: id => addedAt.has(id)
  }
}
