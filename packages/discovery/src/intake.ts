/** Checks of what other instances and files send, item by item: what does not match is dropped, counted and logged. */
import type * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as messages from './messages.js'
import * as recordBounds from './recordBounds.js'
import * as records from './records.js'
import type * as recordTables from './recordTable.js'
import type * as refusals from './refusals.js'

/** Checks received lists; `from` names the sender for the log. */
export interface Intake {
  records (list: unknown, from: string): records.Record[]
  /**
   * Unpacks and checks records; bytes that cannot be unpacked count as one refused item.
   * @param table its records stand in for those that hold nothing newer, which need no check: most records of a fleet are known
   */
  packedRecords (bytes: Uint8Array | null, from: string, table: Pick<recordTables.RecordTable, 'findKnown'>): records.Record[]
  heartbeats (list: unknown, from: string): records.Heartbeat[]
  ids (list: unknown, from: string): string[]
  addresses (list: unknown, from: string): string[]
}

/** Creates the checks. */
export function createIntake (refused: refusals.Refusals, unixNow: recordBounds.UnixClock = recordBounds.createUnixClock()): Intake {
  const readEach = <T>(kind: string, schema: z.ZodType<T>, list: unknown, from: string): T[] => {
    const parsed = contracts.input.parseEach(schema, list)
    if (parsed.refused > 0) refused.note('recordsRefused', kind, { from, why: parsed.why }, parsed.refused)
    return parsed.accepted
  }

  const isPlausible = (kind: string, announced: recordBounds.Announced, id: string, from: string): boolean => {
    const field = recordBounds.findImplausible(announced, unixNow(), recordBounds.MAX_RELAYED_AHEAD_MS)
    if (field !== undefined) refused.note('recordsRefused', `${kind}.${field}`, { from, id, startedAt: announced.startedAt, seq: announced.seq })
    return field === undefined
  }

  const intake: Intake = {
    records: (list, from) => readEach('record', records.record, list, from).filter(item => isPlausible('record', item, item.id, from)),
    packedRecords (bytes, from, table) {
      if (bytes === null) return []
      let list: unknown
      try {
        list = messages.unpackRecords(bytes)
      } catch (err) {
        refused.note('recordsRefused', 'records.packed', { from, why: err instanceof Error ? err.message : String(err) })
        return []
      }
      if (!Array.isArray(list)) return intake.records(list, from)
      const known: records.Record[] = []
      const others = list.filter(item => {
        const found = table.findKnown(item)
        if (found !== undefined) known.push(found)
        return found === undefined
      })
      return [...known, ...intake.records(others, from)]
    },
    heartbeats: (list, from) => readEach('heartbeat', records.heartbeat, list, from).filter(([id, startedAt, seq]) => isPlausible('heartbeat', { startedAt, seq }, id, from)),
    ids: (list, from) => readEach('id', contracts.input.name, list, from),
    addresses: (list, from) => readEach('address', contracts.input.address, list, from)
  }
  return intake
}
