/** Bounds of the start time and the number of an announcement, which depend on when it is received. */

/**
 * How far the start of a process may lie ahead of the local clock, milliseconds: several times the skew of clocks and the steps by
 * which they are corrected.
 */
export const MAX_AHEAD_MS = 60_000
/** The same for a record from another instance or a file, which the instance that received it has checked by its own clock. */
export const MAX_RELAYED_AHEAD_MS = 86_400_000
/** More announcements per second than a process sends that is refused by each control instance in turn. */
const MAX_ANNOUNCEMENTS_PER_S = 100
/** Number that may have been reached at a start by the local clock, which may be behind. */
const MAX_FIRST_SEQ = 10_000

/** Returns the current Unix time, milliseconds. */
export type UnixClock = () => number

/** Creates a clock that a step of the local clock back does not set back. */
export function createUnixClock (wallNow: () => number = Date.now, now: () => number = () => performance.now()): UnixClock {
  const startedAt = wallNow() - now()
  return () => Math.max(wallNow(), Math.floor(startedAt + now()))
}

/** Start of a process, Unix milliseconds, and number of its announcement. */
export interface Announced { startedAt: number, seq: number }

/**
 * Returns which field no process can have announced, or undefined.
 * @param unixNow when it was received, Unix milliseconds
 * @param maxAheadMs how far the start may lie ahead
 */
export function findImplausible ({ startedAt, seq }: Announced, unixNow: number, maxAheadMs: number): keyof Announced | undefined {
  if (startedAt > unixNow + maxAheadMs) return 'startedAt'
  const ageMs = Math.max(0, unixNow + maxAheadMs - startedAt)
  return seq > MAX_FIRST_SEQ + ageMs / 1000 * MAX_ANNOUNCEMENTS_PER_S ? 'seq' : undefined
}
