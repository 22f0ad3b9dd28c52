/**
 * Constants shared by several packages. Times are in milliseconds and sizes in bytes unless the name has another unit.
 *
 * {@link LEASE_MS} must exceed two renewal intervals plus one election, so that the loss of one control leader does not
 * take an instance out of service.
 */

/** Validity of a lease, counted from the moment the instance SENT the renewal that was granted. */
export const LEASE_MS = 5000
/** Interval between lease renewals. */
export const LEASE_RENEW_INTERVAL_MS = 1000
/** Margin for clock drift that the control leader adds to a lease before it removes the holder. */
export const LEASE_MARGIN_MS = 500

/** Interval between a leader's heartbeats to a follower that is up to date. */
export const HEARTBEAT_INTERVAL_MS = 250
/** Lower bound of the randomized election timeout. */
export const ELECTION_TIMEOUT_MIN_MS = 1000
/** Upper bound of the randomized election timeout. */
export const ELECTION_TIMEOUT_MAX_MS = 2000

/** A busy link is pinged after this long without received data. */
export const LINK_PING_MS = 700
/** A pinged link is destroyed after this long without received data. */
export const LINK_TIMEOUT_MS = 2100
/** A link that is not busy is pinged after this long without received data. */
export const LINK_IDLE_PING_MS = 15_000
/** Maximum size of a frame on a link. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024

/** Maximum size of a caller's request body. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024
/** Maximum size of a configuration document. */
export const MAX_DOCUMENT_BYTES = 8 * 1024 * 1024

/** How long callers may cache the response of the address lookup. */
export const ADDRESS_MAX_AGE_MS = 3000
/** Minimum interval between announcements of an endpoint; an owner of many endpoints requests a longer one. */
export const ANNOUNCE_INTERVAL_MS = 1000
/** Bandwidth budget of an owner for the announcements of all its endpoints. */
export const ANNOUNCE_BUDGET_BYTES_PER_SECOND = 3000
/** Assumed size of an announcement including its HTTP headers. */
export const ANNOUNCE_BYTES = 600
/** An endpoint without an announcement for this many intervals is unresponsive and receives no new work. */
export const ANNOUNCE_TIMEOUT_INTERVALS = 3.5
/** A stream is abandoned after this long without data, including keep-alives, from the engine. */
export const STREAM_IDLE_TIMEOUT_MS = 2500
/** Interval between keep-alive comments that an engine writes while no token is ready. */
export const STREAM_KEEPALIVE_INTERVAL_MS = 500
