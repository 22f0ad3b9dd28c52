/** Suspects: requests and parts of prompts that were in flight at crashes of endpoints, and the crashes of each. */
import * as crashEvidences from './crashEvidence.js'

/** A crash at which a suspect was in flight. */
export interface KnownCrash extends crashEvidences.Crash {
  /** Whether the suspect completed a run since then. */
  isCleared: boolean
  /** When this instance learned of it, on the monotonic clock. */
  knownAt: number
  /** Whether it was lost in a trial. */
  isTrial: boolean
}

/** What is known of a suspect. */
export interface Suspect {
  /** By incarnation of the endpoint. */
  crashes: Map<string, KnownCrash>
  lastCrashAt: number
  /** Whether it completed a run before, at any instance. */
  hasSucceeded: boolean
  /** Until when another instance reports that it survives. */
  survivorsUntil: number
  /** When survivors of this instance were reported last. */
  survivorsReportedAt: number
  /** When all crashes were reported last, because another instance seemed not to know them. */
  crashesReportedAt: number
  /** When it was sent in spite of its crashes, as far as this instance knows, oldest first. */
  trials: number[]
  /** Whether it was to be rejected when the evidence was last looked at. */
  isQuarantined: boolean
}

/** The suspects known to an instance. */
export interface SuspectTable {
  size (): number
  get (key: string): Suspect | undefined
  entries (): Array<[key: string, suspect: Suspect]>
  /** Returns the suspects that were in flight at a crash. */
  atCrash (endpoint: string): ReadonlySet<string>
  /** Adds a crash, or that it was a trial. @returns the suspect, or undefined if that was known */
  add (key: string, crash: Omit<KnownCrash, 'isCleared'>): Suspect | undefined
  /** Removes crashes of an endpoint. @returns the suspects concerned */
  retract (endpoint: string, isRetracted: (crash: KnownCrash) => boolean): string[]
  delete (key: string): void
}

const MAX_SUSPECTS = 5000
/** Crashes of one suspect that are kept; cleared ones are dropped first. */
const MAX_CRASHES = 60
const NONE: ReadonlySet<string> = new Set()

/** Returns the crashes of a suspect since its last completed run, oldest first. */
export function toOpenCrashes (suspect: Suspect): KnownCrash[] {
  return [...suspect.crashes.values()].filter(item => !item.isCleared).sort((a, b) => a.at - b.at)
}

/** Returns how many crashes of a suspect count. */
export function countOpenCrashes (suspect: Suspect): number {
  let count = 0
  for (const { isCleared } of suspect.crashes.values()) if (!isCleared) count++
  return count
}

/** Returns whether a suspect has had enough crashes for a quarantine. */
export function isConclusive (suspect: Suspect): boolean {
  return countOpenCrashes(suspect) >= crashEvidences.QUARANTINE_CRASHES
}

/** Returns whether one more crash may quarantine a suspect, or some have. */
export function isNearQuarantine (suspect: Suspect): boolean {
  return countOpenCrashes(suspect) >= crashEvidences.QUARANTINE_CRASHES - 1
}

/** Creates an empty table. */
export function createSuspectTable (): SuspectTable {
  const suspects = new Map<string, Suspect>()
  const keysByCrash = new Map<string, Set<string>>()

  const removeFromCrash = (key: string, endpoint: string): void => {
    const others = keysByCrash.get(endpoint)
    others?.delete(key)
    if (others?.size === 0) keysByCrash.delete(endpoint)
  }

  const remove = (key: string): void => {
    for (const endpoint of suspects.get(key)?.crashes.keys() ?? []) removeFromCrash(key, endpoint)
    suspects.delete(key)
  }

  const forgetOne = (key: string, suspect: Suspect): void => {
    const crashes = [...suspect.crashes.values()]
    const { endpoint } = crashes.find(item => item.isCleared) ?? crashes[0]
    suspect.crashes.delete(endpoint)
    removeFromCrash(key, endpoint)
  }

  /** Removes the least suspected: the oldest one with at most one crash that counts, or the one with the fewest. */
  const removeOne = (): void => {
    let least: { key: string, count: number } | undefined
    for (const [key, suspect] of suspects) {
      const count = countOpenCrashes(suspect)
      if (least === undefined || count < least.count) least = { key, count }
      if (count <= 1) break
    }
    if (least !== undefined) remove(least.key)
  }

  return {
    size: () => suspects.size,
    get: key => suspects.get(key),
    entries: () => [...suspects],
    atCrash: endpoint => keysByCrash.get(endpoint) ?? NONE,
    add (key, crash) {
      const { endpoint, at } = crash
      const known = suspects.get(key)
      const same = known?.crashes.get(endpoint)
      if (same !== undefined) {
        // Several runs of a part may be lost in one crash; the last one to start tells whether it was a trial.
        same.startedAt = Math.max(same.startedAt, crash.startedAt)
        if (same.isTrial || !crash.isTrial) return undefined
        same.isTrial = true
        return known
      }
      if (known === undefined && suspects.size >= MAX_SUSPECTS) removeOne()
      const suspect: Suspect = known ?? { crashes: new Map(), lastCrashAt: at, hasSucceeded: false, survivorsUntil: -Infinity, survivorsReportedAt: -Infinity, crashesReportedAt: -Infinity, trials: [], isQuarantined: false }
      if (suspect.crashes.size >= MAX_CRASHES) forgetOne(key, suspect)
      suspect.crashes.set(endpoint, { ...crash, isCleared: false })
      suspect.lastCrashAt = Math.max(suspect.lastCrashAt, at)
      suspects.set(key, suspect)
      keysByCrash.set(endpoint, (keysByCrash.get(endpoint) ?? new Set()).add(key))
      return suspect
    },
    retract (endpoint, isRetracted) {
      const retracted = [...keysByCrash.get(endpoint) ?? []].filter(key => {
        const crash = suspects.get(key)?.crashes.get(endpoint)
        return crash !== undefined && isRetracted(crash)
      })
      for (const key of retracted) {
        suspects.get(key)?.crashes.delete(endpoint)
        if (suspects.get(key)?.crashes.size === 0) suspects.delete(key)
        removeFromCrash(key, endpoint)
      }
      return retracted
    },
    delete: remove
  }
}
