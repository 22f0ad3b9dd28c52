/**
 * Evidence that a suspect, a request or a part of prompts, crashes the endpoints that run it. Whatever is in flight at an endpoint is
 * lost when it goes down, so a crash alone does not tell the suspect that caused it from those beside it, nor from an outage that had
 * another cause.
 *
 * From three crashes on, a suspect is sent only as a trial: one run at a time in the whole fleet, and at most three that are not known
 * to have passed. What speaks for it decides when it is tried, never how often:
 *
 * - If all crashes happened at the same moment and the suspect survives at another endpoint or succeeded before, it has probably just
 *   been in flight everywhere when several endpoints were lost for another reason; it is not held back while that is being found out.
 * - A crash does not count if several suspected requests that were lost in it too had begun later, because a request that crashes its
 *   endpoint is mostly among the last to begin there.
 * - The crashes as a whole have another explanation if another suspect was lost in all of them too, or if each is explained by a
 *   suspect that has crashed enough other endpoints. A suspect of the same request explains nothing: sending it would not tell the two
 *   apart.
 *
 * A part that is shared by much of the traffic is lost in nearly every crash. Up to five crashes, and for a moment after them, it is
 * not held back while responses with it go on that began after the first of them.
 *
 * Crashes do not count against a suspect that has succeeded before if they are explained by another one which has not: against a part up
 * to its fifth crash, against a request for a moment after its third one. If all crashes of a part are explained so, a response that goes
 * on for long clears it like a complete one.
 */

import type * as suspectKeys from './suspectKey.js'

/** A crash of an endpoint at which a suspect was in flight. */
export interface Crash {
  /** Incarnation of the endpoint. */
  endpoint: string
  /** Time of the loss, milliseconds on the monotonic clock. */
  at: number
  /** Time at which the request had been sent to the endpoint, on the same clock. */
  startedAt: number
  /** Whether it was sent as a trial, as far as that is known. */
  isTrial?: boolean
  /** By how much earlier the endpoint may have been lost, since the process that saw it stalled, in milliseconds. */
  lateMs?: number
}

/** What is known about the crashes of a suspect. */
export interface Evidence {
  kind: suspectKeys.SuspectId['kind']
  /** Crashes since its last completed run, oldest first. */
  crashes: readonly Crash[]
  /**
   * Returns whether the request is in flight at another endpoint since before a crash, or whether responses with the part go on that
   * began after it.
   */
  hasSurvivors: (crash: Crash) => boolean
  /** Returns whether several other requests that were lost in a crash had begun later. */
  isOutlasted: (crash: Crash) => boolean
  /** Returns whether another suspect that was lost in a crash has never succeeded and was lost in enough of them to be quarantined. */
  isExplained: (crash: Crash) => boolean
  /** Whether it completed a run before. */
  hasSucceeded: boolean
  /** Whether that would be known, since this instance has been running for long enough. */
  knowsHistory: boolean
  /** Returns whether the crashes as a whole have another explanation. */
  isContested: () => boolean
  /** When it was sent in spite of its crashes, oldest first, without runs whose crash is known. */
  pendingTrials: readonly number[]
}

/** What may be done with a suspect: send it, send it as a trial, or reject it until a time on the monotonic clock. */
export type Verdict = { kind: 'allowed' } | { kind: 'trial' } | { kind: 'quarantined', until: number }

/** Crashes after which a suspect is sent only as a trial; fewer may coincide with an unrelated outage. */
export const QUARANTINE_CRASHES = 3
/** Trials that have crashed their endpoint or may still do so, beyond which only {@link MAX_HOLD_MS} allows another one. */
export const MAX_TRIALS = 3
/** Crashes of a request up to which another explanation is considered for the crashes as a whole. */
export const CONTESTED_CRASHES = 5
/** Crashes within this time may be one outage. */
export const COINCIDENCE_MS = 300
/** Time within which it is found out that an outage has another cause than the suspect. */
const OUTAGE_MS = 3000
/** Crashes of a part up to which other causes of them are considered. */
const PART_CRASHES = 5
/** Time after the last of these for which responses that go on speak for the part. */
const RESPONDING_MS = 2000
/**
 * Time after the crash from which on the number of sends is limited, within which trials of a suspect that has succeeded before are
 * limited in frequency only; and the number of trials after it.
 */
const SETTLING_MS = 2500
const MAX_SETTLED_TRIALS = 2
/** Minimum time between two trials while the first one has neither completed nor crashed. */
export const TRIAL_INTERVAL_MS = 2000
/** The same for a part while a response with it goes on. */
export const MIN_TRIAL_INTERVAL_MS = 500

/** Time after the last crash after which a suspect that has succeeded before is tried; doubled with each trial that crashes. */
const PROVEN_HOLD_MS = 500
const MAX_PROVEN_HOLD_MS = 4000
const HOLD_MS = 120_000
/** Time after the last crash of a part after which it is tried for the first time, if it is not known what has succeeded. */
const UNKNOWN_PART_HOLD_MS = 2000
/** A suspect whose trial crashes an endpoint is quarantined this many times longer. */
const HOLD_GROWTH = 5
const MAX_HOLD_MS = 3_600_000

/**
 * Returns the crashes in trials. For a request these are all runs that began after the third crash; a part may also have been lost in
 * the trial of another suspect, or while it was not held back.
 */
export function toFailedTrials (kind: Evidence['kind'], crashes: readonly Crash[]): Crash[] {
  const thirdAt = crashes[QUARANTINE_CRASHES - 1]?.at ?? Infinity
  return crashes.filter(item => kind === 'part' ? item.isTrial === true : item.startedAt > thirdAt)
}

/** Returns for how long a suspect is quarantined after its last crash if nothing speaks for it. */
function toHoldMs (failedTrials: number): number {
  return Math.min(MAX_HOLD_MS, HOLD_MS * HOLD_GROWTH ** failedTrials)
}

/** Returns how far apart the crashes were at least. A stall excuses no more than an outage, whatever an instance reports. */
function toSpreadMs (crashes: readonly Crash[]): number {
  const [first] = crashes
  return Math.max(...crashes.map(({ at, lateMs = 0 }) => at - Math.min(lateMs, OUTAGE_MS))) - first.at
}

/** Returns whether the crashes were probably one outage that the suspect did not cause. */
function isOutage ({ crashes, hasSucceeded, hasSurvivors }: Evidence, now: number): boolean {
  const [first] = crashes
  const last = crashes[crashes.length - 1]
  return toSpreadMs(crashes) <= COINCIDENCE_MS && now - last.at < OUTAGE_MS && (hasSucceeded || hasSurvivors(first))
}

/** Returns whether a part that much of the traffic shares was probably only beside what crashed the endpoints. */
function isResponding ({ kind, crashes, hasSurvivors }: Evidence, now: number): boolean {
  if (kind === 'request') return false
  const last = crashes[PART_CRASHES - 1]
  return (last === undefined || now - last.at < RESPONDING_MS) && hasSurvivors(crashes[0])
}

/** Returns whether a suspect that has succeeded was lost in too few crashes that are not explained by others. */
function isExplainedByOthers ({ kind, crashes, hasSucceeded, isExplained }: Evidence, now: number): boolean {
  if (!hasSucceeded || crashes.length >= PART_CRASHES) return false
  if (kind === 'request' && now - crashes[QUARANTINE_CRASHES - 1].at > SETTLING_MS) return false
  return crashes.filter(item => !isExplained(item)).length < QUARANTINE_CRASHES
}

/**
 * Returns whether no further trial may be made for long. Trials of a suspect that is widely used are often lost to another one that is
 * not known yet; they count once the crashes of that have had time to become known.
 */
function areTrialsUsedUp ({ kind, crashes, hasSucceeded, pendingTrials }: Evidence): boolean {
  const startedAt = [...toFailedTrials(kind, crashes).map(item => item.startedAt), ...pendingTrials]
  if (!hasSucceeded) return startedAt.length >= MAX_TRIALS
  const limitedFrom = kind === 'part' ? PART_CRASHES : QUARANTINE_CRASHES
  const settledAt = (crashes[limitedFrom - 1]?.at ?? Infinity) + SETTLING_MS
  return startedAt.filter(at => at > settledAt).length >= MAX_SETTLED_TRIALS
}

/** Returns the minimum time between two trials. A part with a response that goes on is tried again sooner, but not more often in all. */
function toTrialIntervalMs ({ kind, crashes, hasSurvivors }: Evidence): number {
  return kind === 'part' && hasSurvivors(crashes[crashes.length - 1]) ? MIN_TRIAL_INTERVAL_MS : TRIAL_INTERVAL_MS
}

/** Decides what may be done with a suspect. */
export function toVerdict (evidence: Evidence, now: number): Verdict {
  const { kind, crashes, isOutlasted, pendingTrials } = evidence
  if (crashes.length < QUARANTINE_CRASHES || isOutage(evidence, now) || isResponding(evidence, now) || isExplainedByOthers(evidence, now)) return { kind: 'allowed' }
  const failed = toFailedTrials(kind, crashes).length
  const isDoubtful = (): boolean => crashes.filter(item => !isOutlasted(item)).length < QUARANTINE_CRASHES ||
    ((kind === 'part' || crashes.length < CONTESTED_CRASHES) && evidence.isContested())
  const toHold = (): number => {
    if (areTrialsUsedUp(evidence)) return toHoldMs(failed)
    if (evidence.hasSucceeded) return Math.min(MAX_PROVEN_HOLD_MS, PROVEN_HOLD_MS * 2 ** failed)
    if (isDoubtful()) return 0
    return kind === 'part' && !evidence.knowsHistory && failed === 0 ? UNKNOWN_PART_HOLD_MS : toHoldMs(failed)
  }
  const trialAt = (pendingTrials.at(-1) ?? -Infinity) + toTrialIntervalMs(evidence)
  const until = Math.max(trialAt, crashes[crashes.length - 1].at + toHold())
  return now >= until ? { kind: 'trial' } : { kind: 'quarantined', until }
}
