/**
 * Quarantine of requests that crash endpoints. Instances exchange the crashes at which requests were in flight, so that a request is
 * rejected at all of them once the evidence suffices; see crashEvidence.ts. A completed run at any instance clears the request.
 */
import type * as discovery from '@kingcupdeck/discovery'
import type * as telemetry from '@kingcupdeck/telemetry'
import * as crashEvidences from './crashEvidence.js'
import * as crashReports from './crashReport.js'
import * as runTrackers from './runTracker.js'
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
  /** Returns whether the request must not be sent to any endpoint. */
  isQuarantined (fingerprint: string, now: number): boolean
  /** Returns the quarantined requests, latest last. */
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

/** Time for which suspicions are kept after the last crash. */
const RETENTION_MS = 600_000
const PRUNE_INTERVAL_MS = 1000
/** Recent requests of which it is known that they have succeeded. */
const MAX_COMPLETIONS = 5000
const MAX_REPORTED_SUSPECTS = 30
/** Time for which the report of another instance that a request survives is valid. */
const SURVIVORS_TTL_MS = 3000
/** Minimum interval between reports of the same kind about one request. */
const REPORT_INTERVAL_MS = 1000
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
    onCrash (fingerprint, endpoint, at, now) {
      if (addCrash(fingerprint, { endpoint, at, knownAt: now }, SELF)) send([toReportOfCrash(fingerprint, { endpoint, at }, now)])
    }
  })

  const hasSucceeded = (fingerprint: string): boolean => completedAt.has(fingerprint) || suspects.get(fingerprint)?.hasSucceeded === true

  const toReport = (fingerprint: string, fields: Partial<crashReports.CrashReport>): crashReports.CrashReport => {
    return crashReports.toCrashReport(fingerprint, { hasSucceeded: hasSucceeded(fingerprint), ...fields })
  }

  const toReportOfCrash = (fingerprint: string, { endpoint, at }: crashEvidences.Crash, now: number): crashReports.CrashReport => {
    return toReport(fingerprint, { crashed: [endpoint], agoMs: Math.max(0, Math.round(now - at)) })
  }

  const toReportsOf = (fingerprint: string, suspect: suspectTables.Suspect, now: number): crashReports.CrashReport[] => {
    return suspectTables.toOpenCrashes(suspect).map(crash => toReportOfCrash(fingerprint, crash, now))
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
      if (now - suspect.lastCrashAt > RETENTION_MS && !isQuarantined(fingerprint, now)) suspects.delete(fingerprint)
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
    suspect.isQuarantined = false
    suspect.isReleased = false
    log?.event('requestCleared', { fingerprint, crashes: crashes.length, from })
    return true
  }

  /** Returns whether a run of this instance that began before a crash is still in flight at another endpoint. */
  const hasOwnSurvivors = (fingerprint: string, suspect: suspectTables.Suspect, at: number): boolean => {
    return [...tracker.endpointsOf(fingerprint, at)].some(endpoint => !suspect.crashes.has(endpoint))
  }

  const hasSurvivors = (fingerprint: string, suspect: suspectTables.Suspect, at: number, now: number): boolean => {
    return suspect.survivorsUntil > now || hasOwnSurvivors(fingerprint, suspect, at)
  }

  /** Returns whether another request was lost in the same crashes and is no less suspicious. */
  const hasRival = (fingerprint: string, crashes: readonly suspectTables.KnownCrash[], now: number): boolean => {
    return [...suspects.atCrash(crashes[0].endpoint)].some(other => {
      const suspect = suspects.get(other)
      if (other === fingerprint || suspect === undefined) return false
      return crashes.every(item => suspect.crashes.get(item.endpoint)?.isCleared === false) && !hasSurvivors(other, suspect, crashes[0].at, now)
    })
  }

  /** Returns whether a quarantined request was lost in the same crash, which it then explains. */
  const isExplained = (fingerprint: string, endpoint: string): boolean => {
    return [...suspects.atCrash(endpoint)].some(other => other !== fingerprint && suspects.get(other)?.isQuarantined === true)
  }

  /** Returns whether a request is quarantined because of enough crashes other than the given ones. */
  const hasFurtherCrashes = (fingerprint: string, crashes: readonly suspectTables.KnownCrash[]): boolean => {
    const suspect = suspects.get(fingerprint)
    if (suspect?.isQuarantined !== true) return false
    const further = suspectTables.toOpenCrashes(suspect).filter(item => crashes.every(crash => crash.endpoint !== item.endpoint))
    return further.length >= crashEvidences.QUARANTINE_CRASHES
  }

  /** Returns whether each of the crashes is explained by a quarantined request that has crashed enough other endpoints too. */
  const areAllExplained = (fingerprint: string, crashes: readonly suspectTables.KnownCrash[]): boolean => {
    return crashes.every(({ endpoint }) => [...suspects.atCrash(endpoint)].some(other => other !== fingerprint && hasFurtherCrashes(other, crashes)))
  }

  const release = (fingerprint: string, suspect: suspectTables.Suspect, crashes: number): void => {
    suspect.isQuarantined = false
    suspect.isReleased = true
    log?.event('requestReleased', { fingerprint, crashes })
  }

  const isQuarantined = (fingerprint: string, now: number): boolean => {
    const suspect = suspects.get(fingerprint)
    if (suspect === undefined) return false
    const open = suspectTables.toOpenCrashes(suspect)
    if (open.length < crashEvidences.QUARANTINE_CRASHES) return false
    const wasQuarantined = suspect.isQuarantined || suspect.isReleased
    if (wasQuarantined && areAllExplained(fingerprint, open)) {
      if (suspect.isQuarantined) release(fingerprint, suspect, open.length)
      return false
    }
    // One more crash after a release shows that the request crashes endpoints itself.
    const crashes = open.filter(item => wasQuarantined || !isExplained(fingerprint, item.endpoint)).sort((a, b) => a.at - b.at)
    if (crashes.length < crashEvidences.QUARANTINE_CRASHES) return false
    const until = crashEvidences.toQuarantineEnd({
      crashes,
      isCoincident: ({ at }) => hasSucceeded(fingerprint) || hasSurvivors(fingerprint, suspect, at, now),
      isContested: hasSurvivors(fingerprint, suspect, crashes[0].at, now) || hasRival(fingerprint, crashes, now)
    })
    if (until > now && !suspect.isQuarantined) {
      log?.event('requestQuarantined', { fingerprint, crashes: crashes.length, known: open.length, forMs: Math.round(until - now), endpoints: crashes.map(item => item.endpoint).join(' ') })
    }
    suspect.isQuarantined = until > now
    return suspect.isQuarantined
  }

  /** Tells the other instances what the sender of a new crash report seems not to know. */
  const respond = (fingerprint: string, suspect: suspectTables.Suspect, now: number): void => {
    if (hasOwnSurvivors(fingerprint, suspect, suspect.lastCrashAt) && now - suspect.survivorsReportedAt > REPORT_INTERVAL_MS) {
      suspect.survivorsReportedAt = now
      send([toReport(fingerprint, { hasSurvivors: true })])
    }
    if (isQuarantined(fingerprint, now) && now - suspect.crashesReportedAt > REPORT_INTERVAL_MS) {
      suspect.crashesReportedAt = now
      send(toReportsOf(fingerprint, suspect, now))
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
    const crashed = report.crashed.filter(endpoint => addCrash(fingerprint, { endpoint, at: now - report.agoMs, knownAt: now }, from))
    const suspect = suspects.get(fingerprint)
    if (suspect === undefined) return undefined
    const isSurvivalNew = report.hasSurvivors && suspect.survivorsUntil - now < SURVIVORS_TTL_MS / 2
    if (isSurvivalNew) suspect.survivorsUntil = now + SURVIVORS_TTL_MS
    suspect.hasSucceeded ||= report.hasSucceeded
    if (crashed.length > 0) respond(fingerprint, suspect, now)
    return crashed.length > 0 || isSurvivalNew ? { ...report, crashed } : undefined
  }

  /** Logs why a request is sent that was in flight at enough crashes for a quarantine. */
  const logSend = (fingerprint: string, endpoint: string, now: number): void => {
    const suspect = suspects.get(fingerprint)
    const open = suspect === undefined ? [] : suspectTables.toOpenCrashes(suspect).sort((a, b) => a.at - b.at)
    if (suspect === undefined || open.length < crashEvidences.QUARANTINE_CRASHES) return
    const explained = open.filter(item => isExplained(fingerprint, item.endpoint)).length
    log?.event('suspectSent', { fingerprint, endpoint, known: open.length, explained, hasSucceeded: hasSucceeded(fingerprint), hasSurvivors: hasSurvivors(fingerprint, suspect, open[0].at, now), hasRival: hasRival(fingerprint, open, now) })
  }

  return {
    startRun (fingerprint, endpoint, now) {
      logSend(fingerprint, endpoint, now)
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
    isQuarantined,
    quarantined: now => suspects.entries().flatMap(([fingerprint, suspect]) => {
      return isQuarantined(fingerprint, now) ? [{ fingerprint, crashed: suspectTables.toOpenCrashes(suspect).map(item => item.endpoint) }] : []
    }),
    toReports (now) {
      prune(now)
      return suspects.entries()
        .filter(([, suspect]) => isNearQuarantine(suspect))
        .sort(([, a], [, b]) => b.crashes.size - a.crashes.size)
        .slice(0, MAX_REPORTED_SUSPECTS)
        .flatMap(([fingerprint, suspect]) => {
          const reports = toReportsOf(fingerprint, suspect, now)
          return hasOwnSurvivors(fingerprint, suspect, suspect.lastCrashAt) ? [...reports, toReport(fingerprint, { hasSurvivors: true })] : reports
        })
    }
  }
}
