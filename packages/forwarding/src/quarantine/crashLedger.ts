/** Crashes that count against suspects, and what refutes them: a completed run, or a response of the endpoint under the same start. */
import * as recentMaps from './recentMap.js'
import * as suspectKeys from './suspectKey.js'
import type * as suspectLogs from './suspectLog.js'
import * as suspectTables from './suspectTable.js'

/** Where a crash or a refutation was seen: here, or at another instance. */
export const SELF = 'self'

/** A suspect that was cleared, and the endpoints whose crashes no longer count against it. */
export interface Cleared { key: string, crashed: string[] }

/** Crashes that count against suspects. */
export interface CrashLedger {
  /** Returns whether a suspect has completed a run before. */
  hasSucceeded (key: string): boolean
  /**
   * Adds a crash.
   * @param tried those of the suspects that were sent as a trial
   * @returns the suspects for which the crash was not known
   */
  add (keys: readonly string[], tried: readonly string[], crash: Omit<suspectTables.KnownCrash, 'isCleared' | 'isTrial'>, from: string): string[]
  /**
   * Takes back the crashes of an endpoint that has responded under the same start: it stalled, or the path to it was lost.
   * @param at when it was up, on the monotonic clock
   * @param why what it responded, for the log
   * @returns the suspects that were lost at it
   */
  retract (endpoint: string, at: number, from: string, why?: string): string[]
  /** Counts crashes of an endpoint again, although it has responded: the response came from a later start. */
  forgetResponse (endpoint: string): void
  /** Returns up to when the crashes of a suspect are refuted by its completed runs, on the monotonic clock; -Infinity without one. */
  refutedUntil (key: string): number
  /** Returns whether a crash does not count against a suspect, because it has completed a run since then. */
  isRefuted (key: string, endpoint: string, at: number): boolean
  /** Records a run that was completed here. */
  complete (keys: readonly string[], startedAt: number, now: number): Cleared[]
  /**
   * Records that another instance has cleared suspects.
   * @param crashed the crashes that it cleared; empty in reports of earlier versions, which do not name them
   * @param at when they were cleared, on the monotonic clock
   */
  clear (keys: readonly string[], crashed: readonly string[], at: number, from: string): Cleared[]
  /** Forgets what is too old to matter. */
  prune (now: number): void
}

/** Options of {@link createCrashLedger}. */
export interface CrashLedgerOptions {
  suspects: suspectTables.SuspectTable
  log: suspectLogs.SuspectLog
}

/** Time for which suspicions are kept after the last crash, and the same for a suspect that is sent only as a trial. */
const RETENTION_MS = 600_000
const QUARANTINE_RETENTION_MS = 86_400_000
/** Recent requests and parts of which it is known that they have succeeded. */
const MIN_COMPLETIONS = 10_000
/** Latest crashes of a part of which it is remembered that they were cleared. */
const MAX_CLEARED_CRASHES = 60

/** Creates an empty ledger. */
export function createCrashLedger ({ suspects, log }: CrashLedgerOptions): CrashLedger {
  /** Up to when crashes of a suspect are refuted by its completed runs, by key. */
  const completions = recentMaps.createRecentMap<number>(MIN_COMPLETIONS)
  /** Crashes of parts that other instances have cleared: what they report of a crash may arrive after that. */
  const clearedCrashes = recentMaps.createRecentMap<ReadonlySet<string>>(MIN_COMPLETIONS)
  /** When endpoints that were taken for crashed have responded; earlier crashes of them do not count. */
  const respondedAt = new Map<string, number>()

  const recordCompletion = (key: string, refutedUntil: number): void => {
    completions.set(key, Math.max(completions.get(key) ?? -Infinity, refutedUntil))
  }

  const isRefuted = (key: string, endpoint: string, at: number): boolean => {
    return at < (completions.get(key) ?? -Infinity) || clearedCrashes.get(key)?.has(endpoint) === true
  }

  const clear = (keys: readonly string[], isRefuted: (key: string, crash: suspectTables.KnownCrash) => boolean, from: string): Cleared[] => {
    const cleared = keys.flatMap(key => {
      const suspect = suspects.get(key)
      const crashes = suspect === undefined ? [] : suspectTables.toOpenCrashes(suspect).filter(crash => isRefuted(key, crash))
      if (suspect === undefined || crashes.length === 0) return []
      for (const crash of crashes) crash.isCleared = true
      if (!suspectTables.isConclusive(suspect)) {
        suspect.trials = []
        suspect.isQuarantined = false
      }
      return [{ key, crashed: crashes.map(({ endpoint }) => endpoint) }]
    })
    log.cleared(cleared, from)
    return cleared
  }

  return {
    hasSucceeded: key => completions.has(key) || suspects.get(key)?.hasSucceeded === true,
    add (keys, tried, crash, from) {
      const { endpoint, at } = crash
      if (at <= (respondedAt.get(endpoint) ?? -Infinity)) return []
      const added = keys.flatMap(key => {
        // What was lost before a completed run is cleared, also if its endpoint goes down only now.
        if (isRefuted(key, endpoint, at)) return []
        const suspect = suspects.add(key, { ...crash, isTrial: tried.includes(key) })
        return suspect === undefined ? [] : [{ key, crashes: suspectTables.countOpenCrashes(suspect) }]
      })
      log.suspected(added, endpoint, from, from === SELF)
      return added.map(({ key }) => key)
    },
    retract (endpoint, at, from, why) {
      // A response that was under way when this instance learned of the crash does not excuse the endpoint.
      const retracted = suspects.retract(endpoint, crash => (from === SELF ? crash.knownAt : crash.at) < at)
      if (retracted.length === 0 && from === SELF) return retracted
      respondedAt.set(endpoint, Math.max(at, respondedAt.get(endpoint) ?? -Infinity))
      for (const key of retracted) {
        const suspect = suspects.get(key)
        if (suspect !== undefined) suspect.isQuarantined = false
      }
      if (retracted.length > 0) log.retracted(endpoint, retracted.length, from, why)
      return retracted
    },
    forgetResponse (endpoint) { respondedAt.delete(endpoint) },
    refutedUntil: key => completions.get(key) ?? -Infinity,
    isRefuted,
    complete (keys, startedAt, now) {
      for (const key of keys) recordCompletion(key, toRefutedUntil(key, startedAt, now))
      if (suspects.size() === 0) return []
      return clear(keys, (key, crash) => crash.at <= toRefutedUntil(key, startedAt, now), SELF)
    },
    clear (keys, crashed, at, from) {
      for (const key of keys) {
        recordCompletion(key, toRefutedUntil(key, -Infinity, at))
        if (suspectKeys.isPartKey(key) && crashed.length > 0) clearedCrashes.set(key, new Set([...clearedCrashes.get(key) ?? [], ...crashed].slice(-MAX_CLEARED_CRASHES)))
      }
      return clear(keys, (key, crash) => crashed.includes(crash.endpoint) || (suspectKeys.isPartKey(key) ? crashed.length === 0 : crash.at <= at), from)
    },
    prune (now) {
      for (const [endpoint, at] of respondedAt) if (now - at > RETENTION_MS) respondedAt.delete(endpoint)
      for (const [key, suspect] of suspects.entries()) {
        if (now - suspect.lastCrashAt > (suspectTables.isConclusive(suspect) ? QUARANTINE_RETENTION_MS : RETENTION_MS)) suspects.delete(key)
      }
    }
  }
}

/**
 * Returns up to when crashes are refuted by a completed run. A request that completes a run crashes nothing; a part may have turned bad
 * during the run.
 */
function toRefutedUntil (key: string, startedAt: number, endedAt: number): number {
  return suspectKeys.isPartKey(key) ? startedAt : endedAt
}
