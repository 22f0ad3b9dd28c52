/**
 * Quarantine of requests that crash endpoints. Instances exchange the crashes at which requests were in flight, so that a request is
 * rejected at all of them once the evidence suffices; see crashEvidence.ts. A completed run at any instance clears the request.
 */
import type * as discovery from '@kingcupdeck/discovery'
import type * as telemetry from '@kingcupdeck/telemetry'
import * as crashEvidences from './crashEvidence.js'
import * as crashReports from './crashReport.js'
import * as runTrackers from './runTracker.js'
import * as suspectEvidences from './suspectEvidence.js'
import * as suspectTables from './suspectTable.js'

/** Why a quarantined request is rejected. */
export const QUARANTINED_WHY = 'this request crashed the endpoints that ran it'

/** Requests that are suspected of crashing endpoints. */
export interface CrashQuarantine extends Pick<runTrackers.RunTracker, 'startRun' | 'confirmDown' | 'excuse'> {
  /**
   * Records that an endpoint responded.
   * @param sentAt when the request that it responded to was sent
   * @param response status of the response, for the log
   */
  confirmUp (endpoint: string, sentAt: number, now: number, response?: string): void
  /** Merges the reports of another instance. @returns those that were not known */
  merge (reports: readonly crashReports.CrashReport[], now: number, from: string): crashReports.CrashReport[]
  /** Returns whether one more crash may quarantine the request. */
  isSuspected (fingerprint: string): boolean
  /** Decides what may be done with a request. */
  judge (fingerprint: string, now: number): crashEvidences.Verdict
  /** Returns whether the request must not be sent to any endpoint. */
  isQuarantined (fingerprint: string, now: number): boolean
  /**
   * Permits an instance to send a request as a trial.
   * @param by the instance, for the log
   * @returns whether it may
   */
  grantTrial (fingerprint: string, now: number, by: string): boolean
  /** Returns reports of the crashes of a request. */
  toReportsOf (fingerprint: string, now: number): crashReports.CrashReport[]
  /** Returns the requests that are quarantined for a while, latest last. */
  quarantined (now: number): discovery.QuarantinedRequest[]
  /** Returns reports of the requests with most crashes, for instances that may have missed them. */
  toReports (now: number): crashReports.CrashReport[]
}

/** Options of {@link createCrashQuarantine}. */
export interface CrashQuarantineOptions {
  log?: telemetry.Log
  /** Sends reports to the other instances. */
  send?: (reports: crashReports.CrashReport[]) => void
  /** Finds out whether an endpoint is down, and confirms it if so. */
  checkEndpoint?: (endpoint: string) => void
}

/** Time for which suspicions are kept after the last crash, and the same for a request that is sent only as a trial. */
const RETENTION_MS = 600_000
const QUARANTINE_RETENTION_MS = 86_400_000
const PRUNE_INTERVAL_MS = 1000
/** Recent requests of which it is known that they have succeeded. */
const MAX_COMPLETIONS = 5000
const MAX_REPORTED_SUSPECTS = 30
/** Time for which the report of another instance that a request survives is valid. */
const SURVIVORS_TTL_MS = 3000
/** Minimum interval between reports of the same kind about one request. */
const REPORT_INTERVAL_MS = 1000
/** Remaining time of a quarantine that is worth announcing; a request for which something speaks is tried before. */
const MIN_ANNOUNCED_MS = 10_000
/** Trials of a request that are remembered. */
const MAX_KNOWN_TRIALS = 20
const SELF = 'self'

/** Returns whether one more crash may quarantine a request, or some have. */
function isNearQuarantine (suspect: suspectTables.Suspect): boolean {
  return suspectTables.toOpenCrashes(suspect).length >= crashEvidences.QUARANTINE_CRASHES - 1
}

/** Creates an empty quarantine. */
export function createCrashQuarantine (opts: CrashQuarantineOptions = {}): CrashQuarantine {
  const { log, send = () => {}, checkEndpoint = () => {} } = opts
  const suspects = suspectTables.createSuspectTable()
  /** When requests have completed a run. */
  const completedAt = new Map<string, number>()
  /** When endpoints that were taken for crashed have responded; earlier crashes of them do not count. */
  const survivedAt = new Map<string, number>()
  let prunedAt = -Infinity

  const tracker = runTrackers.createRunTracker({
    onCompleted (fingerprint, now) {
      recordCompletion(fingerprint, now)
      if (clear(fingerprint, SELF)) send([toReport(fingerprint, { isCleared: true })])
    },
    onCrash (fingerprint, crash, now) {
      if (addCrash(fingerprint, { ...crash, knownAt: now }, SELF)) send([toReportOfCrash(fingerprint, crash, now)])
    }
  })

  const hasSucceeded = (fingerprint: string): boolean => completedAt.has(fingerprint) || suspects.get(fingerprint)?.hasSucceeded === true

  const evidence = suspectEvidences.createSuspectEvidence({ suspects, tracker, hasSucceeded })

  const toReport = (fingerprint: string, fields: Partial<crashReports.CrashReport>): crashReports.CrashReport => {
    return crashReports.toCrashReport(fingerprint, { hasSucceeded: hasSucceeded(fingerprint), ...fields })
  }

  const toReportOfCrash = (fingerprint: string, { endpoint, at, startedAt }: crashEvidences.Crash, now: number): crashReports.CrashReport => {
    return toReport(fingerprint, { crashed: [endpoint], agoMs: Math.max(0, Math.round(now - at)), ranMs: Math.max(0, Math.round(at - startedAt)) })
  }

  const toReportsOf = (fingerprint: string, now: number): crashReports.CrashReport[] => {
    const suspect = suspects.get(fingerprint)
    return suspect === undefined ? [] : suspectTables.toOpenCrashes(suspect).map(crash => toReportOfCrash(fingerprint, crash, now))
  }

  const recordCompletion = (fingerprint: string, now: number): void => {
    completedAt.delete(fingerprint)
    completedAt.set(fingerprint, now)
    if (completedAt.size > MAX_COMPLETIONS) completedAt.delete(completedAt.keys().next().value as string)
  }

  const prune = (now: number): void => {
    if (now - prunedAt < PRUNE_INTERVAL_MS) return
    prunedAt = now
    tracker.prune(now)
    for (const [endpoint, at] of survivedAt) if (now - at > RETENTION_MS) survivedAt.delete(endpoint)
    for (const [fingerprint, suspect] of suspects.entries()) {
      const isConclusive = suspectTables.toOpenCrashes(suspect).length >= crashEvidences.QUARANTINE_CRASHES
      if (now - suspect.lastCrashAt > (isConclusive ? QUARANTINE_RETENTION_MS : RETENTION_MS)) suspects.delete(fingerprint)
    }
  }

  /** @returns whether the crash was not known */
  const addCrash = (fingerprint: string, crash: Omit<suspectTables.KnownCrash, 'isCleared'>, from: string): boolean => {
    const { endpoint } = crash
    if (crash.at <= (survivedAt.get(endpoint) ?? -Infinity)) return false
    // What was lost before a completed run is cleared, also if its endpoint goes down only now.
    if (crash.at < (completedAt.get(fingerprint) ?? -Infinity)) return false
    const suspect = suspects.add(fingerprint, crash)
    if (suspect === undefined) return false
    const count = suspectTables.toOpenCrashes(suspect).length
    // Many requests are lost once in an outage; the instance that lost them logs it.
    if (from === SELF || count > 1) log?.event('requestSuspected', { fingerprint, endpoint, crashes: count, from })
    // A run that is still in flight speaks for the request only if its endpoint is not down unnoticed.
    if (suspect.crashes.size >= crashEvidences.QUARANTINE_CRASHES) tracker.endpointsOf(fingerprint, Infinity).forEach(checkEndpoint)
    return true
  }

  /**
   * Takes back the crashes of an endpoint that has responded under the same start: it stalled, or the path to it was lost.
   * @param at when it was up, on the monotonic clock
   * @param why what it responded, for the log
   * @returns the requests that were lost at it
   */
  const retract = (endpoint: string, at: number, from: string, why?: string): string[] => {
    // A response that was under way when this instance learned of the crash does not excuse the endpoint.
    const retracted = suspects.retract(endpoint, crash => (from === SELF ? crash.knownAt : crash.at) < at)
    if (retracted.length === 0 && from === SELF) return retracted
    survivedAt.set(endpoint, Math.max(at, survivedAt.get(endpoint) ?? -Infinity))
    if (retracted.length > 0) log?.event('crashRetracted', { endpoint, requests: retracted.length, from, why })
    return retracted
  }

  /** @returns whether crashes counted against the request */
  const clear = (fingerprint: string, from: string): boolean => {
    const suspect = suspects.get(fingerprint)
    const crashes = suspect === undefined ? [] : suspectTables.toOpenCrashes(suspect)
    if (suspect === undefined || crashes.length === 0) return false
    for (const crash of crashes) crash.isCleared = true
    suspect.trials = []
    suspect.isQuarantined = false
    log?.event('requestCleared', { fingerprint, crashes: crashes.length, from })
    return true
  }

  const judge = (fingerprint: string, now: number): crashEvidences.Verdict => {
    const suspect = suspects.get(fingerprint)
    if (suspect === undefined) return { kind: 'allowed' }
    const collected = evidence.collect(fingerprint, suspect, now)
    const verdict = crashEvidences.toVerdict(collected, now)
    const isQuarantined = verdict.kind === 'quarantined'
    if (isQuarantined && !suspect.isQuarantined) {
      const { crashes, pendingTrials } = collected
      log?.event('requestQuarantined', { fingerprint, crashes: crashes.length, trials: crashEvidences.toFailedTrials(crashes).length + pendingTrials.length, forMs: Math.round(verdict.until - now), endpoints: crashes.map(item => item.endpoint).join(' ') })
    }
    suspect.isQuarantined = isQuarantined
    return verdict
  }

  const isQuarantined = (fingerprint: string, now: number): boolean => judge(fingerprint, now).kind === 'quarantined'

  /**
   * Records that a request is sent in spite of its crashes.
   * @param to endpoint, or what the request is sent by, for the log
   */
  const recordTrial = (fingerprint: string, now: number, to: string): void => {
    const suspect = suspects.get(fingerprint)
    if (suspect === undefined) return
    const { crashes, pendingTrials } = evidence.collect(fingerprint, suspect, now)
    if (crashes.length < crashEvidences.QUARANTINE_CRASHES) return
    log?.event('suspectSent', { fingerprint, to, crashes: crashes.length, isTrial: judge(fingerprint, now).kind !== 'allowed', hasSucceeded: hasSucceeded(fingerprint) })
    // It was recorded when it was permitted.
    if (now - (pendingTrials.at(-1) ?? -Infinity) < crashEvidences.TRIAL_INTERVAL_MS) return
    suspect.trials = [...suspect.trials.slice(-MAX_KNOWN_TRIALS), now]
  }

  /** Tells the other instances what the sender of a new crash report seems not to know. */
  const respond = (fingerprint: string, suspect: suspectTables.Suspect, now: number): void => {
    if (evidence.hasOwnSurvivors(fingerprint, suspect, suspect.lastCrashAt) && now - suspect.survivorsReportedAt > REPORT_INTERVAL_MS) {
      suspect.survivorsReportedAt = now
      send([toReport(fingerprint, { hasSurvivors: true })])
    }
    if (judge(fingerprint, now).kind !== 'allowed' && now - suspect.crashesReportedAt > REPORT_INTERVAL_MS) {
      suspect.crashesReportedAt = now
      send(toReportsOf(fingerprint, now))
    }
  }

  /** @returns what of the report was not known, undefined if nothing */
  const mergeReport = (report: crashReports.CrashReport, now: number, from: string): crashReports.CrashReport | undefined => {
    const { fingerprint } = report
    if (report.isCleared) {
      recordCompletion(fingerprint, now)
      return clear(fingerprint, from) ? report : undefined
    }
    for (const endpoint of report.survived) retract(endpoint, now - report.agoMs, from)
    const crashed = report.crashed.filter(endpoint => addCrash(fingerprint, { endpoint, at: now - report.agoMs, startedAt: now - report.agoMs - report.ranMs, knownAt: now }, from))
    const suspect = suspects.get(fingerprint)
    if (suspect === undefined) return undefined
    const isSurvivalNew = report.hasSurvivors && suspect.survivorsUntil - now < SURVIVORS_TTL_MS / 2
    if (isSurvivalNew) suspect.survivorsUntil = now + SURVIVORS_TTL_MS
    suspect.hasSucceeded ||= report.hasSucceeded
    if (crashed.length > 0) respond(fingerprint, suspect, now)
    return crashed.length > 0 || isSurvivalNew ? { ...report, crashed } : undefined
  }

  return {
    startRun (fingerprint, endpoint, now) {
      recordTrial(fingerprint, now, endpoint)
      return tracker.startRun(fingerprint, endpoint, now)
    },
    excuse: tracker.excuse,
    confirmDown (endpoint, now, reason) {
      prune(now)
      // The response came from the later start.
      if (reason === 'restarted') survivedAt.delete(endpoint)
      tracker.confirmDown(endpoint, now, reason)
    },
    confirmUp (endpoint, sentAt, now, response) {
      tracker.confirmUp(endpoint, sentAt)
      if (suspects.atCrash(endpoint).size === 0) return
      const [fingerprint] = retract(endpoint, sentAt, SELF, response)
      if (fingerprint !== undefined) send([toReport(fingerprint, { survived: [endpoint], agoMs: Math.max(0, Math.round(now - sentAt)) })])
    },
    merge (reports, now, from) {
      prune(now)
      return reports.flatMap(report => mergeReport(report, now, from) ?? [])
    },
    isSuspected (fingerprint) {
      const suspect = suspects.get(fingerprint)
      return suspect !== undefined && isNearQuarantine(suspect)
    },
    judge,
    isQuarantined,
    grantTrial (fingerprint, now, by) {
      const isGranted = !isQuarantined(fingerprint, now)
      if (isGranted) recordTrial(fingerprint, now, by)
      return isGranted
    },
    toReportsOf,
    quarantined: now => suspects.entries().flatMap(([fingerprint, suspect]) => {
      const verdict = judge(fingerprint, now)
      const isLasting = verdict.kind === 'quarantined' && verdict.until - now > MIN_ANNOUNCED_MS
      return isLasting ? [{ fingerprint, crashed: suspectTables.toOpenCrashes(suspect).map(item => item.endpoint) }] : []
    }),
    toReports (now) {
      prune(now)
      return suspects.entries()
        .filter(([, suspect]) => isNearQuarantine(suspect))
        .sort(([, a], [, b]) => b.crashes.size - a.crashes.size)
        .slice(0, MAX_REPORTED_SUSPECTS)
        .flatMap(([fingerprint, suspect]) => {
          const reports = toReportsOf(fingerprint, now)
          return evidence.hasOwnSurvivors(fingerprint, suspect, suspect.lastCrashAt) ? [...reports, toReport(fingerprint, { hasSurvivors: true })] : reports
        })
    }
  }
}
