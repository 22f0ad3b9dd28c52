/**
 * Named constants that more than one package relies on. Every time is in milliseconds, every size in bytes.
 *
 * The lease times depend on each other: {@link LEASE_MS} must be longer than two renewals plus one election, so that
 * the loss of one control leader does not take an instance out of service.
 */

/** How long an instance may dispatch after the moment it SENT the renewal that was granted. */
export const LEASE_MS = 5000
/** How often an instance renews its lease. */
export const LEASE_RENEW_INTERVAL_MS = 1000
/** Added to a lease by the control leader before it removes the holder: covers differing clock rates. */
export const LEASE_MARGIN_MS = 500

/** How often the leader of a replica group sends to a follower that has nothing new to get. */
export const HEARTBEAT_INTERVAL_MS = 250
/** Shortest silence of the leader after which a replica stands for election. */
export const ELECTION_TIMEOUT_MIN_MS = 1000
/** Longest silence of the leader after which a replica stands for election. */
export const ELECTION_TIMEOUT_MAX_MS = 2000

/** A link with calls outstanding is pinged when nothing came for this long. */
export const LINK_PING_MS = 700
/** A link on which nothing came for this long, in spite of pings, is destroyed. */
export const LINK_TIMEOUT_MS = 2100
/** An idle link without outstanding calls is pinged this often. */
export const LINK_IDLE_PING_MS = 15_000
/** The largest frame that a link accepts. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024

/** The largest request body that an instance accepts from a caller. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024
/** The largest configuration document that an operator may send. */
export const MAX_DOCUMENT_BYTES = 8 * 1024 * 1024

/** How long a caller may keep an answer of the address lookup. */
export const ADDRESS_MAX_AGE_MS = 3000
/** How often an endpoint announces itself at most; an owner of many endpoints asks each for fewer announcements. */
export const ANNOUNCE_INTERVAL_MS = 1000
/** What announcements may cost an owner, bytes a second. */
export const ANNOUNCE_BUDGET_BYTES_PER_SECOND = 3000
/** Size of an announcement with its HTTP headers, for that budget. */
export const ANNOUNCE_BYTES = 600
/** An endpoint that is silent for this many of its intervals gets no new work. */
export const ANNOUNCE_TIMEOUT_INTERVALS = 3.5
/** A stream on which an engine sends nothing (not even a keep-alive) for this long is given up. */
export const STREAM_IDLE_TIMEOUT_MS = 2500
/** How often an engine writes a keep-alive comment into a stream that has no token ready. */
export const STREAM_KEEPALIVE_INTERVAL_MS = 500
