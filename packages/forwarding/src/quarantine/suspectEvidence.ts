/** Collects what is known about the crashes of a suspect, and about the suspects that were lost in them too. */
import * as crashEvidences from './crashEvidence.js'
import type * as runTrackers from './runTracker.js'
import * as suspectKeys from './suspectKey.js'
import * as suspectTables from './suspectTable.js'

/** Options of {@link createSuspectEvidence}. */
export interface SuspectEvidenceOptions {
  suspects: suspectTables.SuspectTable
  tracker: Pick<runTrackers.RunTracker, 'endpointsOf' | 'lastResponding'>
  /** Returns whether a suspect has completed a run before. */
  hasSucceeded: (key: string) => boolean
  /** When this instance started, on the monotonic clock. */
  startedAt: number
}

/** What is known about suspects. */
export interface SuspectEvidence {
  /** @param carried keys of the request that is to be sent; none of these explains the crashes of another one */
  collect (key: string, suspect: suspectTables.Suspect, carried: ReadonlySet<string>, now: number): crashEvidences.Evidence
  /** Returns whether runs of this instance at endpoints that are not known to have crashed speak for the suspect. */
  hasOwnSurvivors (key: string, suspect: suspectTables.Suspect, now: number): boolean
  /**
   * Returns the parts whose crashes are all explained by others, and to which an endpoint has been responding here since the last of
   * them, with the start of that run.
   */
  findRefuted (now: number): Array<[key: string, startedAt: number]>
}

/** A response that has lasted for this time shows that its beginning crashed nothing. */
const RESPONDING_MS = 250
/** A response that has lasted for this time refutes the crashes of a part that others explain, as a complete one does. */
const LASTING_MS = 1000
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

/** Time after its start after which an instance has seen responses with most parts that are in use. */
const HISTORY_MS = 10_000
const NOTHING: ReadonlySet<string> = new Set()

/** Creates a view on the suspects of an instance. */
export function createSuspectEvidence ({ suspects, tracker, hasSucceeded, startedAt: instanceStartedAt }: SuspectEvidenceOptions): SuspectEvidence {
  /** @param at time of the crash: a request survives if it began before, a part if it goes on in responses that began later */
  const survives = (key: string, suspect: suspectTables.Suspect, at: number, now: number): boolean => {
    if (suspectKeys.isPartKey(key)) return tracker.lastResponding(key, RESPONDING_MS, now) > at
    return [...tracker.endpointsOf(key, at)].some(endpoint => !suspect.crashes.has(endpoint))
  }

  const hasSurvivors = (key: string, suspect: suspectTables.Suspect, at: number, now: number): boolean => {
    return suspect.survivorsUntil > now || survives(key, suspect, at, now)
  }

  /** Returns the other suspects that were lost in a crash and are not carried by the same request. */
  const findOthers = (key: string, carried: ReadonlySet<string>, endpoint: string): Array<[key: string, suspect: suspectTables.Suspect]> => {
    return [...suspects.atCrash(endpoint)].flatMap(other => {
      const suspect = suspects.get(other)
      return other === key || carried.has(other) || suspect === undefined ? [] : [[other, suspect]]
    })
  }

  const isOutlasted = (key: string, carried: ReadonlySet<string>, { endpoint, startedAt }: crashEvidences.Crash): boolean => {
    if (suspectKeys.isPartKey(key)) return false
    const others = findOthers(key, carried, endpoint).filter(([other]) => !suspectKeys.isPartKey(other))
    const later = others.filter(([, { crashes }]) => {
      const crash = crashes.get(endpoint)
      return crashes.size >= MIN_LATER_CRASHES && crash?.isCleared === false && crash.startedAt > startedAt
    })
    return later.length >= Math.max(MIN_LATER, MIN_LATER_SHARE * (others.length + 1))
  }

  /** Returns whether another suspect is a better explanation than one that has never succeeded. */
  const isNoLessSuspicious = (other: string, key: string): boolean => hasSucceeded(key) || !hasSucceeded(other)

  /** Returns whether another suspect was lost in the same crashes and is no less suspicious. */
  const hasRival = (key: string, carried: ReadonlySet<string>, crashes: readonly crashEvidences.Crash[], now: number): boolean => {
    return findOthers(key, carried, crashes[0].endpoint).some(([other, suspect]) => {
      return isNoLessSuspicious(other, key) && crashes.every(item => suspect.crashes.get(item.endpoint)?.isCleared === false) && !hasSurvivors(other, suspect, crashes[0].at, now)
    })
  }

  /** Returns whether each of the crashes is explained by a suspect that has crashed enough other endpoints too. */
  const areAllExplained = (key: string, carried: ReadonlySet<string>, crashes: readonly crashEvidences.Crash[]): boolean => {
    return crashes.every(({ endpoint }) => findOthers(key, carried, endpoint).some(([other, suspect]) => {
      const further = suspectTables.toOpenCrashes(suspect).filter(item => crashes.every(crash => crash.endpoint !== item.endpoint))
      return further.length >= crashEvidences.QUARANTINE_CRASHES && isNoLessSuspicious(other, key)
    }))
  }

  const isExplained = (key: string, carried: ReadonlySet<string>, endpoint: string): boolean => {
    return findOthers(key, carried, endpoint).some(([other, suspect]) => {
      return suspectTables.isConclusive(suspect) && suspect.crashes.get(endpoint)?.isCleared === false && !hasSucceeded(other)
    })
  }

  return {
    hasOwnSurvivors: (key, suspect, now) => {
      const [first] = suspectTables.toOpenCrashes(suspect)
      return survives(key, suspect, suspectKeys.isPartKey(key) ? first?.at ?? now : suspect.lastCrashAt, now)
    },
    findRefuted: now => suspects.entries().flatMap(([key, suspect]) => {
      if (!suspectKeys.isPartKey(key) || !suspectTables.isConclusive(suspect) || !hasSucceeded(key)) return []
      const startedAt = tracker.lastResponding(key, LASTING_MS, now)
      const crashes = suspectTables.toOpenCrashes(suspect)
      return crashes.every(({ endpoint, at }) => at < startedAt && isExplained(key, NOTHING, endpoint)) ? [[key, startedAt]] : []
    }),
    collect (key, suspect, carried, now) {
      const crashes = suspectTables.toOpenCrashes(suspect)
      const { kind } = suspectKeys.parseKey(key)
      return {
        kind,
        crashes,
        hasSucceeded: hasSucceeded(key),
        knowsHistory: now - instanceStartedAt > HISTORY_MS,
        hasSurvivors: ({ at }) => hasSurvivors(key, suspect, at, now),
        isOutlasted: crash => isOutlasted(key, carried, crash),
        isExplained: crash => isExplained(key, carried, crash.endpoint),
        isContested: () => hasRival(key, carried, crashes, now) || areAllExplained(key, carried, crashes),
        pendingTrials: toPendingTrials(suspect.trials.filter(at => now - at < TRIAL_TTL_MS), crashEvidences.toFailedTrials(kind, crashes))
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
