/** In-memory copy of the replicated log after its compacted prefix. */
import * as entries from './entries.js'

export interface MemoryLog {
  /** @returns index and term of the last compacted entry; zeros before the first compaction */
  base (): { index: number, term: number }
  lastIndex (): number
  lastTerm (): number
  /** @returns the term of an entry; undefined when it is compacted or beyond the end */
  termAt (index: number): number | undefined
  /** @returns undefined when the entry is compacted or beyond the end */
  at (index: number): entries.Entry | undefined
  /** @returns at most `limit` entries, starting at the index */
  from (index: number, limit: number): entries.Entry[]
  append (list: readonly entries.Entry[]): void
  truncateFrom (index: number): void
  /** Removes the entries up to and including this index. @throws Error when the entry is not in the log */
  compactTo (index: number): void
  /** Removes all entries and continues after the given position. */
  reset (index: number, term: number): void
  /** @returns index and voters of the latest membership entry; undefined when the log contains none */
  membership (): { index: number, voters: entries.Member[] } | undefined
}

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
    from: (index, limit) => list.slice(index - baseIndex - 1, index - baseIndex - 1 + limit),
    append (added) {
      for (const item of added) {
        if (item.index !== lastIndex() + 1) throw new Error(`log gap: appending entry ${item.index} after ${lastIndex()}`)
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
      if (term === undefined) throw new Error(`cannot compact to entry ${index}: not in the log`)
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
