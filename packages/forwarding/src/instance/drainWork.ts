/** Completion of the open work of an instance that is stopping. */
import * as timers from 'node:timers/promises'

/** Options of {@link drainWork}. */
export interface DrainWorkOptions {
  /** Length of the grace period, in milliseconds. */
  graceMs: number
  /** Returns the number of open requests and tunnels. */
  openWork: () => number
  stopListening: () => void
  /** Answers the open requests that have no response yet. */
  answerOpen: () => void
  now: () => number
}

/** Time before the end of the grace period at which the instance stops listening. Clients have asked for addresses again by then. */
const STOP_LISTENING_MARGIN_MS = 1200
/** Time before the end of the grace period at which requests without a response are answered. */
const ANSWER_MARGIN_MS = 450
/** Time before the end of the grace period at which the instance exits; until then, responses that have begun may be completed. */
const EXIT_MARGIN_MS = 300
/** A draining instance without open requests for this time stops early: its clients have been directed to other instances. */
const DRAIN_IDLE_MS = 2500
const DRAIN_POLL_MS = 50

/** Waits until an instance without further clients has completed its work, or the grace period ends. @returns how long it took, in milliseconds */
export async function drainWork ({ graceMs, openWork, stopListening, answerOpen, now }: DrainWorkOptions): Promise<number> {
  const startedAt = now()
  const elapsed = (): number => now() - startedAt
  let idleSince = startedAt
  while (elapsed() < graceMs - STOP_LISTENING_MARGIN_MS) {
    if (openWork() > 0) idleSince = now()
    if (now() - idleSince > DRAIN_IDLE_MS) break
    await timers.setTimeout(DRAIN_POLL_MS)
  }
  stopListening()
  while (openWork() > 0 && elapsed() < graceMs - ANSWER_MARGIN_MS) await timers.setTimeout(DRAIN_POLL_MS)
  answerOpen()
  while (openWork() > 0 && elapsed() < graceMs - EXIT_MARGIN_MS) await timers.setTimeout(DRAIN_POLL_MS)
  return Math.round(elapsed())
}
