/**
 * Liveness of records, published as changes: a control instance reports which records have become late and which are no longer
 * late, so that the size of a report depends on the failures and not on the size of the fleet.
 */
import * as messages from './messages.js'
import type * as recordTables from './recordTable.js'
import type * as records from './records.js'

/** Changes of liveness since the previous report. */
export interface LivenessChanges {
  /** Ids of records that have become late. */
  late: string[]
  /** Latest heartbeats of records that are no longer late. */
  revived: records.Heartbeat[]
}

/** The control instance's side: tracks which records are late. */
export interface LivenessTracker {
  /** Notes an announcement or a heartbeat of a record. */
  noteHeard (id: string, now: number): void
  /** Determines the changes since the previous call. */
  takeChanges (now: number): LivenessChanges
  /** Returns the ids of all late records, as of the last call of {@link LivenessTracker.takeChanges}. */
  late (): string[]
}

/** Creates a tracker for the records of a table. Records that were never heard, such as those loaded from disk, are late. */
export function createLivenessTracker (table: recordTables.RecordTable): LivenessTracker {
  const heardAt = new Map<string, number>()
  let late = new Set<string>()
  return {
    noteHeard (id, now) { heardAt.set(id, now) },
    takeChanges (now) {
      const changes: LivenessChanges = { late: [], revived: [] }
      const nextLate = new Set<string>()
      const known = table.all().filter(item => item.state !== 'gone')
      for (const { id, startedAt } of known) {
        const isLate = now - (heardAt.get(id) ?? -Infinity) > messages.LATE_AFTER_MS
        if (isLate) nextLate.add(id)
        if (isLate && !late.has(id)) changes.late.push(id)
        if (!isLate && late.has(id)) changes.revived.push([id, startedAt, table.get(id)?.lastSeenSeq ?? 0])
      }
      const knownIds = new Set(known.map(item => item.id))
      for (const id of heardAt.keys()) if (!knownIds.has(id)) heardAt.delete(id)
      late = nextLate
      return changes
    },
    late: () => [...late]
  }
}

/** The subscriber's side: the records that one control instance reports as live. */
export interface LiveRecords {
  /** Applies records that the control instance sent; they are live until it reports them as late. */
  addRecords (list: readonly records.Record[]): void
  applyChanges (changes: LivenessChanges): void
  /** Notes in the table, at a tick of the control instance, that the live records were heard. */
  refresh (table: recordTables.RecordTable, now: number): void
}

/**
 * Creates the set.
 * @param list the records that the control instance sent
 * @param late ids of those that are late
 */
export function createLiveRecords (list: readonly records.Record[], late: readonly string[]): LiveRecords {
  const live = new Set<string>()
  const addRecords = (added: readonly records.Record[]): void => {
    for (const item of added) {
      if (item.state === 'gone') live.delete(item.id)
      else live.add(item.id)
    }
  }
  addRecords(list)
  for (const id of late) live.delete(id)
  return {
    addRecords,
    applyChanges (changes) {
      for (const id of changes.late) live.delete(id)
      for (const [id] of changes.revived) live.add(id)
    },
    refresh (table, now) {
      // A live record may have been silent for up to this time.
      for (const id of live) table.noteSeen(id, now - messages.LATE_AFTER_MS)
    }
  }
}
