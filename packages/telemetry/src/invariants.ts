/** Invariants checked at run time. A violation is counted and logged in production, and throws in tests and trials. */
import type * as prom from 'prom-client'
import * as log from './log.js'

/** Names of all invariants. */
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
/** Name of an invariant. */
export type Invariant = typeof INVARIANTS[number]

/** How often an invariant was checked and how often it was violated. */
export interface Tally { checked: number, broken: number }

/** Checks and counts invariants. */
export interface Invariants {
  /**
   * Records a check of an invariant and reports a violation.
   * @param detail evaluated only on a violation
   * @throws Error on a violation if `isFatal` is set
   */
  check (name: Invariant, holds: boolean, detail: () => string): void
  tallies (): Record<Invariant, Tally>
}

/** Options of {@link createInvariants}. */
export interface InvariantOptions {
  log: log.Log
  /** Registry for {@link exportTallies}. */
  registry?: prom.Registry
  /** Registers the tallies as metrics; absent in processes that load their metrics later. */
  exportTallies?: (registry: prom.Registry, tallies: Record<Invariant, Tally>) => void
  /** Whether a violation throws. */
  isFatal?: boolean
}

/** Creates the invariant checks of a process. */
export function createInvariants (opts: InvariantOptions): Invariants {
  const tallies = Object.fromEntries(INVARIANTS.map(name => [name, { checked: 0, broken: 0 }])) as Record<Invariant, Tally>
  if (opts.registry !== undefined) opts.exportTallies?.(opts.registry, tallies)
  return {
    check (name, holds, detail) {
      tallies[name].checked++
      if (holds) return
      tallies[name].broken++
      const message = detail()
      opts.log.event('invariantBroken', { invariant: name, detail: message })
      if (opts.isFatal) throw new Error(`invariant ${name} violated: ${message}`)
    },
    tallies: () => tallies
  }
}
