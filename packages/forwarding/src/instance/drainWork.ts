/** Completion of the open work of an instance that is stopping. */
import * as timers from 'node:timers/promises'
import type * as drainTimes from '../admission/drainTimes.js'

/** Options of {@link drainWork}. */
export interface DrainWorkOptions {
  times: drainTimes.DrainTimes
  /** Returns the number of open requests and tunnels. */
  openWork: () => number
  /** Returns the number of client connections. */
  connections: () => number
  stopListening: () => void
  /** Answers the open requests that have no response yet. */
  answerOpen: () => void
  now: () => number
}

/** A draining instance without open requests for this time stops early: its clients have been directed to other instances. */
const DRAIN_IDLE_MS = 2500
const DRAIN_POLL_MS = 50
/** Turns of the event loop, each of which accepts one connection. */
const ACCEPT_TURNS = 50
/** Time for the first request on connections that were opened shortly before the instance stopped listening. */
const FIRST_REQUEST_MS = 100

/** Waits until an instance without further clients has completed its work, or the grace period ends. @returns how long it took, in milliseconds */
export async function drainWork ({ times, openWork, connections, stopListening, answerOpen, now }: DrainWorkOptions): Promise<number> {
  const startedAt = now()
  const elapsed = (): number => now() - startedAt
  let idleSince = startedAt
  const pollUntil = async (ms: number, isDone: () => boolean): Promise<void> => {
    while (elapsed() < ms && !isDone()) await timers.setTimeout(Math.min(DRAIN_POLL_MS, ms - elapsed()))
  }
  const isIdle = (): boolean => {
    if (openWork() > 0) idleSince = now()
    return now() - idleSince > DRAIN_IDLE_MS
  }
  await pollUntil(times.stopListeningMs, isIdle)
  // The kernel resets established connections that were not accepted.
  for (let turn = 0; turn < ACCEPT_TURNS; turn++) await timers.setImmediate()
  stopListening()
  await pollUntil(Math.min(times.answerMs, elapsed() + FIRST_REQUEST_MS), () => connections() === 0)
  await pollUntil(times.answerMs, () => openWork() === 0)
  answerOpen()
  await pollUntil(times.exitMs, () => openWork() === 0)
  return Math.round(elapsed())
}
