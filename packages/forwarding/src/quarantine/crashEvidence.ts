/**
 * Evidence that a request crashes the endpoints that run it. Whatever is in flight at an endpoint is lost when it goes down, so a
 * crash alone does not tell the request that caused it from those beside it, nor from an outage that had another cause.
 *
 * From three crashes on, a request is sent only as a trial: one run at a time in the whole fleet, and at most three that are not known
 * to have passed. What speaks for the request decides when it is tried, never how often:
 *
 * - If all crashes happened at the same moment and the request survives at another endpoint or succeeded before, it has probably just
 *   been in flight everywhere when several endpoints were lost for another reason; it is not held back while that is being found out.
 * - A crash does not count if several suspected requests that were lost in it too had begun later, because a request that crashes its
 *   endpoint is mostly among the last to begin there.
 * - The crashes as a whole have another explanation if another request was lost in all of them too, or if each is explained by a
 *   request that has crashed enough other endpoints.
 */

/** A crash of an endpoint at which a request was in flight. */
export interface Crash {
  /** Incarnation of the endpoint. */
  endpoint: string
  /** Time of the loss, milliseconds on the monotonic clock. */
  at: number
  /** Time at which the request had been sent to the endpoint, on the same clock. */
  startedAt: number
}

/** What is known about the crashes of a request. */
export interface Evidence {
  /** Crashes since its last completed run, oldest first. */
  crashes: readonly Crash[]
  /** Returns whether the request is in flight at another endpoint since before a crash. */
  hasSurvivors: (crash: Crash) => boolean
  /** Returns whether several other requests that were lost in a crash had begun later. */
  isOutlasted: (crash: Crash) => boolean
  /** Whether the request completed a run before. */
  hasSucceeded: boolean
  /** Returns whether the crashes as a whole have another explanation. */
  isContested: () => boolean
  /** When the request was sent in spite of its crashes, oldest first, without runs whose crash is known. */
  pendingTrials: readonly number[]
}

/** What may be done with a request: send it, send it as a trial, or reject it until a time on the monotonic clock. */
export type Verdict = { kind: 'allowed' } | { kind: 'trial' } | { kind: 'quarantined', until: number }

/** Crashes after which a request is sent only as a trial; fewer may coincide with an unrelated outage. */
export const QUARANTINE_CRASHES = 3
/** Trials that have crashed their endpoint or may still do so, beyond which only {@link MAX_HOLD_MS} allows another one. */
export const MAX_TRIALS = 3
/** Crashes up to which another explanation is considered for the crashes as a whole. */
export const CONTESTED_CRASHES = 5
/** Crashes within this time may be one outage. */
export const COINCIDENCE_MS = 300
/** Time within which it is found out that an outage has another cause than the request. */
const OUTAGE_MS = 3000
/** Minimum time between two trials while the first one has neither completed nor crashed. */
export const TRIAL_INTERVAL_MS = 2000

/** Time after the last crash after which a request that has succeeded before is tried; doubled with each trial that crashes. */
const PROVEN_HOLD_MS = 500
const HOLD_MS = 120_000
/** A request whose trial crashes an endpoint is quarantined this many times longer. */
const HOLD_GROWTH = 5
const MAX_HOLD_MS = 3_600_000

/** Returns the crashes in trials: runs that began after the third crash. */
export function toFailedTrials (crashes: readonly Crash[]): Crash[] {
  const thirdAt = crashes[QUARANTINE_CRASHES - 1]?.at ?? Infinity
  return crashes.filter(item => item.startedAt > thirdAt)
}

/** Returns for how long a request is quarantined after its last crash if nothing speaks for it. */
function toHoldMs (failedTrials: number): number {
  return Math.min(MAX_HOLD_MS, HOLD_MS * HOLD_GROWTH ** failedTrials)
}

/** Returns whether the crashes were probably one outage that the request did not cause. */
function isOutage ({ crashes, hasSucceeded, hasSurvivors }: Evidence, now: number): boolean {
  const [first] = crashes
  const last = crashes[crashes.length - 1]
  return last.at - first.at <= COINCIDENCE_MS && now - last.at < OUTAGE_MS && (hasSucceeded || hasSurvivors(first))
}

/** Decides what may be done with a request. */
export function toVerdict (evidence: Evidence, now: number): Verdict {
  const { crashes, isOutlasted, pendingTrials } = evidence
  if (crashes.length < QUARANTINE_CRASHES || isOutage(evidence, now)) return { kind: 'allowed' }
  const failed = toFailedTrials(crashes).length
  const isDoubtful = (): boolean => crashes.filter(item => !isOutlasted(item)).length < QUARANTINE_CRASHES ||
    (crashes.length < CONTESTED_CRASHES && evidence.isContested())
  const toHold = (): number => {
    if (failed + pendingTrials.length >= MAX_TRIALS) return toHoldMs(failed)
    if (evidence.hasSucceeded) return PROVEN_HOLD_MS * 2 ** failed
    return isDoubtful() ? 0 : toHoldMs(failed)
  }
  const trialAt = (pendingTrials.at(-1) ?? -Infinity) + TRIAL_INTERVAL_MS
  const until = Math.max(trialAt, crashes[crashes.length - 1].at + toHold())
  return now >= until ? { kind: 'trial' } : { kind: 'quarantined', until }
}
