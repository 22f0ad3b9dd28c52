/** Steps of a planned stop, derived from the length of its grace period. */

/** Steps of a planned stop, in milliseconds since its start. */
export interface DrainTimes {
  /** End of the time in which an expected duration suffices. */
  expectationMs: number
  /** The instance stops listening. Clients have asked for addresses again by then. */
  stopListeningMs: number
  /** Accepted requests have ended. */
  lastEndMs: number
  /** Requests without a response are answered. */
  answerMs: number
  /** The instance exits; until then, responses that have begun may be completed. */
  exitMs: number
}

/** Time before the end of the grace period, and the highest share of the grace period that it may take. */
interface Margin { ms: number, maxShare: number }

/** Share of the grace period in which an expected duration suffices. Later, clients have asked for other addresses. */
const EXPECTATION_SHARE = 0.36
const STOP_LISTENING_MARGIN: Margin = { ms: 1200, maxShare: 0.25 }
const LAST_END_MARGIN: Margin = { ms: 500, maxShare: 1 / 6 }
const ANSWER_MARGIN: Margin = { ms: 450, maxShare: 0.15 }
const EXIT_MARGIN: Margin = { ms: 300, maxShare: 0.1 }

/**
 * Returns the steps of a stop.
 * @param graceMs length of the grace period, in milliseconds
 */
export function toDrainTimes (graceMs: number): DrainTimes {
  const before = ({ ms, maxShare }: Margin): number => graceMs - Math.min(ms, maxShare * graceMs)
  return {
    expectationMs: EXPECTATION_SHARE * graceMs,
    stopListeningMs: before(STOP_LISTENING_MARGIN),
    lastEndMs: before(LAST_END_MARGIN),
    answerMs: before(ANSWER_MARGIN),
    exitMs: before(EXIT_MARGIN)
  }
}
