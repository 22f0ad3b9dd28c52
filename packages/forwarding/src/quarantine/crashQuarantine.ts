/**
 * Quarantine of requests and parts of prompts that crash endpoints. Instances exchange the crashes at which they were in flight, so that
 * a request is rejected at all of them once the evidence suffices; see crashEvidence.ts. A request is judged by its own key and by those
 * of the parts of its prompt. A completed run at any instance clears what it carried.
 */
import type * as discovery from '@kingcupdeck/discovery'
import type * as telemetry from '@kingcupdeck/telemetry'
import * as crashEvidences from './crashEvidence.js'
import * as crashReports from './crashReport.js'
import * as recentMaps from './recentMap.js'
import * as runTrackers from './runTracker.js'
import * as suspectEvidences from './suspectEvidence.js'
import * as suspectKeys from './suspectKey.js'
import * as suspectLogs from './suspectLog.js'
import * as suspectReports from './suspectReports.js'
import * as suspectTables from './suspectTable.js'

/** What may be done with a request. */
export type RequestVerdict =
  | { kind: 'allowed' }
  /** It may be sent if a trial of each of these suspects is permitted. */
  | { kind: 'trial', keys: string[] }
  /** It must not be sent until a time on the monotonic clock, because of a suspect. */
  | { kind: 'quarantined', until: number, key: string }

/** Suspects. `keys` are those of a request: its own one, and those of the parts of its prompt. */
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
  isSuspected (keys: readonly string[]): boolean
  /** Returns those of the keys for which crashes are known. */
  selectSuspects (keys: readonly string[]): string[]
  /**
   * Decides what may be done with a request.
   * @param carried all keys of the request, if `keys` are only some of them
   */
  judge (keys: readonly string[], now: number, carried?: readonly string[]): RequestVerdict
  /** Returns whether the request must not be sent to any endpoint. */
  isQuarantined (keys: readonly string[], now: number, carried?: readonly string[]): boolean
  /**
   * Permits an instance to send a request as a trial of some of its suspects.
   * @param carried suspects of the request
   * @param by the instance, for the log
   * @returns whether it may
   */
  grantTrial (keys: readonly string[], carried: readonly string[], now: number, by: string): boolean
  /** Returns reports of the crashes of suspects. */
  toReportsOf (keys: readonly string[], now: number): crashReports.CrashReport[]
  /** Returns the suspects that are quarantined for a while, the most suspected last. */
  quarantined (now: number): discovery.QuarantinedRequest[]
  /** Returns reports of the suspects with most crashes, for instances that may have missed them. */
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

/** Time for which suspicions are kept after the last crash, and the same for a suspect that is sent only as a trial. */
const RETENTION_MS = 600_000
const QUARANTINE_RETENTION_MS = 86_400_000
const PRUNE_INTERVAL_MS = 1000
/** Recent requests and parts of which it is known that they have succeeded. */
const MIN_COMPLETIONS = 10_000
/** Time for which the report of another instance that a suspect survives is valid. */
const SURVIVORS_TTL_MS = 3000
/** Minimum interval between reports of the same kind about one suspect. */
const REPORT_INTERVAL_MS = 1000
/** Remaining time of a quarantine that is worth announcing; a request for which something speaks is tried before. */
const MIN_ANNOUNCED_MS = 10_000
/** Time after the third crash after which a part is announced, also if it is tried soon: a sound one that is widely used is cleared before. */
const PART_ANNOUNCED_AFTER_MS = 1500
/** Trials of a suspect that are remembered. */
const MAX_KNOWN_TRIALS = 20
const SELF = 'self'
const NOTHING: ReadonlySet<string> = new Set()

/** Creates an empty quarantine. */
export function createCrashQuarantine (opts: CrashQuarantineOptions = {}): CrashQuarantine {
  const { send = () => {}, checkEndpoint = () => {} } = opts
  const log = suspectLogs.createSuspectLog(opts.log)
  const suspects = suspectTables.createSuspectTable()
  /** Up to when crashes of a suspect are refuted by its own completed runs, by key. */
  const completions = recentMaps.createRecentMap<number>(MIN_COMPLETIONS)
  /** When endpoints that were taken for crashed have responded; earlier crashes of them do not count. */
  const survivedAt = new Map<string, number>()
  let prunedAt = -Infinity

  const tracker = runTrackers.createRunTracker({
    onCompleted (keys, startedAt, now) {
      for (const key of keys) recordCompletion(key, toRefutedUntil(key, startedAt, now))
      const cleared = clear(keys, (key, crash) => crash.at <= toRefutedUntil(key, startedAt, now), SELF)
      send(cleared.flatMap(({ key, crashed }) => [crashReports.toCrashReport(key, { crashed, isCleared: true, hasSucceeded: true })]))
    },
    onCrash (keys, tried, crash, now) {
      const added = addCrash(keys, tried, { ...crash, knownAt: now }, SELF)
      if (added.length > 0) send(reports.ofCrash(added, crash, now, tried))
    }
  })

  const hasSucceeded = (key: string): boolean => completions.has(key) || suspects.get(key)?.hasSucceeded === true

  const evidence = suspectEvidences.createSuspectEvidence({ suspects, tracker, hasSucceeded })
  const reports = suspectReports.createSuspectReports({ suspects, evidence, hasSucceeded })

  const recordCompletion = (key: string, refutedUntil: number): void => {
    completions.set(key, Math.max(completions.get(key) ?? -Infinity, refutedUntil))
  }

  const prune = (now: number): void => {
    if (now - prunedAt < PRUNE_INTERVAL_MS) return
    prunedAt = now
    tracker.prune(now)
    for (const [endpoint, at] of survivedAt) if (now - at > RETENTION_MS) survivedAt.delete(endpoint)
    for (const [key, suspect] of suspects.entries()) {
      const isConclusive = suspectTables.countOpenCrashes(suspect) >= crashEvidences.QUARANTINE_CRASHES
      if (now - suspect.lastCrashAt > (isConclusive ? QUARANTINE_RETENTION_MS : RETENTION_MS)) suspects.delete(key)
    }
  }

  /** @returns the suspects for which the crash was not known */
  const addCrash = (keys: readonly string[], tried: readonly string[], crash: Omit<suspectTables.KnownCrash, 'isCleared' | 'isTrial'>, from: string): string[] => {
    const { endpoint } = crash
    if (crash.at <= (survivedAt.get(endpoint) ?? -Infinity)) return []
    const added = keys.flatMap(key => {
      // What was lost before a completed run is cleared, also if its endpoint goes down only now.
      if (crash.at < (completions.get(key) ?? -Infinity)) return []
      const suspect = suspects.add(key, { ...crash, isTrial: tried.includes(key) })
      return suspect === undefined ? [] : [{ key, suspect, crashes: suspectTables.countOpenCrashes(suspect) }]
    })
    log.suspected(added, endpoint, from, from === SELF)
    for (const { key, suspect } of added) {
      // A run that is still in flight speaks for the request only if its endpoint is not down unnoticed.
      if (suspect.crashes.size >= crashEvidences.QUARANTINE_CRASHES && !suspectKeys.isPartKey(key)) tracker.endpointsOf(key, Infinity).forEach(checkEndpoint)
    }
    return added.map(({ key }) => key)
  }

  /**
   * Takes back the crashes of an endpoint that has responded under the same start: it stalled, or the path to it was lost.
   * @param at when it was up, on the monotonic clock
   * @param why what it responded, for the log
   * @returns the suspects that were lost at it
   */
  const retract = (endpoint: string, at: number, from: string, why?: string): string[] => {
    // A response that was under way when this instance learned of the crash does not excuse the endpoint.
    const retracted = suspects.retract(endpoint, crash => (from === SELF ? crash.knownAt : crash.at) < at)
    if (retracted.length === 0 && from === SELF) return retracted
    survivedAt.set(endpoint, Math.max(at, survivedAt.get(endpoint) ?? -Infinity))
    for (const key of retracted) {
      const suspect = suspects.get(key)
      if (suspect !== undefined) suspect.isQuarantined = false
    }
    if (retracted.length > 0) log.retracted(endpoint, retracted.length, from, why)
    return retracted
  }

  /** @returns the suspects that were cleared, and the crashes that no longer count */
  const clear = (keys: readonly string[], isRefuted: (key: string, crash: suspectTables.KnownCrash) => boolean, from: string): Array<{ key: string, crashed: string[] }> => {
    const cleared = keys.flatMap(key => {
      const suspect = suspects.get(key)
      const crashes = suspect === undefined ? [] : suspectTables.toOpenCrashes(suspect).filter(crash => isRefuted(key, crash))
      if (suspect === undefined || crashes.length === 0) return []
      for (const crash of crashes) crash.isCleared = true
      if (suspectTables.countOpenCrashes(suspect) < crashEvidences.QUARANTINE_CRASHES) {
        suspect.trials = []
        suspect.isQuarantined = false
      }
      return [{ key, crashed: crashes.map(({ endpoint }) => endpoint) }]
    })
    log.cleared(cleared, from)
    return cleared
  }

  /** Returns those of the keys that have had enough crashes for a quarantine. */
  const selectConclusive = (keys: readonly string[]): string[] => {
    if (suspects.size() === 0) return []
    return keys.filter(key => {
      const suspect = suspects.get(key)
      return suspect !== undefined && suspectTables.countOpenCrashes(suspect) >= crashEvidences.QUARANTINE_CRASHES
    })
  }

  const judgeOne = (key: string, carried: ReadonlySet<string>, now: number): crashEvidences.Verdict => {
    const suspect = suspects.get(key)
    if (suspect === undefined || suspectTables.countOpenCrashes(suspect) < crashEvidences.QUARANTINE_CRASHES) return { kind: 'allowed' }
    const collected = evidence.collect(key, suspect, carried, now)
    const verdict = crashEvidences.toVerdict(collected, now)
    const isQuarantined = verdict.kind === 'quarantined'
    if (isQuarantined && !suspect.isQuarantined) log.quarantined(key, collected, verdict.until - now, now)
    suspect.isQuarantined = isQuarantined
    return verdict
  }

  const judge = (keys: readonly string[], now: number, carried: readonly string[] = keys): RequestVerdict => {
    const conclusive = selectConclusive(keys)
    if (conclusive.length === 0) return { kind: 'allowed' }
    let held: Extract<RequestVerdict, { kind: 'quarantined' }> | undefined
    const trials: string[] = []
    const all = new Set(carried)
    for (const key of conclusive) {
      const verdict = judgeOne(key, all, now)
      if (verdict.kind === 'trial') trials.push(key)
      if (verdict.kind === 'quarantined' && (held === undefined || verdict.until > held.until)) held = { ...verdict, key }
    }
    return held ?? (trials.length === 0 ? { kind: 'allowed' } : { kind: 'trial', keys: trials })
  }

  const isQuarantined: CrashQuarantine['isQuarantined'] = (keys, now, carried) => judge(keys, now, carried).kind === 'quarantined'

  /**
   * Records that suspects are sent in spite of their crashes.
   * @param to endpoint, or what the request is sent by, for the log
   * @returns those for which this is a trial
   */
  const recordTrials = (keys: readonly string[], carried: readonly string[], now: number, to: string): string[] => {
    const conclusive = selectConclusive(keys)
    if (conclusive.length === 0) return []
    const all = new Set(carried)
    return conclusive.filter(key => {
      const suspect = suspects.get(key)
      if (suspect === undefined) return false
      const isTrial = judgeOne(key, all, now).kind !== 'allowed'
      // A part that is not held back is sent with much of the traffic; these sends are bounded by what lets it pass.
      if (!isTrial && suspectKeys.isPartKey(key)) return false
      const collected = evidence.collect(key, suspect, all, now)
      log.sent(key, collected, to, isTrial, now)
      // It was recorded when it was permitted.
      if (now - (collected.pendingTrials.at(-1) ?? -Infinity) >= crashEvidences.TRIAL_INTERVAL_MS) suspect.trials = [...suspect.trials.slice(-MAX_KNOWN_TRIALS), now]
      return isTrial
    })
  }

  /** Tells the other instances what the sender of a new crash report seems not to know. */
  const respond = (key: string, suspect: suspectTables.Suspect, now: number): void => {
    if (suspectKeys.isPartKey(key) && !suspectReports.isNearQuarantine(suspect)) return
    if (now - suspect.survivorsReportedAt > REPORT_INTERVAL_MS && evidence.hasOwnSurvivors(key, suspect, now)) {
      suspect.survivorsReportedAt = now
      send([reports.ofSurvivors(key)])
    }
    if (now - suspect.crashesReportedAt > REPORT_INTERVAL_MS && judgeOne(key, NOTHING, now).kind !== 'allowed') {
      suspect.crashesReportedAt = now
      send(reports.ofSuspect(key, now))
    }
  }

  const mergeCleared = (report: crashReports.CrashReport, now: number, from: string): crashReports.CrashReport | undefined => {
    const keys = crashReports.toKeys(report)
    for (const key of keys) recordCompletion(key, toRefutedUntil(key, -Infinity, now))
    const { crashed } = report
    // Reports of earlier versions do not name the crashes.
    const cleared = clear(keys, (key, crash) => !suspectKeys.isPartKey(key) || crashed.length === 0 || crashed.includes(crash.endpoint), from)
    return cleared.length > 0 ? report : undefined
  }

  /** @returns what of the report was not known, undefined if nothing */
  const mergeReport = (report: crashReports.CrashReport, now: number, from: string): crashReports.CrashReport | undefined => {
    if (report.isCleared) return mergeCleared(report, now, from)
    for (const endpoint of report.survived) retract(endpoint, now - report.agoMs, from)
    const keys = crashReports.toKeys(report)
    const at = now - report.agoMs
    const added = new Set<string>()
    const crashed = report.crashed.filter(endpoint => {
      const news = addCrash(keys, report.isTrial ? keys : [], { endpoint, at, startedAt: at - report.ranMs, knownAt: now }, from)
      for (const key of news) added.add(key)
      return news.length > 0
    })
    let isSurvivalNew = false
    for (const key of keys) {
      const suspect = suspects.get(key)
      if (suspect === undefined) continue
      if (report.hasSurvivors && suspect.survivorsUntil - now < SURVIVORS_TTL_MS / 2) {
        isSurvivalNew = true
        suspect.survivorsUntil = now + SURVIVORS_TTL_MS
      }
      suspect.hasSucceeded ||= report.hasSucceeded
      if (added.has(key)) respond(key, suspect, now)
    }
    return crashed.length > 0 || isSurvivalNew ? { ...report, crashed } : undefined
  }

  return {
    startRun (keys, endpoint, now) {
      return tracker.startRun(keys, endpoint, now, recordTrials(keys, keys, now, endpoint))
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
      const [key] = retract(endpoint, sentAt, SELF, response)
      if (key !== undefined) send([crashReports.toCrashReport(key, { hasSucceeded: hasSucceeded(key), survived: [endpoint], agoMs: Math.max(0, Math.round(now - sentAt)) })])
    },
    merge (list, now, from) {
      prune(now)
      return list.flatMap(report => mergeReport(report, now, from) ?? [])
    },
    isSuspected: keys => keys.some(key => {
      const suspect = suspects.get(key)
      return suspect !== undefined && suspectReports.isNearQuarantine(suspect)
    }),
    selectSuspects: keys => keys.filter(key => suspects.get(key) !== undefined),
    judge,
    isQuarantined,
    grantTrial (keys, carried, now, by) {
      const all = new Set([...keys, ...carried])
      const isGranted = keys.every(key => judgeOne(key, all, now).kind !== 'quarantined')
      if (isGranted) recordTrials(keys, [...all], now, by)
      return isGranted
    },
    toReportsOf: (keys, now) => keys.flatMap(key => reports.ofSuspect(key, now)),
    quarantined: now => suspects.entries().flatMap(([key, suspect]) => {
      const crashes = suspectTables.toOpenCrashes(suspect)
      if (crashes.length < crashEvidences.QUARANTINE_CRASHES) return []
      const verdict = judgeOne(key, NOTHING, now)
      const isLasting = verdict.kind === 'quarantined' && verdict.until - now > MIN_ANNOUNCED_MS
      const isOpen = suspectKeys.isPartKey(key) && now - crashes[crashEvidences.QUARANTINE_CRASHES - 1].at > PART_ANNOUNCED_AFTER_MS
      return isLasting || isOpen ? [{ fingerprint: key, crashed: crashes.map(item => item.endpoint) }] : []
    }).sort((a, b) => a.crashed.length - b.crashed.length),
    toReports (now) {
      prune(now)
      return reports.ofMostSuspected(now)
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
