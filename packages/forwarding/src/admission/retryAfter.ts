/**
 * Retry-After of rejected requests: the expected duration of the cause, plus jitter against synchronized retries.
 */

/** Why a request is rejected. */
export type RefusalCause =
  /** This instance has started and has no configuration document yet. */
  | { kind: 'starting', /** Time since the process started, in milliseconds. */ uptimeMs: number }
  /** A newer configuration document, which this instance does not have yet, may contain the route or key. */
  | { kind: 'outdated' }
  /** This instance is draining; other instances accept the request. */
  | { kind: 'stopping' }
  /** No endpoint of the service is reachable. */
  | { kind: 'noEndpoint' }
  /** All reachable endpoints are at their connection limits. */
  | { kind: 'noRoom' }
  /** All eligible endpoints exceed the maximum queue delay; `delayMs` is the lowest delay, in milliseconds. */
  | { kind: 'busy', delayMs: number }
  /** An unexpected error; another endpoint or instance may serve the request. */
  | { kind: 'error' }
  /** The request is quarantined; `delayMs` is the time until it may be tried, in milliseconds. */
  | { kind: 'quarantined', delayMs: number }

const MIN_STARTING_MS = 400
/** Clients with seconds to their deadline return once more within this time. */
const MAX_STARTING_MS = 3000
const STOPPING_MS = 20
/** Longer than a document takes to reach all instances; another instance may have it already. */
const OUTDATED_MS = 300
/** Endpoints that crashed are mostly replaced or reachable again after a second. */
const NO_ENDPOINT_MS = 700
/** A connection becomes free as soon as one of many running requests ends. */
const NO_ROOM_MS = 150
const ERROR_MS = 300
/** Multiple of the queue delay after which the client of a rejected request retries: queues of overloaded endpoints shrink slowly. */
const BUSY_DELAY_FACTOR = 5
/** A quarantined request may be tried soon, because a trial of it is running or something speaks for it. */
const MIN_QUARANTINED_MS = 1000
const MAX_QUARANTINED_MS = 30_000
/** Maximum jitter, as a share of the delay. */
const MAX_JITTER_SHARE = 0.5

/**
 * Returns the delay after which the client should retry.
 * @param draw a number in [0, 1)
 * @returns milliseconds
 */
export function toRetryAfterMs (cause: RefusalCause, draw: number): number {
  return toDelayMs(cause) * (1 + MAX_JITTER_SHARE * draw)
}

function toDelayMs (cause: RefusalCause): number {
  switch (cause.kind) {
    // The expected remaining duration of an outage is the duration so far.
    case 'starting': return Math.min(MAX_STARTING_MS, Math.max(MIN_STARTING_MS, cause.uptimeMs))
    case 'stopping': return STOPPING_MS
    case 'outdated': return OUTDATED_MS
    case 'noEndpoint': return NO_ENDPOINT_MS
    case 'noRoom': return NO_ROOM_MS
    case 'error': return ERROR_MS
    case 'busy': return BUSY_DELAY_FACTOR * cause.delayMs
    case 'quarantined': return Math.min(MAX_QUARANTINED_MS, Math.max(MIN_QUARANTINED_MS, cause.delayMs))
  }
}
