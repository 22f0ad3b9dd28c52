/**
 * Exponentially decaying counts of many items. All counts are kept relative to one point in time, so that the counts of all items decay
 * without being touched.
 */

/** Attempts and missed attempts, decayed. */
export interface Counts { attempts: number, missed: number }

/** Decaying counts by id. */
export interface DecayedCounts {
  add (id: string, attempts: number, missed: number, now: number): void
  /** Returns the counts of an item relative to those of all others, in units of {@link DecayedCounts.unit}; undefined without any. */
  get (id: string): Readonly<Counts> | undefined
  /** Returns the size of one attempt made now, in the units of {@link DecayedCounts.get}. */
  unit (now: number): number
  delete (id: string): void
  /** Removes items without an attempt for this time. */
  prune (now: number, maxAgeMs: number): void
  size (): number
}

/** Above this unit the counts are made relative to a later point in time, well before they lose precision. */
const MAX_UNIT = 2 ** 40

/**
 * Creates empty counts.
 * @param halfLifeMs time after which an attempt counts half, in milliseconds
 */
export function createDecayedCounts (halfLifeMs: number): DecayedCounts {
  const counts = new Map<string, Counts & { at: number }>()
  let origin: number | undefined

  const unit = (now: number): number => origin === undefined ? 1 : 2 ** ((now - origin) / halfLifeMs)

  const rebase = (now: number, factor: number): void => {
    for (const item of counts.values()) {
      item.attempts *= factor
      item.missed *= factor
    }
    origin = now
  }

  return {
    add (id, attempts, missed, now) {
      origin ??= now
      let weight = unit(now)
      if (weight > MAX_UNIT) {
        rebase(now, 1 / weight)
        weight = 1
      }
      const item = counts.get(id) ?? { attempts: 0, missed: 0, at: now }
      item.attempts += attempts * weight
      item.missed += missed * weight
      item.at = now
      counts.set(id, item)
    },
    get: id => counts.get(id),
    unit,
    delete (id) { counts.delete(id) },
    prune (now, maxAgeMs) {
      for (const [id, item] of counts) if (now - item.at > maxAgeMs) counts.delete(id)
    },
    size: () => counts.size
  }
}
