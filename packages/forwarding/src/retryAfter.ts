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
  /** This instance stops: another one takes the request at once. */
  | { kind: 'stopping' }
  /** No endpoint of the service can be reached now. */
  | { kind: 'noEndpoint' }
  /** The endpoints that can be reached have no room. */
  | { kind: 'noRoom' }
  /** The request crashed the endpoints that ran it. */
  | { kind: 'quarantined' }

/**
 * A fleet that lost power has documents at its entry instances so long after these started: 1.3 to 1.8 s measured at twelve. Most
 * callers come back only once, so this is for the slowest.
 */
const STARTING_MS = 1900
/** The least that a starting instance asks for. */
const STARTING_LEAST_MS = 400
const STOPPING_MS = 20
/** Endpoints that crashed are mostly replaced or found again after a second. */
const NO_ENDPOINT_MS = 700
/** A place becomes free as soon as one of many running requests ends. */
const NO_ROOM_MS = 150
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
    case 'starting': return Math.max(STARTING_LEAST_MS, STARTING_MS - cause.uptimeMs)
    case 'stopping': return STOPPING_MS
    case 'noEndpoint': return NO_ENDPOINT_MS
    case 'noRoom': return NO_ROOM_MS
    case 'quarantined': return QUARANTINED_MS
  }
}
