/**
 * Time of the start as it is announced. Of two starts of an instance the later one counts; after a step of the clock, the time of this start
 * may lie before that of the previous one, and nobody would use the records of this one until those of the previous one expire.
 */
import type * as discovery from '@kingcupdeck/discovery'
import type * as telemetry from '@kingcupdeck/telemetry'

/** Time after the start within which an instance learns of its previous one; a later start belongs to a process that replaces this one. */
const LEARNING_MS = 30_000

/** Options of {@link createStartTime}. */
export interface StartTimeOptions {
  /** Time of this start by the local clock, Unix milliseconds. */
  startedAt: number
  /** Returns the record of this instance that is known to others. */
  known: () => discovery.Record | undefined
  log: telemetry.Log
  now: () => number
}

/** Time of a start. */
export interface StartTime {
  /** Returns the time to announce, Unix milliseconds. */
  get (): number
  /** Moves the time behind that of a previous start, if one is known. @returns whether it was moved: the record must be announced again */
  update (): boolean
}

/** Creates the time of a start that has just happened. */
export function createStartTime (opts: StartTimeOptions): StartTime {
  const createdAt = opts.now()
  let { startedAt } = opts
  return {
    get: () => startedAt,
    update () {
      const previous = opts.known()?.startedAt ?? -Infinity
      if (previous <= startedAt || opts.now() - createdAt > LEARNING_MS) return false
      opts.log.event('clockBehind', { startedAt, previous })
      startedAt = previous + 1
      return true
    }
  }
}
