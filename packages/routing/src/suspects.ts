/**
 * Requests that were in flight on endpoints that crashed. After one crash a request is a suspect and runs isolated from
 * other suspects; after QUARANTINE_CRASHES crashes it is quarantined.
 */

/** A suspect as exchanged between peers. */
export interface SuspectReport {
  fingerprint: string
  /** Process incarnations of the endpoints that crashed with it. */
  boots: string[]
  ageMs: number
  /** Whether it was answered since, so that these crashes no longer count; absent from reports of earlier versions. */
  isCleared?: boolean
}

/** Suspect requests known to this instance. */
export interface Suspects {
  /**
   * Records that a request was in flight on an endpoint that crashed.
   * @param fingerprint identifies the request across resends, so it excludes the idempotency key and the attempt
   * @param boot process incarnation of the crashed endpoint
   * @returns false when this crash was already recorded for the request
   */
  record (fingerprint: string, boot: string, ageMs?: number): boolean
  /**
   * Records that a request was answered, so that its earlier crashes no longer count.
   * @returns whether there were any
   */
  clear (fingerprint: string): boolean
  /** @returns the number of crashes that the request was in flight at */
  crashCount (fingerprint: string): number
  isQuarantined (fingerprint: string): boolean
  /** @returns milliseconds until the suspicion expires; 0 for a request that is not suspected */
  remainingMs (fingerprint: string): number
  /** @returns reports for peers: of the given requests, or of the most recent ones */
  toReports (fingerprints?: readonly string[]): SuspectReport[]
  /** Merges reports from a peer. @returns whether any crash was new */
  merge (reports: readonly SuspectReport[]): boolean
}

/** Number of crashes after which a request is quarantined. */
export const QUARANTINE_CRASHES = 2
const SUSPECT_TTL_MS = 10 * 60 * 1000
const MAX_SUSPECTS = 10_000
const MAX_REPORTS = 30

interface Suspect {
  /** Whether each crash still counts, by process incarnation. */
  boots: Map<string, boolean>
  crashedAt: number
}

/** @param now monotonic milliseconds */
export function createSuspects (now: () => number = () => performance.now()): Suspects {
  const suspects = new Map<string, Suspect>()

  const find = (fingerprint: string): Suspect | undefined => {
    const suspect = suspects.get(fingerprint)
    if (suspect === undefined || now() - suspect.crashedAt < SUSPECT_TTL_MS) return suspect
    suspects.delete(fingerprint)
    return undefined
  }

  const record = (fingerprint: string, boot: string, ageMs = 0): boolean => {
    const suspect = find(fingerprint) ?? { boots: new Map<string, boolean>(), crashedAt: now() - ageMs }
    if (suspect.boots.has(boot)) return false
    suspect.boots.set(boot, true)
    suspect.crashedAt = Math.max(suspect.crashedAt, now() - ageMs)
    suspects.delete(fingerprint)
    suspects.set(fingerprint, suspect)
    if (suspects.size > MAX_SUSPECTS) suspects.delete(suspects.keys().next().value as string)
    return true
  }

  const crashCount = (fingerprint: string): number => [...find(fingerprint)?.boots.values() ?? []].filter(Boolean).length

  const clear = (fingerprint: string, boots: Iterable<string>): boolean => {
    const suspect = find(fingerprint)
    if (suspect === undefined) return false
    const countBefore = crashCount(fingerprint)
    for (const boot of boots) suspect.boots.set(boot, false)
    return crashCount(fingerprint) < countBefore
  }

  return {
    record,
    clear: fingerprint => clear(fingerprint, [...find(fingerprint)?.boots.keys() ?? []]),
    crashCount,
    isQuarantined: fingerprint => crashCount(fingerprint) >= QUARANTINE_CRASHES,
    remainingMs: fingerprint => {
      const suspect = find(fingerprint)
      return suspect === undefined || crashCount(fingerprint) === 0 ? 0 : SUSPECT_TTL_MS - (now() - suspect.crashedAt)
    },
    toReports: (fingerprints = [...suspects.keys()].slice(-MAX_REPORTS)) => fingerprints.flatMap(fingerprint => {
      const suspect = find(fingerprint)
      if (suspect === undefined) return []
      const toReport = (isCleared: boolean): SuspectReport => ({ fingerprint, boots: [...suspect.boots].filter(([, counts]) => counts !== isCleared).map(([boot]) => boot), ageMs: Math.round(now() - suspect.crashedAt), isCleared })
      return [toReport(false), toReport(true)].filter(item => item.boots.length > 0)
    }),
    merge: reports => reports.map(item => {
      if (item.isCleared === true) return clear(item.fingerprint, item.boots)
      return item.boots.map(boot => record(item.fingerprint, boot, item.ageMs)).some(Boolean)
    }).some(Boolean)
  }
}
