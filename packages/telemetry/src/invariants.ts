/**
 * What must always hold, asserted inside the running program. A broken invariant is counted and logged in production and
 * ends the process in tests and trials, so that no broken run can pass unseen.
 */
import type * as prom from 'prom-client'
import * as log from './log.js'

/** The promises that the program checks while it runs. */
export const INVARIANTS = [
  'loadCap',
  'leaseBeforeDispatch',
  'recordBeforeDispatch',
  'answerOrder',
  'attemptMatch',
  'noWorkForLeaving',
  'notRunIsTrue',
  'documentNeverReverts',
  'fenceNeverReverts',
  'voteSyncedBeforeSent',
  'commitNeverReverts',
  'suspectsApart'
] as const
/** A promise that the program checks. */
export type Invariant = typeof INVARIANTS[number]

/** How often an invariant was looked at, and how often it did not hold. */
export interface Tally { checked: number, broken: number }

/** Checks and counts invariants. */
export interface Invariants {
  /**
   * Asserts an invariant.
   * @param name which
   * @param holds whether it holds now
   * @param detail worded only when it does not
   * @throws Error when it does not hold and the program was told to stop then
   */
  check (name: Invariant, holds: boolean, detail: () => string): void
  /** @returns the tallies of all invariants */
  tallies (): Record<Invariant, Tally>
}

/** What invariants are built from. */
export interface InvariantOptions {
  log: log.Log
  /** Where the tallies are shown, with {@link exportTallies}. */
  registry?: prom.Registry
  /** Shows the tallies in the registry; absent in processes that load their metrics later. */
  exportTallies?: (registry: prom.Registry, tallies: Record<Invariant, Tally>) => void
  isFatal?: boolean
}

/**
 * Creates the invariants of one process.
 * @param opts where breaks are logged and counted, and whether one ends the process
 * @returns the invariants
 */
export function createInvariants (opts: InvariantOptions): Invariants {
  const tallies = Object.fromEntries(INVARIANTS.map(name => [name, { checked: 0, broken: 0 }])) as Record<Invariant, Tally>
  if (opts.registry !== undefined) opts.exportTallies?.(opts.registry, tallies)
  return {
    check (name, holds, detail) {
      tallies[name].checked++
      if (holds) return
      tallies[name].broken++
      const text = detail()
      opts.log.event('invariantBroken', { invariant: name, detail: text })
      if (opts.isFatal) throw new Error(`invariant ${name} broken: ${text}`)
    },
    tallies: () => tallies
  }
}
