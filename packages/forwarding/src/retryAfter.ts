/**
 * When a caller that is refused should come back. A decision without input or output.
 *
 * Load pattern: most clients come back once. One that comes back too early is refused for good, and those that are told the
 * same time come back together; so the time is that at which the cause is expected to be over, spread upwards.
 */

/** Why a request is refused. */
export type RefusalCause =
  /** This instance has just started and has no document yet. */
  | { kind: 'starting', /** Since the process started, milliseconds. */ uptimeMs: number }
  /** Another document may know the request's path or key: this instance waits for it. */
  | { kind: 'outdated' }
  /** This instance stops: another one takes the request at once. */
  | { kind: 'stopping' }
  /** No endpoint of the service can be reached now. */
  | { kind: 'noEndpoint' }
  /** The endpoints that can be reached have no room. */
  | { kind: 'noRoom' }
  /** The endpoints that can be reached begin answers so late, milliseconds. */
  | { kind: 'busy', delayMs: number }
  /** The request crashed the endpoints that ran it. */
  | { kind: 'quarantined' }

/** The least that a starting instance asks for. */
const STARTING_LEAST_MS = 400
/** The most that a starting instance asks for: callers with seconds to go come back once more before they give up. */
const STARTING_MOST_MS = 3000
const STOPPING_MS = 20
/** Longer than a document takes to all instances; another instance may have it already. */
const OUTDATED_MS = 300
/** Endpoints that crashed are mostly replaced or found again after a second. */
const NO_ENDPOINT_MS = 700
/** A place becomes free as soon as one of many running requests ends. */
const NO_ROOM_MS = 150
/** A queue of endpoints that have too much to do shrinks slowly: a caller comes back after this multiple of its length. */
const BUSY_DELAYS = 5
const QUARANTINED_MS = 30_000
/** The latest come this share of the time after the first. */
const SPREAD = 0.5

/**
 * Tells when to come back.
 * @param cause why the request is refused
 * @param draw a number in [0, 1)
 * @returns milliseconds
 */
export function toRetryAfterMs (cause: RefusalCause, draw: number): number {
  return toExpectedMs(cause) * (1 + SPREAD * draw)
}

function toExpectedMs (cause: RefusalCause): number {
  switch (cause.kind) {
    // An outage that has lasted long is likely to last as long again.
    case 'starting': return Math.min(STARTING_MOST_MS, Math.max(STARTING_LEAST_MS, cause.uptimeMs))
    case 'stopping': return STOPPING_MS
    case 'outdated': return OUTDATED_MS
    case 'noEndpoint': return NO_ENDPOINT_MS
    case 'noRoom': return NO_ROOM_MS
    case 'busy': return BUSY_DELAYS * cause.delayMs
    case 'quarantined': return QUARANTINED_MS
  }
}
