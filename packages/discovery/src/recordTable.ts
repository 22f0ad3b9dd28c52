/** All records that a process knows, merged so that the order in which news arrives does not matter. */
import * as records from './records.js'

/** What a merge did: the record says something new, only that its process lives, or is older than what is known. */
export type MergeResult = 'changed' | 'refreshed' | 'stale'

/** A record with the last sign of life of its process. */
export interface KnownRecord<T extends records.Record = records.Record> {
  record: T
  /** When the process was last heard of, on this process's steady clock. */
  lastSeenAt: number
  /** Number of the latest announcement that was heard of, which may be newer than the one the record is from. */
  lastSeenSeq: number
}

/** The records that a process knows. */
export interface RecordTable {
  /** Takes a record. */
  merge (record: records.Record, now: number): MergeResult
  /** Takes a sign of life. @returns whether it was news */
  applyHeartbeat (sign: records.Heartbeat, now: number): boolean
  get (id: string): KnownRecord | undefined
  endpoints (): Array<KnownRecord<records.EndpointRecord>>
  entries (): Array<KnownRecord<records.EntryRecord>>
  /** @returns every record, also of processes that are gone */
  all (): records.Record[]
  /** Forgets records that were not heard of for long. */
  prune (now: number): void
}

/** Records of processes that are gone or silent are kept this long, so that late announcements are known to be late. */
const RETENTION_MS = 120_000

/**
 * Creates an empty table.
 * @returns the table
 */
export function createRecordTable (): RecordTable {
  const known = new Map<string, KnownRecord>()

  const merge = (record: records.Record, now: number): MergeResult => {
    const held = known.get(record.id)
    if (held === undefined) {
      known.set(record.id, { record, lastSeenAt: now, lastSeenSeq: record.seq })
      return 'changed'
    }
    if (record.startedAt < held.record.startedAt) return 'stale'
    const isSameStart = record.startedAt === held.record.startedAt
    // Guards against an endpoint that goes on getting work after it said that it is gone. In one incarnation a state never
    // goes back, so the later state is the newer one whatever the numbers say: a farewell has no number of its own, and the
    // instance that takes it may have heard fewer announcements than the others.
    if (isSameStart && isLater(held.record.state, record.state)) return 'stale'
    const isFurther = isSameStart && isLater(record.state, held.record.state)
    if (isSameStart && !isFurther && record.seq <= held.record.seq) return 'stale'
    const isSame = isSameStart && isSameContent(record, held.record)
    held.record = record
    held.lastSeenAt = now
    held.lastSeenSeq = isSameStart ? Math.max(held.lastSeenSeq, record.seq) : record.seq
    return isSame ? 'refreshed' : 'changed'
  }

  return {
    merge,
    applyHeartbeat ([id, startedAt, seq], now) {
      const held = known.get(id)
      if (held === undefined || held.record.startedAt !== startedAt || seq <= held.lastSeenSeq) return false
      // Guards against an endpoint that stays "ready" for good: a sign tells that an announcement was made, not what it said.
      // Were the record taken for as new as the sign, the announcement that says "leaving" would be held to be an old one.
      held.lastSeenSeq = seq
      held.lastSeenAt = now
      return true
    },
    get: id => known.get(id),
    endpoints: () => [...known.values()].filter((item): item is KnownRecord<records.EndpointRecord> => item.record.kind === 'endpoint'),
    entries: () => [...known.values()].filter((item): item is KnownRecord<records.EntryRecord> => item.record.kind === 'entry'),
    all: () => [...known.values()].map(item => item.record),
    prune (now) {
      for (const [id, item] of known) {
        if (now - item.lastSeenAt > RETENTION_MS) known.delete(id)
      }
    }
  }
}

const ORDER: { [state in records.RecordState]: number } = { starting: 0, ready: 1, leaving: 2, gone: 3 }

function isLater (held: records.RecordState, said: records.RecordState): boolean {
  return ORDER[held] > ORDER[said]
}

function isSameContent (left: records.Record, right: records.Record): boolean {
  return toContent(left) === toContent(right)
}

function toContent (record: records.Record): string {
  switch (record.kind) {
    case 'endpoint': return [record.state, record.service, record.address, record.zone, record.slots, record.coldMs > 0].join(' ')
    case 'entry': return [record.state, record.front, record.inner, record.zone, record.region].join(' ')
  }
}
