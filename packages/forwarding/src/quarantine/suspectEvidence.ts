/** Collects what is known about the crashes of a suspected request, and about the requests that were lost in them too. */
import * as crashEvidences from './crashEvidence.js'
import type * as runTrackers from './runTracker.js'
import * as suspectTables from './suspectTable.js'

/** Options of {@link createSuspectEvidence}. */
export interface SuspectEvidenceOptions {
  suspects: suspectTables.SuspectTable
  tracker: Pick<runTrackers.RunTracker, 'endpointsOf'>
  /** Returns whether a request has completed a run before. */
  hasSucceeded: (fingerprint: string) => boolean
}

/** What is known about suspected requests. */
export interface SuspectEvidence {
  collect (fingerprint: string, suspect: suspectTables.Suspect, now: number): crashEvidences.Evidence
  /** Returns whether a run of this instance that began before a time is still in flight at an endpoint that is not known to have crashed. */
  hasOwnSurvivors (fingerprint: string, suspect: suspectTables.Suspect, at: number): boolean
}

/**
 * A crash is probably due to a request that began later if at least this many, and this share of those lost in it, did, each with
 * so many crashes.
 */
const MIN_LATER = 4
const MIN_LATER_SHARE = 0.2
const MIN_LATER_CRASHES = 2
/** Time after which a trial without a result no longer counts; a crash is known before. */
const TRIAL_TTL_MS = 15_000
/** Maximum difference between the start of a trial and what a report says of it. */
const TRIAL_MATCH_MS = 500

/** Creates a view on the suspects of an instance. */
export function createSuspectEvidence ({ suspects, tracker, hasSucceeded }: SuspectEvidenceOptions): SuspectEvidence {
  const hasOwnSurvivors = (fingerprint: string, suspect: suspectTables.Suspect, at: number): boolean => {
    return [...tracker.endpointsOf(fingerprint, at)].some(endpoint => !suspect.crashes.has(endpoint))
  }

  const hasSurvivors = (fingerprint: string, suspect: suspectTables.Suspect, at: number, now: number): boolean => {
    return suspect.survivorsUntil > now || hasOwnSurvivors(fingerprint, suspect, at)
  }

  /** Returns the other requests that were lost in a crash. */
  const findOthers = (fingerprint: string, endpoint: string): Array<[fingerprint: string, suspect: suspectTables.Suspect]> => {
    return [...suspects.atCrash(endpoint)].flatMap(other => {
      const suspect = suspects.get(other)
      return other === fingerprint || suspect === undefined ? [] : [[other, suspect]]
    })
  }

  const isOutlasted = (fingerprint: string, { endpoint, startedAt }: crashEvidences.Crash): boolean => {
    const others = findOthers(fingerprint, endpoint)
    const later = others.filter(([, { crashes }]) => {
      const crash = crashes.get(endpoint)
      return crashes.size >= MIN_LATER_CRASHES && crash?.isCleared === false && crash.startedAt > startedAt
    })
    return later.length >= Math.max(MIN_LATER, MIN_LATER_SHARE * (others.length + 1))
  }

  /** Returns whether another request was lost in the same crashes and is no less suspicious. */
  const hasRival = (fingerprint: string, crashes: readonly crashEvidences.Crash[], now: number): boolean => {
    return findOthers(fingerprint, crashes[0].endpoint).some(([other, suspect]) => {
      return crashes.every(item => suspect.crashes.get(item.endpoint)?.isCleared === false) && !hasSurvivors(other, suspect, crashes[0].at, now)
    })
  }

  /** Returns whether each of the crashes is explained by a request that has crashed enough other endpoints too. */
  const areAllExplained = (fingerprint: string, crashes: readonly crashEvidences.Crash[]): boolean => {
    return crashes.every(({ endpoint }) => findOthers(fingerprint, endpoint).some(([, other]) => {
      const further = suspectTables.toOpenCrashes(other).filter(item => crashes.every(crash => crash.endpoint !== item.endpoint))
      return further.length >= crashEvidences.QUARANTINE_CRASHES
    }))
  }

  return {
    hasOwnSurvivors,
    collect (fingerprint, suspect, now) {
      const crashes = suspectTables.toOpenCrashes(suspect)
      return {
        crashes,
        hasSucceeded: hasSucceeded(fingerprint),
        hasSurvivors: ({ at }) => hasSurvivors(fingerprint, suspect, at, now),
        isOutlasted: crash => isOutlasted(fingerprint, crash),
        isContested: () => hasRival(fingerprint, crashes, now) || areAllExplained(fingerprint, crashes),
        pendingTrials: toPendingTrials(suspect.trials.filter(at => now - at < TRIAL_TTL_MS), crashEvidences.toFailedTrials(crashes))
      }
    }
  }
}

/** Returns the trials without those whose crash is known. */
function toPendingTrials (trials: readonly number[], failed: readonly crashEvidences.Crash[]): number[] {
  const pending = [...trials]
  for (const { startedAt } of failed) {
    const i = pending.findIndex(at => Math.abs(startedAt - at) < TRIAL_MATCH_MS)
    if (i >= 0) pending.splice(i, 1)
  }
  return pending
}
