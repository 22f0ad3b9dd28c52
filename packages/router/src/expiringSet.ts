/** A set of ids that forgets each after a while. */

/** A set that forgets. */
export interface ExpiringSet {
  add (id: string): void
  has (id: string): boolean
}

/**
 * Creates an empty set.
 * @param keepMs how long an id is kept at least
 * @returns the set
 */
export function createExpiringSet (keepMs: number): ExpiringSet {
  const addedAt = new Map<string, number>()
  return {
    add (id) {
      const now = performance.now()
      addedAt.delete(id)
      addedAt.set(id, now)
      for (const [old, at] of addedAt) {
        if (now - at < keepMs) break
        addedAt.delete(old)
      }
    },
    has: id => addedAt.has(id)
  }
}
