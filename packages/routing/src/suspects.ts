/**
 * Requests that were in flight on endpoints when these died. A request seen at one death is a suspect and runs apart from
 * other suspects; seen at two deaths it is quarantined. The fingerprint leaves out the key and the attempt, because the
 * caller sends the same request again.
 */

/** News of suspects, as peers exchange it. */
export interface SuspectReport { fingerprint: string, boots: string[], ageMs: number }

/** The suspects that an instance knows of. */
export interface Suspects {
  /** Notes that a request was in flight on an endpoint that died. @returns whether this was news */
  record (fingerprint: string, boot: string, ageMs?: number): boolean
  /** @returns at how many deaths it was seen */
  crashCount (fingerprint: string): number
  isQuarantined (fingerprint: string): boolean
  /** @returns milliseconds until it may be tried again */
  remainingMs (fingerprint: string): number
  /** @returns what is known, for peers: of some requests, or of the latest */
  toReports (fingerprints?: readonly string[]): SuspectReport[]
  /** Takes what a peer knows. @returns whether anything was news */
  merge (news: readonly SuspectReport[]): boolean
}

/** Deaths after which a request is held back. */
export const QUARANTINE_CRASHES = 2
const REMEMBER_MS = 10 * 60 * 1000
const MAX_SUSPECTS = 10_000
const MAX_NEWS = 30

interface Suspect { boots: Set<string>, at: number }

/**
 * Creates the suspects.
 * @param now monotonic milliseconds
 * @returns none yet
 */
export function createSuspects (now: () => number = () => performance.now()): Suspects {
  const known = new Map<string, Suspect>()

  const find = (fingerprint: string): Suspect | undefined => {
    const suspect = known.get(fingerprint)
    if (suspect === undefined || now() - suspect.at < REMEMBER_MS) return suspect
    known.delete(fingerprint)
    return undefined
  }

  const note = (fingerprint: string, boot: string, ageMs = 0): boolean => {
    const suspect = find(fingerprint) ?? { boots: new Set<string>(), at: now() - ageMs }
    if (suspect.boots.has(boot)) return false
    suspect.boots.add(boot)
    suspect.at = Math.max(suspect.at, now() - ageMs)
    known.delete(fingerprint)
    known.set(fingerprint, suspect)
    if (known.size > MAX_SUSPECTS) known.delete(known.keys().next().value as string)
    return true
  }

  return {
    record: note,
    crashCount: fingerprint => find(fingerprint)?.boots.size ?? 0,
    isQuarantined: fingerprint => (find(fingerprint)?.boots.size ?? 0) >= QUARANTINE_CRASHES,
    remainingMs: fingerprint => {
      const suspect = find(fingerprint)
      return suspect === undefined ? 0 : REMEMBER_MS - (now() - suspect.at)
    },
    toReports: (fingerprints = [...known.keys()].slice(-MAX_NEWS)) => fingerprints.flatMap(fingerprint => {
      const suspect = find(fingerprint)
      return suspect === undefined ? [] : [{ fingerprint, boots: [...suspect.boots], ageMs: Math.round(now() - suspect.at) }]
    }),
    merge: news => news.map(item => item.boots.map(boot => note(item.fingerprint, boot, item.ageMs)).some(Boolean)).some(Boolean)
  }
}
