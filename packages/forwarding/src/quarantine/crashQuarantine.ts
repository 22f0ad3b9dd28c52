/**
 * Quarantine of requests and parts of prompts that crash endpoints. Instances exchange the crashes at which they were in flight, so that
 * a request is rejected at all of them once the evidence suffices; see crashEvidence.ts. A request is judged by its own key and by those
 * of the parts of its prompt. A completed run at any instance clears what it carried.
 */
import type * as discovery from '@kingcupdeck/discovery'
import type * as telemetry from '@kingcupdeck/telemetry'
import * as crashEvidences from './crashEvidence.js'
import * as crashLedgers from './crashLedger.js'
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
  /**
   * Merges the reports of another instance.
   * @param isDated whether they tell when the crashes were; true by default
   * @returns those that were not known
   */
  merge (reports: readonly crashReports.CrashReport[], now: number, from: string, isDated?: boolean): crashReports.CrashReport[]
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
  /** Returns reports of the suspects with most crashes, for instances that may have missed them. To be called regularly: it also looks for lasting responses. */
  toReports (now: number): crashReports.CrashReport[]
}

/** Options of {@link createCrashQuarantine}. */
export interface CrashQuarantineOptions {
  /** When this instance started, on the monotonic clock; long ago by default. */
  startedAt?: number
  log?: telemetry.Log
  /** Sends reports to the other instances. */
  send?: (reports: crashReports.CrashReport[]) => void
  /** Finds out whether an endpoint is down, and confirms it if so. */
  checkEndpoint?: (endpoint: string) => void
  /** Returns by how much earlier what is seen now may have happened, since the process stalled, in milliseconds; none by default. */
  lagMs?: () => number
}

const PRUNE_INTERVAL_MS = 1000
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
/** Suspects of which it is remembered when the other instances were told that their crashes do not count. */
const MIN_REFUTED_REPORTS = 1000
const NOTHING: ReadonlySet<string> = new Set()

/** Creates an empty quarantine. */
export function createCrashQuarantine (opts: CrashQuarantineOptions = {}): CrashQuarantine {
  const { send = () => {}, checkEndpoint = () => {}, lagMs = () => 0 } = opts
  const log = suspectLogs.createSuspectLog(opts.log)
  const suspects = suspectTables.createSuspectTable()
  const ledger = crashLedgers.createCrashLedger({ suspects, log })
  const { hasSucceeded } = ledger
  /** When the other instances were told last that crashes of a suspect do not count, by key. */
  const refutedReportedAt = recentMaps.createRecentMap<number>(MIN_REFUTED_REPORTS)
  let prunedAt = -Infinity

  const complete = (keys: readonly string[], startedAt: number, now: number): void => {
    send(ledger.complete(keys, startedAt, now).map(({ key, crashed }) => reports.ofRefuted(key, crashed, now)))
  }

  const tracker = runTrackers.createRunTracker({
    onCompleted: complete,
    lagMs,
    onCrash (keys, tried, crash, now) {
      const added = addCrash(keys, tried, { ...crash, knownAt: now }, crashLedgers.SELF)
      if (added.length > 0) send(reports.ofCrash(added, crash, now, tried))
    }
  })

  const evidence = suspectEvidences.createSuspectEvidence({ suspects, tracker, hasSucceeded, startedAt: opts.startedAt ?? -Infinity })
  const reports = suspectReports.createSuspectReports({ suspects, evidence, hasSucceeded, refutedUntil: ledger.refutedUntil })

  const prune = (now: number): void => {
    if (now - prunedAt < PRUNE_INTERVAL_MS) return
    prunedAt = now
    tracker.prune(now)
    ledger.prune(now)
  }

  const addCrash: crashLedgers.CrashLedger['add'] = (keys, tried, crash, from) => {
    const added = ledger.add(keys, tried, crash, from)
    for (const key of added) {
      // A run that is still in flight speaks for the request only if its endpoint is not down unnoticed.
      const isConclusive = (suspects.get(key)?.crashes.size ?? 0) >= crashEvidences.QUARANTINE_CRASHES
      if (isConclusive && !suspectKeys.isPartKey(key)) tracker.endpointsOf(key, Infinity).forEach(checkEndpoint)
    }
    return added
  }

  /** Returns those of the keys that have had enough crashes for a quarantine. */
  const selectConclusive = (keys: readonly string[]): string[] => {
    if (suspects.size() === 0) return []
    return keys.filter(key => {
      const suspect = suspects.get(key)
      return suspect !== undefined && suspectTables.isConclusive(suspect)
    })
  }

  const judgeOne = (key: string, carried: ReadonlySet<string>, now: number): crashEvidences.Verdict => {
    const suspect = suspects.get(key)
    if (suspect === undefined || !suspectTables.isConclusive(suspect)) return { kind: 'allowed' }
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
      if (now - (collected.pendingTrials.at(-1) ?? -Infinity) >= crashEvidences.MIN_TRIAL_INTERVAL_MS) suspect.trials = [...suspect.trials.slice(-MAX_KNOWN_TRIALS), now]
      return isTrial
    })
  }

  /** Tells the other instances what the sender of a new crash report seems not to know. */
  const respond = (key: string, suspect: suspectTables.Suspect, now: number): void => {
    if (suspectKeys.isPartKey(key) && !suspectTables.isNearQuarantine(suspect)) return
    if (now - suspect.survivorsReportedAt > REPORT_INTERVAL_MS && evidence.hasOwnSurvivors(key, suspect, now)) {
      suspect.survivorsReportedAt = now
      send([reports.ofSurvivors(key)])
    }
    if (now - suspect.crashesReportedAt > REPORT_INTERVAL_MS && judgeOne(key, NOTHING, now).kind !== 'allowed') {
      suspect.crashesReportedAt = now
      send(reports.ofSuspect(key, now))
    }
  }

  /** Tells the other instances that reported crashes of a suspect do not count: they have missed what cleared them. */
  const tellRefuted = (key: string, crashed: readonly string[], now: number): void => {
    if (crashed.length === 0 || now - (refutedReportedAt.get(key) ?? -Infinity) < REPORT_INTERVAL_MS) return
    refutedReportedAt.set(key, now)
    send([reports.ofRefuted(key, crashed, now)])
  }

  /** @returns what of the report was not known, undefined if nothing */
  const mergeReport = (report: crashReports.CrashReport, now: number, from: string, isDated: boolean): crashReports.CrashReport | undefined => {
    if (report.isCleared) return ledger.clear(crashReports.toKeys(report), report.crashed, now - report.agoMs, from).length > 0 ? report : undefined
    for (const endpoint of report.survived) ledger.retract(endpoint, now - report.agoMs, from)
    const keys = crashReports.toKeys(report)
    const at = now - report.agoMs
    const lateMs = report.lateMs + (isDated ? lagMs() : 0)
    const added = new Set<string>()
    const crashed = report.crashed.filter(endpoint => {
      const news = addCrash(keys, report.isTrial ? keys : [], { endpoint, at, startedAt: at - report.ranMs, lateMs, knownAt: now }, from)
      for (const key of news) added.add(key)
      return news.length > 0
    })
    for (const key of keys) tellRefuted(key, report.crashed.filter(endpoint => ledger.isRefuted(key, endpoint, at)), now)
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
      if (reason === 'restarted') ledger.forgetResponse(endpoint)
      tracker.confirmDown(endpoint, now, reason)
    },
    confirmUp (endpoint, sentAt, now, response) {
      tracker.confirmUp(endpoint, sentAt)
      if (suspects.atCrash(endpoint).size === 0) return
      const [key] = ledger.retract(endpoint, sentAt, crashLedgers.SELF, response)
      if (key !== undefined) send([crashReports.toCrashReport(key, { hasSucceeded: hasSucceeded(key), survived: [endpoint], agoMs: Math.max(0, Math.round(now - sentAt)) })])
    },
    merge (list, now, from, isDated = true) {
      prune(now)
      return list.flatMap(report => mergeReport(report, now, from, isDated) ?? [])
    },
    isSuspected: keys => keys.some(key => {
      const suspect = suspects.get(key)
      return suspect !== undefined && suspectTables.isNearQuarantine(suspect)
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
      for (const [key, startedAt] of evidence.findRefuted(now)) complete([key], startedAt, now)
      return reports.ofMostSuspected(now)
    }
  }
}
