/** Counts refused input by its kind, and logs the kinds at a bounded rate. */
import type * as contracts from '@kingcupdeck/contracts'
import * as telemetry from '@kingcupdeck/telemetry'

/** Refused input of a process. */
export interface Refusals {
  /**
   * Counts refused input. The first of a kind is logged, later ones at most once per {@link REFUSAL_LOG_INTERVAL_MS} with their number.
   * @param kind a constant, so that the number of kinds is bounded
   * @param fields what was refused and why; long texts are cut
   * @param count number of refused items
   */
  note (event: contracts.EventName, kind: string, fields: telemetry.Fields, count?: number): void
  /** Returns the number of refused items by kind. */
  counts (): ReadonlyMap<string, number>
}

/** Minimum time between two log lines of a kind, milliseconds. */
export const REFUSAL_LOG_INTERVAL_MS = 60_000
/** The longest text of a field, characters. */
const MAX_FIELD_LENGTH = 200

interface KindState { count: number, loggedCount: number, toUnlogged: () => number | undefined }

/** Creates the counts; nothing was refused yet. */
export function createRefusals (log: telemetry.Log, now: () => number = () => performance.now()): Refusals {
  const stateByKind = new Map<string, KindState>()
  return {
    note (event, kind, fields, count = 1) {
      const state = stateByKind.get(kind) ?? { count: 0, loggedCount: 0, toUnlogged: telemetry.createLineLimit(REFUSAL_LOG_INTERVAL_MS, now) }
      stateByKind.set(kind, state)
      state.count += count
      if (state.toUnlogged() === undefined) return
      log.event(event, { kind, count: state.count - state.loggedCount, ...toShort(fields) })
      state.loggedCount = state.count
    },
    counts: () => new Map([...stateByKind].map(([kind, { count }]) => [kind, count]))
  }
}

function toShort (fields: telemetry.Fields): telemetry.Fields {
  return Object.fromEntries(Object.entries(fields).map(([key, value]) => [key, typeof value === 'string' ? value.slice(0, MAX_FIELD_LENGTH) : value]))
}
