/** Requests that were in flight at crashes of endpoints, and the crashes of each. */
import type * as crashEvidences from './crashEvidence.js'

/** A crash at which a request was in flight. */
export interface KnownCrash extends crashEvidences.Crash {
  /** Whether the request completed a run since then. */
  isCleared: boolean
  /** When this instance learned of it, on the monotonic clock. */
  knownAt: number
}

/** A request that is suspected of crashing endpoints. */
export interface Suspect {
  /** By incarnation of the endpoint. */
  crashes: Map<string, KnownCrash>
  lastCrashAt: number
  /** Whether the request completed a run before, at any instance. */
  hasSucceeded: boolean
  /** Until when another instance reports that the request survives. */
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
  get (fingerprint: string): Suspect | undefined
  entries (): Array<[fingerprint: string, suspect: Suspect]>
  /** Returns the requests that were in flight at a crash. */
  atCrash (endpoint: string): ReadonlySet<string>
  /** Adds a crash. @returns the suspect, or undefined if the crash was known */
  add (fingerprint: string, crash: Omit<KnownCrash, 'isCleared'>): Suspect | undefined
  /** Removes crashes of an endpoint. @returns the requests concerned */
  retract (endpoint: string, isRetracted: (crash: KnownCrash) => boolean): string[]
  delete (fingerprint: string): void
}

const MAX_SUSPECTS = 5000
const NONE: ReadonlySet<string> = new Set()

/** Returns the crashes of a suspect since its last completed run, oldest first. */
export function toOpenCrashes (suspect: Suspect): KnownCrash[] {
  return [...suspect.crashes.values()].filter(item => !item.isCleared).sort((a, b) => a.at - b.at)
}

/** Creates an empty table. */
export function createSuspectTable (): SuspectTable {
  const suspects = new Map<string, Suspect>()
  const fingerprintsByCrash = new Map<string, Set<string>>()

  const remove = (fingerprint: string): void => {
    for (const endpoint of suspects.get(fingerprint)?.crashes.keys() ?? []) {
      const others = fingerprintsByCrash.get(endpoint)
      others?.delete(fingerprint)
      if (others?.size === 0) fingerprintsByCrash.delete(endpoint)
    }
    suspects.delete(fingerprint)
  }

  /** Removes the oldest request that was lost once, which is the least conclusive. */
  const removeOne = (): void => {
    for (const [fingerprint, suspect] of suspects) {
      if (suspect.crashes.size !== 1) continue
      remove(fingerprint)
      return
    }
    const [oldest] = suspects.keys()
    remove(oldest)
  }

  return {
    get: fingerprint => suspects.get(fingerprint),
    entries: () => [...suspects],
    atCrash: endpoint => fingerprintsByCrash.get(endpoint) ?? NONE,
    add (fingerprint, crash) {
      const { endpoint, at } = crash
      const known = suspects.get(fingerprint)
      if (known?.crashes.has(endpoint) === true) return undefined
      if (known === undefined && suspects.size >= MAX_SUSPECTS) removeOne()
      const suspect: Suspect = known ?? { crashes: new Map(), lastCrashAt: at, hasSucceeded: false, survivorsUntil: -Infinity, survivorsReportedAt: -Infinity, crashesReportedAt: -Infinity, trials: [], isQuarantined: false }
      suspect.crashes.set(endpoint, { ...crash, isCleared: false })
      suspect.lastCrashAt = Math.max(suspect.lastCrashAt, at)
      suspects.set(fingerprint, suspect)
      fingerprintsByCrash.set(endpoint, (fingerprintsByCrash.get(endpoint) ?? new Set()).add(fingerprint))
      return suspect
    },
    retract (endpoint, isRetracted) {
      const retracted = [...fingerprintsByCrash.get(endpoint) ?? []].filter(fingerprint => {
        const crash = suspects.get(fingerprint)?.crashes.get(endpoint)
        return crash !== undefined && isRetracted(crash)
      })
      for (const fingerprint of retracted) {
        suspects.get(fingerprint)?.crashes.delete(endpoint)
        if (suspects.get(fingerprint)?.crashes.size === 0) suspects.delete(fingerprint)
        fingerprintsByCrash.get(endpoint)?.delete(fingerprint)
      }
      if (fingerprintsByCrash.get(endpoint)?.size === 0) fingerprintsByCrash.delete(endpoint)
      return retracted
    },
    delete: remove
  }
}
