/** Reports of an instance about its suspects. */
import type * as crashEvidences from './crashEvidence.js'
import * as crashReports from './crashReport.js'
import type * as suspectEvidences from './suspectEvidence.js'
import * as suspectTables from './suspectTable.js'

/** Options of {@link createSuspectReports}. */
export interface SuspectReportOptions {
  suspects: suspectTables.SuspectTable
  evidence: Pick<suspectEvidences.SuspectEvidence, 'hasOwnSurvivors'>
  /** Returns whether a suspect has completed a run before. */
  hasSucceeded: (key: string) => boolean
  /** Returns up to when the crashes of a suspect are refuted, on the monotonic clock. */
  refutedUntil: (key: string) => number
}

/** Builds reports. */
export interface SuspectReports {
  /** Returns reports of a crash at which several suspects were in flight. */
  ofCrash (keys: readonly string[], crash: crashEvidences.Crash, now: number, tried: readonly string[]): crashReports.CrashReport[]
  /** Returns reports of all crashes of a suspect that count. */
  ofSuspect (key: string, now: number): crashReports.CrashReport[]
  /** Returns a report that runs of this instance speak for a suspect. */
  ofSurvivors (key: string): crashReports.CrashReport
  /** Returns a report that crashes do not count against a suspect. */
  ofRefuted (key: string, crashed: readonly string[], now: number): crashReports.CrashReport
  /** Returns reports of the suspects with most crashes. */
  ofMostSuspected (now: number): crashReports.CrashReport[]
}

const MAX_REPORTED_SUSPECTS = 30

/** Returns the age of a time on the monotonic clock in milliseconds, 0 if there is none. */
function toAgeMs (at: number, now: number): number {
  return Number.isFinite(at) ? Math.max(0, Math.round(now - at)) : 0
}

/** Creates a builder of reports. */
export function createSuspectReports ({ suspects, evidence, hasSucceeded, refutedUntil }: SuspectReportOptions): SuspectReports {
  const ofCrash: SuspectReports['ofCrash'] = (keys, { endpoint, at, startedAt, lateMs = 0 }, now, tried) => {
    const fields = { crashed: [endpoint], agoMs: Math.max(0, Math.round(now - at)), ranMs: Math.max(0, Math.round(at - startedAt)), lateMs: Math.round(lateMs) }
    // Suspects that were in the same run are told together, as far as the same holds for them.
    const groups = new Map<string, string[]>()
    for (const key of keys) {
      const group = `${hasSucceeded(key)} ${tried.includes(key)}`
      groups.set(group, [...groups.get(group) ?? [], key])
    }
    return [...groups.values()].flatMap(group => crashReports.toSharedReports(group, { ...fields, hasSucceeded: hasSucceeded(group[0]), isTrial: tried.includes(group[0]) }))
  }

  const ofSuspect = (key: string, now: number): crashReports.CrashReport[] => {
    const suspect = suspects.get(key)
    return suspect === undefined ? [] : suspectTables.toOpenCrashes(suspect).flatMap(crash => ofCrash([key], crash, now, crash.isTrial ? [key] : []))
  }

  const ofSurvivors = (key: string): crashReports.CrashReport => crashReports.toCrashReport(key, { hasSucceeded: hasSucceeded(key), hasSurvivors: true })

  return {
    ofCrash,
    ofSuspect,
    ofSurvivors,
    ofRefuted: (key, crashed, now) => crashReports.toCrashReport(key, { crashed: [...crashed], isCleared: true, hasSucceeded: true, agoMs: toAgeMs(refutedUntil(key), now) }),
    ofMostSuspected: now => suspects.entries()
      .filter(([, suspect]) => suspectTables.isNearQuarantine(suspect))
      .sort(([, a], [, b]) => suspectTables.countOpenCrashes(b) - suspectTables.countOpenCrashes(a))
      .slice(0, MAX_REPORTED_SUSPECTS)
      .flatMap(([key, suspect]) => evidence.hasOwnSurvivors(key, suspect, now) ? [...ofSuspect(key, now), ofSurvivors(key)] : ofSuspect(key, now))
  }
}
