/**
 * Endpoints at whose address a later start was announced. Mostly they have ended, and at most a delayed heartbeat of them still
 * arrives. One that goes on being heard runs, and the later start was announced in error.
 */
import * as discovery from '@kingcupdeck/discovery'

/** Options of {@link createSupersededEndpoints}. */
export interface SupersededEndpointsOptions {
  table: discovery.RecordTable
  /** Returns a check of ids: whether an endpoint is silent for too long to be used. */
  createUnresponsiveCheck: () => (id: string) => boolean
  /** Returns milliseconds on the monotonic clock. */
  now: () => number
}

/** The superseded endpoints. */
export interface SupersededEndpoints {
  add (record: discovery.EndpointRecord): void
  /** Returns whether a record is of a superseded start; forgets the one with its id if it is of another start, or of its end. */
  has (record: discovery.EndpointRecord): boolean
  /** Removes and returns those that went on being heard. */
  takeHeard (): Array<discovery.KnownRecord<discovery.EndpointRecord>>
  /** Like {@link SupersededEndpoints.takeHeard}, but examines them only at intervals. */
  takeHeardAtInterval (): Array<discovery.KnownRecord<discovery.EndpointRecord>>
}

/** A heartbeat that was delayed, and the ticks that repeat it, end this long after the later start. */
const HEARD_ON_MS = discovery.LATE_AFTER_MS + discovery.TICK_INTERVAL_MS
/** Requests cause an examination at most this often. */
const EXAMINE_INTERVAL_MS = 500

/** Creates an empty set. */
export function createSupersededEndpoints ({ table, createUnresponsiveCheck, now }: SupersededEndpointsOptions): SupersededEndpoints {
  const supersededById = new Map<string, { record: discovery.EndpointRecord, since: number }>()
  let examinedAt = -Infinity

  const takeHeard = (): Array<discovery.KnownRecord<discovery.EndpointRecord>> => {
    examinedAt = now()
    const heard: Array<discovery.KnownRecord<discovery.EndpointRecord>> = []
    const isUnresponsive = createUnresponsiveCheck()
    for (const [id, superseded] of supersededById) {
      const known = table.get(id)
      if (known === undefined || !isSameStart(known.record, superseded.record)) {
        supersededById.delete(id)
      } else if (isUnresponsive(id)) {
        // A heartbeat after a silence is a delayed one until others follow.
        superseded.since = examinedAt
      } else if (known.lastSeenAt - superseded.since > HEARD_ON_MS) {
        supersededById.delete(id)
        heard.push({ ...known, record: known.record })
      }
    }
    return heard
  }

  return {
    add (record) { supersededById.set(record.id, { record, since: now() }) },
    has (record) {
      const superseded = supersededById.get(record.id)
      if (superseded === undefined) return false
      if (isSameStart(record, superseded.record)) return true
      supersededById.delete(superseded.record.id)
      return false
    },
    takeHeard,
    takeHeardAtInterval: () => supersededById.size === 0 || now() - examinedAt < EXAMINE_INTERVAL_MS ? [] : takeHeard()
  }
}

function isSameStart (record: discovery.Record, start: discovery.EndpointRecord): record is discovery.EndpointRecord {
  return record.kind === 'endpoint' && record.state !== 'gone' && record.startedAt === start.startedAt && record.address === start.address
}
