/** Log lines about suspects, bounded in number: a crash concerns all parts of all prompts that were in flight. */
import type * as telemetry from '@kingcupdeck/telemetry'
import * as crashEvidences from './crashEvidence.js'
import * as nameLists from './nameList.js'
import * as suspectKeys from './suspectKey.js'

/** Lines about single parts in a second. */
const MAX_PART_LINES = 20
const SECOND_MS = 1000

/** Log lines about suspects. */
export interface SuspectLog {
  /** Logs a crash at which suspects were in flight, with the crashes of each that count. */
  suspected (suspects: ReadonlyArray<{ key: string, crashes: number }>, endpoint: string, from: string, isOwn: boolean): void
  retracted (endpoint: string, requests: number, from: string, why: string | undefined): void
  cleared (suspects: ReadonlyArray<{ key: string, crashed: readonly string[] }>, from: string): void
  quarantined (key: string, evidence: crashEvidences.Evidence, forMs: number, now: number): void
  /** @param isTrial whether it would have been held back otherwise */
  sent (key: string, evidence: crashEvidences.Evidence, to: string, isTrial: boolean, now: number): void
}

/** Creates the log lines of an instance. */
export function createSuspectLog (log: telemetry.Log | undefined): SuspectLog {
  let lines = 0
  let linesSince = -Infinity

  const mayLog = (key: string, now: number): boolean => {
    if (!suspectKeys.isPartKey(key)) return true
    if (now - linesSince > SECOND_MS) {
      linesSince = now
      lines = 0
    }
    return ++lines <= MAX_PART_LINES
  }

  return {
    suspected (suspects, endpoint, from, isOwn) {
      // Many suspects are lost once in an outage; the instance that lost them logs it.
      const requests = suspects.filter(({ key, crashes }) => !suspectKeys.isPartKey(key) && (isOwn || crashes > 1))
      for (const { key, crashes } of requests) log?.event('requestSuspected', { ...suspectKeys.toLogFields(key), endpoint, crashes, from })
      const parts = suspects.filter(({ key, crashes }) => suspectKeys.isPartKey(key) && crashes > 1).sort((a, b) => b.crashes - a.crashes)
      if (parts.length > 0) log?.event('requestSuspected', { parts: nameLists.toNameList(parts.map(({ key, crashes }) => `${toName(key)}: ${crashes}`), ', '), endpoint, crashes: parts[0].crashes, from })
    },
    retracted (endpoint, requests, from, why) { log?.event('crashRetracted', { endpoint, requests, from, why }) },
    cleared (suspects, from) {
      for (const { key, crashed } of suspects) if (!suspectKeys.isPartKey(key)) log?.event('requestCleared', { ...suspectKeys.toLogFields(key), crashes: crashed.length, from })
      const parts = suspects.filter(({ key, crashed }) => suspectKeys.isPartKey(key) && crashed.length > 1)
      if (parts.length > 0) log?.event('requestCleared', { parts: nameLists.toNameList(parts.map(({ key, crashed }) => `${toName(key)}: ${crashed.length}`), ', '), from })
    },
    quarantined (key, evidence, forMs, now) {
      if (!mayLog(key, now)) return
      const { kind, crashes, pendingTrials } = evidence
      log?.event('requestQuarantined', { ...suspectKeys.toLogFields(key), crashes: crashes.length, trials: crashEvidences.toFailedTrials(kind, crashes).length + pendingTrials.length, forMs: Math.round(forMs), ...toFavour(evidence), endpoints: crashes.map(item => item.endpoint).join(' ') })
    },
    sent (key, evidence, to, isTrial, now) {
      if (mayLog(key, now)) log?.event('suspectSent', { ...suspectKeys.toLogFields(key), to, crashes: evidence.crashes.length, isTrial, ...toFavour(evidence) })
    }
  }
}

/** Returns what speaks for a suspect. */
function toFavour ({ hasSucceeded, hasSurvivors, crashes, isContested }: crashEvidences.Evidence): { hasSucceeded: boolean, hasSurvivors: boolean, isContested: boolean } {
  return { hasSucceeded, hasSurvivors: hasSurvivors(crashes[0]), isContested: isContested() }
}

function toName (key: string): string {
  const id = suspectKeys.parseKey(key)
  return id.kind === 'part' ? id.part : id.fingerprint
}
