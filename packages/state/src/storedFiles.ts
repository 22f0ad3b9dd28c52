/** Decodes the files of a replica, and tells damage from an incomplete last write. */
import * as entries from './entries.js'
import * as records from './records.js'
import type * as storage from './storage.js'

/** Contents of the files of a replica; those that do not exist are undefined. */
export interface Files {
  meta: Buffer | undefined
  snapshot: Buffer | undefined
  log: Buffer
  synced: Buffer | undefined
  committed: Buffer | undefined
}

/** Stored state with the positions of the entries in the log file. */
export interface FoundFiles extends Extract<storage.LoadResult, { kind: 'found' }> {
  /** Whether the log file holds entries that a later snapshot has replaced, and that a new entry would not continue. */
  isLogReplaced: boolean
  /** End offset of each entry. */
  ends: Array<{ index: number, end: number }>
  /** Offset up to which the log is known to be synced. */
  syncedEnd: number
}

/** Result of {@link decodeFiles}. */
export type DecodedFiles = Exclude<storage.LoadResult, { kind: 'found' }> | FoundFiles

/** Decodes the files of a replica. An incomplete last write is no damage. */
export function decodeFiles (files: Files): DecodedFiles {
  try {
    const log = records.decodeRecords(files.log)
    const rawMeta = decodeSingleRecord('meta', files.meta)
    const rawSnapshot = decodeSingleRecord('snapshot', files.snapshot)
    const mark = decodeFirstNumber(files.synced)
    const committed = decodeFirstNumber(files.committed)
    if (rawMeta === undefined) {
      // After an interrupted removal any of the files may be left, also one that would later be taken for a part of the new state.
      const hasLeftover = files.log.length > 0 || rawSnapshot !== undefined || mark > 0 || committed > 0
      return hasLeftover ? { kind: 'damaged', detail: 'file meta is missing, but other files of an earlier state exist' } : { kind: 'empty' }
    }
    if (files.log.length > 0 && log.validBytes === 0) return { kind: 'damaged', detail: 'log begins without an intact record' }
    if (log.validBytes < mark) return { kind: 'damaged', detail: `log is valid up to byte ${log.validBytes}, but was synced up to byte ${mark}` }
    const logged = log.values.filter(isEntry).map(value => entries.entry.parse(value))
    const snapshot = rawSnapshot === undefined ? undefined : entries.snapshot.parse(rawSnapshot)
    const isLogReplaced = snapshot !== undefined && logged.length > 0 && !reaches(logged, snapshot)
    const list = isLogReplaced ? [] : logged
    const gap = findGap(list, snapshot)
    if (gap !== undefined) return { kind: 'damaged', detail: gap }
    // Besides entries the log contains numbers: the commit index at the time of the next append.
    const commitRecords = log.values.filter(value => typeof value === 'number')
    const entryEnds = log.ends.filter((end, i) => isEntry(log.values[i]))
    return {
      kind: 'found',
      meta: entries.meta.parse(rawMeta),
      snapshot,
      entries: list,
      isLogReplaced,
      tornBytes: files.log.length - log.validBytes,
      commitIndex: Math.max(committed, ...commitRecords),
      ends: list.map((item, i) => ({ index: item.index, end: entryEnds[i] })),
      syncedEnd: mark
    }
  } catch (err) {
    return { kind: 'damaged', detail: err instanceof Error ? err.message : String(err) }
  }
}

function decodeSingleRecord (name: string, bytes: Buffer | undefined): unknown {
  if (bytes === undefined) return undefined
  const { values, validBytes } = records.decodeRecords(bytes)
  if (values.length !== 1 || validBytes !== bytes.length) throw new Error(`file ${name} is damaged: ${validBytes} of ${bytes.length} bytes are valid`)
  return values[0]
}

/** Returns 0 if there is no intact record: these files are written in place, and 0 is always safe. */
function decodeFirstNumber (bytes: Buffer | undefined): number {
  const value = bytes === undefined ? undefined : records.decodeRecords(bytes).values[0]
  return typeof value === 'number' ? value : 0
}

export function isEntry (value: unknown): boolean {
  return typeof value !== 'number'
}

/** Returns whether a log contains the last entry of a snapshot, or begins right behind it. */
function reaches (list: readonly entries.Entry[], { lastIndex, lastTerm }: entries.Snapshot): boolean {
  if (list[0].index > lastIndex) return true
  return list.some(item => item.index === lastIndex && item.term === lastTerm)
}

function findGap (list: readonly entries.Entry[], snapshot: entries.Snapshot | undefined): string | undefined {
  const first = list[0]
  if (first !== undefined && first.index > (snapshot?.lastIndex ?? 0) + 1) return `gap in the log: the first entry is ${first.index}, but the snapshot ends at ${snapshot?.lastIndex ?? 0}`
  for (let i = 1; i < list.length; i++) {
    if (list[i].index !== list[i - 1].index + 1) return `gap in the log: entry ${list[i - 1].index} is followed by ${list[i].index}`
  }
  return undefined
}
