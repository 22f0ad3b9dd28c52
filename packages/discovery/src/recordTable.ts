/** Records of endpoints and entry instances, merged so that the result does not depend on the order of arrival. */
import * as records from './records.js'

/**
 * Result of a merge: the content changed, only the heartbeat advanced, the record was older than the known one but supplemented it,
 * it was older, or it was of an unknown process and the table is full.
 */
export type MergeResult = 'changed' | 'refreshed' | 'supplemented' | 'stale' | 'full'

/** A record with the last heartbeat of its process. */
export interface KnownRecord<T extends records.Record = records.Record> {
  record: T
  /** Time of the last announcement or heartbeat, on the local monotonic clock. */
  lastSeenAt: number
  /** Number of the latest known announcement, which may be newer than `record`. */
  lastSeenSeq: number
  /** Latest heartbeat below `lastSeenSeq`. */
  low?: { seq: number, at: number }
  /** End of the announced warm-up of an endpoint on the local monotonic clock, 0 without one. */
  coldUntil: number
}

/** The records known to a process. */
export interface RecordTable {
  /** The record may be supplemented: {@link RecordTable.get} returns the result. An endpoint never replaces an entry instance of the same id. */
  merge (record: records.Record, now: number): MergeResult
  /** Returns the known record if an unchecked one is of an endpoint and holds nothing newer. */
  findKnown (candidate: unknown): records.EndpointRecord | undefined
  /**
   * Applies a heartbeat.
   * @returns whether its process is alive: it was newer than the last one, or the process goes on counting below a number that was not its own
   */
  applyHeartbeat (heartbeat: records.Heartbeat, now: number): boolean
  /** Notes that the process of a record was heard at a time, without the number of its announcement. */
  noteSeen (id: string, at: number): void
  get (id: string): KnownRecord | undefined
  endpoints (): Array<KnownRecord<records.EndpointRecord>>
  entries (): Array<KnownRecord<records.EntryRecord>>
  /** Returns all records, including those in state `gone`. */
  all (): records.Record[]
  /** Removes records whose retention period is over. */
  prune (now: number): void
}

/** How long records are retained after the last heartbeat, so that delayed announcements are recognized as stale. */
const RETENTION_MS = 120_000
/** A warm-up that ends this much later than announced before is a new one, not a delayed announcement. */
const COLD_AGAIN_MS = 500

/**
 * Records of a table: more than twice the endpoints and entry instances of the fleet to design for, since after an update of all of
 * them those that are gone are retained.
 */
export const MAX_RECORDS = 32_768
/** Bytes of the names of a record above which it counts as one with long names, several times those of a proper one. */
const LONG_NAME_BYTES = 192
/** Bytes of the names of records with long names: the rest is for the others, and holds the same fleet. */
const MAX_LONG_NAME_BYTES = 4 * 1024 * 1024
/** Bytes of the names of a table. All records must fit into one message. */
const MAX_NAME_BYTES = 6.5 * 1024 * 1024
/** A full table makes room for a part of its records at once, since it examines all of them. */
const ROOM_RATIO = 1 / 64
/** A process that was not heard for this long receives no requests, and may leave a full table. */
const MIN_SILENCE_MS = 30_000
/** Time between two attempts to make room in a full table. */
const MAKE_ROOM_INTERVAL_MS = 1000

/** Heartbeats of a process that arrive closer together may have been delayed, and say nothing about it now. */
const MIN_HEARTBEAT_INTERVAL_MS = 200
/** Heartbeats of a process that goes on counting are at most this far apart. */
const MAX_HEARTBEAT_INTERVAL_MS = 5000

/** Returns whether a merge changed the content of the known record. */
export function isContentChanged (result: MergeResult): boolean {
  return result === 'changed' || result === 'supplemented'
}

/** Returns a merged record as it is known now, which may hold more. */
export function toKnownRecord (table: RecordTable, record: records.Record): records.Record {
  return table.get(record.id)?.record ?? record
}

/**
 * Creates an empty table.
 * @param maxRecords number of records from which on unknown processes are refused
 */
export function createRecordTable (maxRecords = MAX_RECORDS): RecordTable {
  const knownById = new Map<string, KnownRecord>()
  let nameBytes = 0
  let longNameBytes = 0
  let madeRoomAt = -Infinity

  const isFullForAll = (): boolean => knownById.size >= maxRecords || nameBytes >= MAX_NAME_BYTES
  const isFull = (added: records.Record): boolean => isFullForAll() || (toLongNameBytes(added) > 0 && longNameBytes >= MAX_LONG_NAME_BYTES)

  const count = (added: records.Record | undefined, removed: records.Record | undefined): void => {
    nameBytes += toNameBytes(added) - toNameBytes(removed)
    longNameBytes += toLongNameBytes(added) - toLongNameBytes(removed)
  }

  const remove = (id: string): void => {
    const known = knownById.get(id)
    if (known !== undefined && knownById.delete(id)) count(undefined, known.record)
  }

  /** Removes records of processes that ended, then of silent ones, the longest silent first. @returns whether there is room */
  const makeRoom = (added: records.Record, now: number): boolean => {
    // Entry instances are few, and announced by themselves only.
    if (added.kind === 'entry' || !isFull(added)) return true
    if (now - madeRoomAt < MAKE_ROOM_INTERVAL_MS) return false
    madeRoomAt = now
    const isFullOfLong = !isFullForAll()
    const removable = [...knownById]
      .filter(([, { record }]) => !isFullOfLong || toLongNameBytes(record) > 0)
      .map(([id, { record, lastSeenAt }]) => ({ id, isGone: record.state === 'gone', silentMs: now - lastSeenAt }))
      .filter(item => item.isGone || item.silentMs > MIN_SILENCE_MS)
      .sort((a, b) => Number(b.isGone) - Number(a.isGone) || b.silentMs - a.silentMs)
    for (const { id } of removable.slice(0, Math.ceil(maxRecords * ROOM_RATIO))) remove(id)
    return !isFull(added)
  }

  const mergeStale = (known: KnownRecord, record: records.Record): MergeResult => {
    const supplemented = inherit(known.record, record)
    if (supplemented === known.record) return 'stale'
    known.record = supplemented
    return 'supplemented'
  }

  const merge = (received: records.Record, now: number): MergeResult => {
    const known = knownById.get(received.id)
    const record = known === undefined ? received : inherit(received, known.record)
    if (known === undefined) {
      if (!makeRoom(record, now)) return 'full'
      count(record, undefined)
      knownById.set(record.id, { record, lastSeenAt: now, lastSeenSeq: record.seq, coldUntil: toColdUntil(record, now) })
      return 'changed'
    }
    if (record.kind !== known.record.kind) {
      if (record.kind === 'endpoint') return 'stale'
      remove(record.id)
      return merge(record, now)
    }
    if (record.startedAt < known.record.startedAt) return mergeStale(known, record)
    const isSameIncarnation = record.startedAt === known.record.startedAt
    // The state takes precedence over `seq`: within an incarnation it only advances, and the control instance that assigns
    // the `seq` of a "gone" record may have received fewer announcements than others.
    if (isSameIncarnation && isLater(known.record.state, record.state)) return mergeStale(known, record)
    const isAdvanced = isSameIncarnation && isLater(record.state, known.record.state)
    if (isSameIncarnation && !isAdvanced && record.seq <= known.record.seq) return mergeStale(known, record)
    if (toNameBytes(record) > toNameBytes(known.record) && !makeRoom(record, now)) return 'full'
    count(record, known.record)
    const coldUntil = toColdUntil(record, now)
    const isColdAgain = coldUntil > known.coldUntil + COLD_AGAIN_MS
    const isUnchanged = isSameIncarnation && !isColdAgain && toContent(record) === toContent(known.record)
    known.record = record
    known.coldUntil = coldUntil
    known.lastSeenAt = now
    known.lastSeenSeq = isSameIncarnation ? Math.max(known.lastSeenSeq, record.seq) : record.seq
    return isUnchanged ? 'refreshed' : 'changed'
  }

  /** The known number may be another writer's; a delayed heartbeat is followed by none that is a heartbeat's interval later and higher. */
  const noteLow = (known: KnownRecord, seq: number, now: number): boolean => {
    const { low } = known
    if (seq === known.lastSeenSeq) return false
    const isOverdue = low === undefined || now - low.at > MAX_HEARTBEAT_INTERVAL_MS
    if (!isOverdue && seq <= low.seq) return false
    known.low = { seq, at: now }
    if (isOverdue || now - low.at < MIN_HEARTBEAT_INTERVAL_MS) return false
    known.lastSeenAt = now
    return true
  }

  return {
    merge,
    findKnown (candidate) {
      const { id, startedAt, seq, state } = (candidate ?? {}) as { [key in 'id' | 'startedAt' | 'seq' | 'state']?: unknown }
      const known = typeof id === 'string' ? knownById.get(id)?.record : undefined
      if (known?.kind !== 'endpoint' || known.startedAt !== startedAt || known.state !== state) return undefined
      return typeof seq === 'number' && seq <= known.seq ? known : undefined
    },
    applyHeartbeat ([id, startedAt, seq], now) {
      const known = knownById.get(id)
      if (known === undefined || known.record.startedAt !== startedAt) return false
      if (seq <= known.lastSeenSeq) return noteLow(known, seq, now)
      // `record.seq` stays: a heartbeat carries no content, so an announcement with a lower number may still hold a change
      // that was not received yet, such as "leaving".
      known.lastSeenSeq = seq
      known.lastSeenAt = now
      return true
    },
    noteSeen (id, at) {
      const known = knownById.get(id)
      if (known !== undefined && at > known.lastSeenAt) known.lastSeenAt = at
    },
    get: id => knownById.get(id),
    endpoints: () => [...knownById.values()].filter((item): item is KnownRecord<records.EndpointRecord> => item.record.kind === 'endpoint'),
    entries: () => [...knownById.values()].filter((item): item is KnownRecord<records.EntryRecord> => item.record.kind === 'entry'),
    all: () => [...knownById.values()].map(item => item.record),
    prune (now) {
      for (const [id, item] of knownById) {
        if (now - item.lastSeenAt > RETENTION_MS) remove(id)
      }
    }
  }
}

const STATE_ORDER: { [state in records.RecordState]: number } = { starting: 0, ready: 1, leaving: 2, gone: 3 }

function isLater (left: records.RecordState, right: records.RecordState): boolean {
  return STATE_ORDER[left] > STATE_ORDER[right]
}

/**
 * Adds to the record of an entry instance what earlier starts of it had announced as quarantined, while it has announced none itself.
 * @returns the same record if that is nothing
 */
function inherit (record: records.Record, other: records.Record): records.Record {
  if (record.kind !== 'entry' || other.kind !== 'entry' || record.quarantined !== undefined) return record
  const announced = other.startedAt < record.startedAt ? other.quarantined ?? [] : []
  const offered = [...announced, ...other.inherited ?? []]
  if (offered.length === 0) return record
  const requests = new Map((record.inherited ?? []).map(item => [item.fingerprint, item]))
  const knownCount = requests.size
  for (const item of offered) if (!requests.has(item.fingerprint)) requests.set(item.fingerprint, item)
  return requests.size === knownCount ? record : { ...record, inherited: [...requests.values()] }
}

/** Returns the bytes of the names of a record with long ones, otherwise 0. */
function toLongNameBytes (record: records.Record | undefined): number {
  const bytes = toNameBytes(record)
  return bytes > LONG_NAME_BYTES ? bytes : 0
}

function toNameBytes (record: records.Record | undefined): number {
  switch (record?.kind) {
    case undefined: return 0
    case 'endpoint': return Buffer.byteLength(record.id) + Buffer.byteLength(record.zone) + Buffer.byteLength(record.service)
    case 'entry': return Buffer.byteLength(record.id)
  }
}

function toColdUntil (record: records.Record, now: number): number {
  return record.kind === 'endpoint' && record.coldMs > 0 ? now + record.coldMs : 0
}

function toContent (record: records.Record): string {
  switch (record.kind) {
    case 'endpoint': return [record.state, record.service, record.address, record.zone, record.slots, record.coldMs > 0].join(' ')
    case 'entry': return [record.state, record.front, record.inner, record.zone, record.region, record.isImpaired === true, record.quarantined === undefined, ...[...record.quarantined ?? [], ...record.inherited ?? []].map(item => item.fingerprint).sort()].join(' ')
  }
}
