/**
 * Evidence that a request crashes the endpoints that run it. Whatever is in flight at an endpoint is lost when it goes down, so a
 * crash alone does not tell the request that caused it from those beside it, nor from an outage that had another cause:
 *
 * - Crashes at the same moment count once if the request survives at another endpoint or succeeded before: it has probably just been
 *   in flight everywhere when several endpoints were lost for another reason.
 * - A crash does not count if a request that is already quarantined was in flight there too.
 * - A request whose crashes have another explanation needs more of them: it survives elsewhere, or another request was lost in all of
 *   them too.
 */

/** A crash of an endpoint at which a request was in flight. */
export interface Crash {
  /** Incarnation of the endpoint. */
  endpoint: string
  /** Time of the loss, milliseconds on the monotonic clock. */
  at: number
}

/** What is known about the crashes of a request. */
export interface Evidence {
  /** Crashes since its last completed run that no quarantined request explains, oldest first. */
  crashes: readonly Crash[]
  /** Whether a crash has a probable cause other than the request. */
  isCoincident: (crash: Crash) => boolean
  /** Whether the crashes as a whole have another explanation. */
  isContested: boolean
}

/** Crashes after which a request is quarantined; fewer may coincide with an unrelated outage. */
export const QUARANTINE_CRASHES = 3
/** The same for a request whose crashes have another explanation, so that the next ones tell them apart. */
export const CONTESTED_CRASHES = 5
/** Coincident crashes within this time count once. */
export const COINCIDENCE_MS = 1000

const HOLD_MS = 120_000
/** A request that crashes an endpoint again after its quarantine is quarantined this many times longer. */
const HOLD_GROWTH = 5
const MAX_HOLD_MS = 3_600_000

/** Counts the crashes of a request; those that coincide with others within {@link COINCIDENCE_MS} count once. */
export function countCrashes ({ crashes, isCoincident }: Pick<Evidence, 'crashes' | 'isCoincident'>): number {
  let count = 0
  let outageAt = -Infinity
  for (const crash of crashes) {
    if (isCoincident(crash)) {
      if (crash.at - outageAt <= COINCIDENCE_MS) continue
      outageAt = crash.at
    }
    count++
  }
  return count
}

/**
 * Returns until when a request is quarantined.
 * @returns milliseconds on the monotonic clock, -Infinity if the evidence does not suffice
 */
export function toQuarantineEnd (evidence: Evidence): number {
  const last = evidence.crashes.at(-1)
  const excess = countCrashes(evidence) - (evidence.isContested ? CONTESTED_CRASHES : QUARANTINE_CRASHES)
  if (last === undefined || excess < 0) return -Infinity
  return last.at + Math.min(MAX_HOLD_MS, HOLD_MS * HOLD_GROWTH ** excess)
}
