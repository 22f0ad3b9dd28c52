/**
 * Quarantine of requests that crash endpoints. A run that is lost or abandoned counts as a crash if its endpoint is then found to be
 * down or to have been restarted. Instances exchange the crashes, so that a request is rejected at all of them once the evidence
 * suffices; see crashEvidence.ts. A completed run at any instance clears the request.
 */
import * as contracts from '@kingcupdeck/contracts'
import type * as discovery from '@kingcupdeck/discovery'
import type * as telemetry from '@kingcupdeck/telemetry'
import * as crashEvidences from './crashEvidence.js'

/** Why a quarantined request is rejected. */
export const QUARANTINED_WHY = 'this request crashed the endpoints that ran it'

/** What an instance knows about a suspected request, as exchanged between entry instances. */
export interface CrashReport {
  fingerprint: string
  /** Incarnations of the endpoints that went down with the request in flight. */
  crashed: string[]
  /** Time since then, in milliseconds. */
  agoMs: number
  /** Whether the request completed a run, so that its crashes no longer count. */
  isCleared: boolean
  /** Whether the request is in flight at other endpoints since before the crashes. */
  hasSurvivors: boolean
  /** Whether the request completed a run before the crashes. */
  hasSucceeded: boolean
}

/**
 * How a run ended: with a success, without a complete response, without a response because the client left or the deadline passed,
 * or in a way that says nothing about crashes.
 */
export type RunEnd = 'completed' | 'lost' | 'abandoned' | 'inconclusive'

/** A request that was sent to an endpoint. */
export interface Run {
  /** Records how the run ended; only the first call counts. */
  end (how: RunEnd, now: number): void
}

/** How an endpoint was found to be down: it refused a connection, did not answer, or was announced with a later start. */
export type DownReason = 'refused' | 'silent' | 'restarted'

/** Requests that are suspected of crashing endpoints. */
export interface CrashQuarantine {
  /** @param endpoint incarnation of the endpoint */
  startRun (fingerprint: string, endpoint: string, now: number): Run
  /** Records that an endpoint is down; the runs that it lost become crashes. */
  confirmDown (endpoint: string, now: number, reason: DownReason): void
  /** Records that an endpoint responded. */
  confirmUp (endpoint: string): void
  /** Merges the reports of another instance. @returns those that were not known */
  merge (reports: readonly CrashReport[], now: number, from?: string): CrashReport[]
  /** Returns whether endpoints crashed while the request was running, so that one more may quarantine it. */
  isSuspected (fingerprint: string): boolean
  /** Returns whether the request must not be sent to any endpoint. */
  isQuarantined (fingerprint: string, now: number): boolean
  /** Returns the quarantined requests, latest last. */
  quarantined (now: number): discovery.QuarantinedRequest[]
  /** Returns reports of the requests with most crashes, for instances that may have missed them. */
  toReports (now: number): CrashReport[]
}

/** Options of {@link createCrashQuarantine}. */
export interface CrashQuarantineOptions {
  log?: telemetry.Log
  /** Sends reports to the other instances. */
  send?: (reports: CrashReport[]) => void
  /** Finds out whether an endpoint is down, and confirms it if so. */
  checkEndpoint?: (endpoint: string) => void
}

/** A run counts as a crash if its endpoint is found to be unreachable within this time. */
const UNREACHABLE_MS = 3000
/** A run counts as a crash if a later start of its endpoint is announced within this time. */
const RESTARTED_MS = 15_000
/** Time for which suspicions are kept after the last crash. */
const RETENTION_MS = 600_000
const PRUNE_INTERVAL_MS = 1000
const MAX_SUSPECTS = 5000
const MAX_COMPLETIONS = 5000
const MAX_LOST_RUNS = 1000
const MAX_REPORTED_SUSPECTS = 30
/** Time for which the report of another instance that a request survives is valid. */
const SURVIVORS_TTL_MS = 3000
/** Minimum interval between reports of the same kind about one request. */
const REPORT_INTERVAL_MS = 1000

interface RunState { fingerprint: string, endpoint: string, startedAt: number }
interface LostRun { fingerprint: string, how: 'lost' | 'abandoned', at: number }
interface KnownCrash extends crashEvidences.Crash { isCleared: boolean }
interface Suspect {
  crashes: Map<string, KnownCrash>
  lastCrashAt: number
  /** Until when another instance reports that the request survives. */
  survivorsUntil: number
  /** When survivors of this instance were reported last. */
  survivorsReportedAt: number
  /** When all crashes were reported last, because another instance seemed not to know them. */
  reportedAt: number
  hasSucceeded: boolean
  /** Whether the evidence sufficed when it was last looked at. */
  isQuarantined: boolean
}

/** Creates an empty quarantine. */
export function createCrashQuarantine (opts: CrashQuarantineOptions = {}): CrashQuarantine {
  const { log, send = () => {}, checkEndpoint = () => {} } = opts
  const runs = new Map<string, Set<RunState>>()
  const lostRuns = new Map<string, LostRun[]>()
  const suspects = new Map<string, Suspect>()
  /** Endpoints that are or were down, and when this was found last. */
  const downs = new Map<string, { at: number, reason: DownReason }>()
  /** Requests that were in flight at each crashed endpoint. */
  const fingerprintsByCrash = new Map<string, Set<string>>()
  /** Time of the last completed run of recent requests, oldest first. */
  const completions = new Map<string, number>()
  let prunedAt = -Infinity

  const toCrashes = (suspect: Suspect): KnownCrash[] => [...suspect.crashes.values()].filter(item => !item.isCleared)

  const toReport = (fingerprint: string, change: Partial<CrashReport>): CrashReport => ({ fingerprint, crashed: [], agoMs: 0, isCleared: false, hasSurvivors: false, hasSucceeded: completions.has(fingerprint) || suspects.get(fingerprint)?.hasSucceeded === true, ...change })

  const toCrashReports = (fingerprint: string, suspect: Suspect, now: number): CrashReport[] => {
    return toCrashes(suspect).map(({ endpoint, at }) => toReport(fingerprint, { crashed: [endpoint], agoMs: Math.max(0, Math.round(now - at)) }))
  }

  const forget = (fingerprint: string, suspect: Suspect): void => {
    suspects.delete(fingerprint)
    for (const endpoint of suspect.crashes.keys()) {
      const others = fingerprintsByCrash.get(endpoint)
      others?.delete(fingerprint)
      if (others?.size === 0) fingerprintsByCrash.delete(endpoint)
    }
  }

  /** Forgets the oldest request that was lost once, which is the least conclusive. */
  const forgetOne = (): void => {
    const [oldest] = suspects
    const [fingerprint, suspect] = [...suspects].find(item => item[1].crashes.size === 1) ?? oldest
    forget(fingerprint, suspect)
  }

  const prune = (now: number): void => {
    if (now - prunedAt < PRUNE_INTERVAL_MS) return
    prunedAt = now
    for (const [endpoint, { at }] of downs) if (now - at > RETENTION_MS) downs.delete(endpoint)
    for (const [endpoint, list] of lostRuns) if (list.every(item => now - item.at > RESTARTED_MS)) lostRuns.delete(endpoint)
    for (const [fingerprint, suspect] of suspects) {
      if (now - suspect.lastCrashAt > RETENTION_MS && !isQuarantined(fingerprint, now)) forget(fingerprint, suspect)
    }
  }

  const addCrash = (fingerprint: string, endpoint: string, at: number, from: string): boolean => {
    const suspect: Suspect = suspects.get(fingerprint) ?? { crashes: new Map(), lastCrashAt: at, survivorsUntil: -Infinity, survivorsReportedAt: -Infinity, reportedAt: -Infinity, hasSucceeded: false, isQuarantined: false }
    if (suspect.crashes.has(endpoint)) return false
    suspect.crashes.set(endpoint, { endpoint, at, isCleared: false })
    suspect.lastCrashAt = Math.max(suspect.lastCrashAt, at)
    suspects.set(fingerprint, suspect)
    if (suspects.size > MAX_SUSPECTS) forgetOne()
    const others = fingerprintsByCrash.get(endpoint) ?? new Set()
    fingerprintsByCrash.set(endpoint, others.add(fingerprint))
    if (!downs.has(endpoint)) downs.set(endpoint, { at, reason: 'refused' })
    log?.event('requestSuspected', { fingerprint, endpoint, crashes: toCrashes(suspect).length, from })
    // A run that is still in flight speaks for the request only if its endpoint is not down unnoticed.
    if (suspect.crashes.size >= crashEvidences.QUARANTINE_CRASHES) {
      const survivors = new Set([...runs.get(fingerprint) ?? []].map(run => run.endpoint))
      for (const survivor of survivors) if (!downs.has(survivor)) checkEndpoint(survivor)
    }
    return true
  }

  const clear = (fingerprint: string, from: string): boolean => {
    const suspect = suspects.get(fingerprint)
    const crashes = suspect === undefined ? [] : toCrashes(suspect)
    if (suspect === undefined || crashes.length === 0) return false
    for (const crash of crashes) crash.isCleared = true
    suspect.isQuarantined = false
    log?.event('requestCleared', { fingerprint, crashes: crashes.length, from })
    return true
  }

  const recordCompletion = (fingerprint: string, now: number): void => {
    completions.delete(fingerprint)
    completions.set(fingerprint, now)
    if (completions.size > MAX_COMPLETIONS) completions.delete(completions.keys().next().value as string)
  }

  const recordLost = (run: RunState, how: LostRun['how'], now: number): void => {
    const down = downs.get(run.endpoint)
    if (down !== undefined && isCrash(how, now - down.at, down.reason)) {
      if (addCrash(run.fingerprint, run.endpoint, now, 'self')) send([toReport(run.fingerprint, { crashed: [run.endpoint] })])
      return
    }
    const list = lostRuns.get(run.endpoint) ?? []
    lostRuns.set(run.endpoint, list)
    while (list.length > 0 && (list.length >= MAX_LOST_RUNS || now - list[0].at > RESTARTED_MS)) list.shift()
    list.push({ fingerprint: run.fingerprint, how, at: now })
  }

  /** Returns whether a run that began before a crash is still in flight at another endpoint. */
  const hasOwnSurvivors = (fingerprint: string, suspect: Suspect, at: number): boolean => {
    for (const run of runs.get(fingerprint) ?? []) {
      if (run.startedAt < at && !suspect.crashes.has(run.endpoint) && !downs.has(run.endpoint)) return true
    }
    return false
  }

  const hasSurvivors = (fingerprint: string, suspect: Suspect, at: number, now: number): boolean => {
    return suspect.survivorsUntil > now || hasOwnSurvivors(fingerprint, suspect, at)
  }

  /** Returns whether another request was lost in the same crashes and is no less suspicious. */
  const hasRival = (fingerprint: string, crashes: readonly KnownCrash[], now: number): boolean => {
    const [first, ...rest] = crashes
    for (const other of fingerprintsByCrash.get(first.endpoint) ?? []) {
      const suspect = suspects.get(other)
      if (other === fingerprint || suspect === undefined || suspect.crashes.get(first.endpoint)?.isCleared !== false) continue
      if (rest.every(item => suspect.crashes.get(item.endpoint)?.isCleared === false) && !hasSurvivors(other, suspect, first.at, now)) return true
    }
    return false
  }

  /** Returns whether a quarantined request was lost in the same crash, which it then explains. */
  const isExplained = (fingerprint: string, endpoint: string): boolean => {
    for (const other of fingerprintsByCrash.get(endpoint) ?? []) {
      if (other !== fingerprint && suspects.get(other)?.isQuarantined === true) return true
    }
    return false
  }

  const isQuarantined = (fingerprint: string, now: number): boolean => {
    const suspect = suspects.get(fingerprint)
    if (suspect === undefined || suspect.crashes.size < crashEvidences.QUARANTINE_CRASHES) return false
    const known = toCrashes(suspect).sort((a, b) => a.at - b.at)
    const crashes = suspect.isQuarantined ? known : known.filter(item => !isExplained(fingerprint, item.endpoint))
    if (crashes.length < crashEvidences.QUARANTINE_CRASHES) return false
    const hasSucceeded = completions.has(fingerprint) || suspect.hasSucceeded
    const until = crashEvidences.toQuarantineEnd({
      crashes,
      isCoincident: ({ at }) => hasSucceeded || hasSurvivors(fingerprint, suspect, at, now),
      isContested: hasSurvivors(fingerprint, suspect, crashes[0].at, now) || hasRival(fingerprint, crashes, now)
    })
    if (until > now && !suspect.isQuarantined) {
      log?.event('requestQuarantined', { fingerprint, crashes: crashes.length, forMs: Math.round(until - now), endpoints: crashes.map(item => item.endpoint).join(' ') })
    }
    suspect.isQuarantined = until > now
    return suspect.isQuarantined
  }

  /** Tells the other instances what a new crash report does not show. */
  const respond = (fingerprint: string, now: number): void => {
    const suspect = suspects.get(fingerprint)
    if (suspect === undefined) return
    if (hasOwnSurvivors(fingerprint, suspect, suspect.lastCrashAt) && now - suspect.survivorsReportedAt > REPORT_INTERVAL_MS) {
      suspect.survivorsReportedAt = now
      send([toReport(fingerprint, { hasSurvivors: true })])
    }
    // The request was sent although it was quarantined here: the sender does not know it yet.
    if (isQuarantined(fingerprint, now) && now - suspect.reportedAt > REPORT_INTERVAL_MS) {
      suspect.reportedAt = now
      send(toCrashReports(fingerprint, suspect, now))
    }
  }

  const mergeReport = (report: CrashReport, now: number, from: string): CrashReport | undefined => {
    const { fingerprint } = report
    if (report.isCleared) {
      recordCompletion(fingerprint, now)
      return clear(fingerprint, from) ? report : undefined
    }
    const crashed = report.crashed.filter(endpoint => addCrash(fingerprint, endpoint, now - report.agoMs, from))
    const suspect = suspects.get(fingerprint)
    const isSurvivalNew = report.hasSurvivors && suspect !== undefined && suspect.survivorsUntil - now < SURVIVORS_TTL_MS / 2
    if (isSurvivalNew) suspect.survivorsUntil = now + SURVIVORS_TTL_MS
    if (suspect !== undefined && report.hasSucceeded) suspect.hasSucceeded = true
    if (crashed.length > 0) respond(fingerprint, now)
    return crashed.length > 0 || isSurvivalNew ? { ...report, crashed } : undefined
  }

  return {
    startRun (fingerprint, endpoint, now) {
      const run: RunState = { fingerprint, endpoint, startedAt: now }
      const sameRequest = runs.get(fingerprint) ?? new Set()
      runs.set(fingerprint, sameRequest.add(run))
      let isEnded = false
      return {
        end (how, at) {
          if (isEnded) return
          isEnded = true
          sameRequest.delete(run)
          if (sameRequest.size === 0 && runs.get(fingerprint) === sameRequest) runs.delete(fingerprint)
          switch (how) {
            case 'completed':
              recordCompletion(fingerprint, at)
              if (clear(fingerprint, 'self')) send([toReport(fingerprint, { isCleared: true })])
              break
            case 'lost':
            case 'abandoned':
              recordLost(run, how, at)
              break
            case 'inconclusive':
              break
          }
        }
      }
    },
    confirmDown (endpoint, now, reason) {
      prune(now)
      downs.set(endpoint, { at: now, reason })
      const lost = lostRuns.get(endpoint) ?? []
      const crashed = lost.filter(({ how, at }) => isCrash(how, now - at, reason))
      lostRuns.set(endpoint, lost.filter(item => !crashed.includes(item)))
      const reports = crashed
        .filter(({ fingerprint, at }) => addCrash(fingerprint, endpoint, at, 'self'))
        .map(({ fingerprint, at }) => toReport(fingerprint, { crashed: [endpoint], agoMs: Math.round(now - at) }))
      if (reports.length > 0) send(reports)
    },
    confirmUp (endpoint) { downs.delete(endpoint) },
    merge (reports, now, from = 'unknown') {
      if (reports.length > 0) prune(now)
      return reports.flatMap(report => mergeReport(report, now, from) ?? [])
    },
    isSuspected: fingerprint => {
      const suspect = suspects.get(fingerprint)
      return suspect !== undefined && toCrashes(suspect).length >= crashEvidences.QUARANTINE_CRASHES - 1
    },
    isQuarantined,
    quarantined: now => [...suspects].flatMap(([fingerprint, suspect]) => {
      return isQuarantined(fingerprint, now) ? [{ fingerprint, crashed: toCrashes(suspect).map(item => item.endpoint) }] : []
    }),
    toReports (now) {
      prune(now)
      const repeated = [...suspects]
        .filter(([, suspect]) => toCrashes(suspect).length >= crashEvidences.QUARANTINE_CRASHES - 1)
        .sort(([, a], [, b]) => b.crashes.size - a.crashes.size)
      return repeated.slice(0, MAX_REPORTED_SUSPECTS).flatMap(([fingerprint, suspect]) => {
        const reports = toCrashReports(fingerprint, suspect, now)
        return hasOwnSurvivors(fingerprint, suspect, suspect.lastCrashAt) ? [...reports, toReport(fingerprint, { hasSurvivors: true })] : reports
      })
    }
  }
}

/**
 * Returns whether a run was lost because its endpoint went down.
 * @param apartMs time between the two, in milliseconds
 */
function isCrash (how: LostRun['how'], apartMs: number, reason: DownReason): boolean {
  switch (reason) {
    case 'refused': return apartMs < UNREACHABLE_MS
    // An overloaded endpoint does not answer either, and then clients leave.
    case 'silent': return how === 'lost' && apartMs < UNREACHABLE_MS
    case 'restarted': return apartMs < RESTARTED_MS
  }
}

/**
 * Returns a hash that identifies a request across retries: client account, method, path and body.
 * @param account undefined for a request without a client account
 */
export function toFingerprint (account: string | undefined, method: string, url: string, body: Uint8Array): string {
  return contracts.sha256(Buffer.concat([Buffer.from(`${account ?? ''}\n${method}\n${url}\n`), body])).slice(0, 24)
}
