/** Limits that the HTTP servers of a process share: connections, what is held for them, and the time that their input takes. */
import * as connectionBudgets from './connectionBudget.js'
import * as heldBytes from './heldBytes.js'
import * as inputSchedulers from './inputScheduler.js'

/** Why a connection was closed, or a request refused, without being handled. */
export const REFUSAL_CAUSES = ['connections', 'memory', 'malformed', 'slow'] as const
export type RefusalCause = typeof REFUSAL_CAUSES[number]

/** The limits of a process. */
export interface ClientLimits {
  connections: connectionBudgets.ConnectionBudget
  held: heldBytes.HeldBytes
  scheduler: inputSchedulers.InputScheduler
  /** Counts a refusal. */
  noteRefused: (cause: RefusalCause) => void
  /** Returns the number of refusals since the start. */
  refused: (cause: RefusalCause) => number
}

/** Options of {@link createClientLimits}. */
export interface ClientLimitsOptions {
  /** Returns the present limit of connections; {@link DEFAULT_MAX_CONNECTIONS} by default. */
  maxConnections?: () => number
  /** Returns the memory of the machine, bytes; unknown by default. */
  memoryBytes?: () => number | undefined
}

const DEFAULT_MAX_CONNECTIONS = 3072

/** Creates the limits of a process. */
export function createClientLimits ({ maxConnections = () => DEFAULT_MAX_CONNECTIONS, memoryBytes = () => undefined }: ClientLimitsOptions = {}): ClientLimits {
  const counts = new Map<RefusalCause, number>()
  const held: heldBytes.HeldBytes = heldBytes.createHeldBytes(heldBytes.createHeldLimit({ memoryBytes, total: () => held.total() }))
  return {
    connections: connectionBudgets.createConnectionBudget(maxConnections),
    held,
    scheduler: inputSchedulers.createInputScheduler(),
    noteRefused (cause) { counts.set(cause, (counts.get(cause) ?? 0) + 1) },
    refused: cause => counts.get(cause) ?? 0
  }
}
