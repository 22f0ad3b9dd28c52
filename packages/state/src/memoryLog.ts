/** The log as a replica holds it in memory: the entries behind the last one that was compacted away. */
import * as entries from './entries.js'

/** The log in memory. */
export interface MemoryLog {
  /** Index and term of the last entry that was compacted away; 0 and 0 before any. */
  base (): { index: number, term: number }
  lastIndex (): number
  lastTerm (): number
  /** @returns the term of an entry, or undefined where it is not held */
  termAt (index: number): number | undefined
  /** @returns the entry, or undefined where it is not held */
  at (index: number): entries.Entry | undefined
  /** @returns entries from an index on, bounded in number */
  from (index: number, most: number): entries.Entry[]
  append (list: readonly entries.Entry[]): void
  truncateFrom (index: number): void
  /** Forgets entries up to and with this index, which must be held. */
  compactTo (index: number): void
  /** Starts anew behind a snapshot. */
  reset (index: number, term: number): void
  /** @returns the voters of the latest membership entry held, and its index; undefined if none is held */
  membership (): { index: number, voters: entries.Member[] } | undefined
}

/**
 * Creates an empty log.
 * @returns the log
 */
export function createMemoryLog (): MemoryLog {
  let baseIndex = 0
  let baseTerm = 0
  let list: entries.Entry[] = []
  let memberships: Array<{ index: number, voters: entries.Member[] }> = []
  const at = (index: number) => list[index - baseIndex - 1]
  const termAt = (index: number) => index === baseIndex ? baseTerm : at(index)?.term
  const lastIndex = () => baseIndex + list.length
  return {
    base: () => ({ index: baseIndex, term: baseTerm }),
    lastIndex,
    lastTerm: () => list.at(-1)?.term ?? baseTerm,
    termAt,
    at,
    from: (index, most) => list.slice(index - baseIndex - 1, index - baseIndex - 1 + most),
    append (more) {
      for (const item of more) {
        if (item.index !== lastIndex() + 1) throw new Error(`log gap: ${item.index} behind ${lastIndex()}`)
        list.push(item)
        if (item.body.kind === 'membership') memberships.push({ index: item.index, voters: item.body.voters })
      }
    },
    truncateFrom (index) {
      list = list.slice(0, Math.max(0, index - baseIndex - 1))
      memberships = memberships.filter(item => item.index < index)
    },
    compactTo (index) {
      const term = termAt(index)
      if (term === undefined) throw new Error(`cannot compact to ${index}`)
      list = list.slice(index - baseIndex)
      baseIndex = index
      baseTerm = term
    },
    reset (index, term) {
      baseIndex = index
      baseTerm = term
      list = []
      memberships = []
    },
    membership: () => memberships.at(-1)
  }
}
