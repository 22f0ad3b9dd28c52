/**
 * Which requests an instance that stops still takes. A decision without input or output.
 *
 * Callers keep addresses for some seconds, so an instance that refused at once would cost each of them a try; one that takes
 * a long stream late must break it off when its grace ends. So all is taken at first, and later only what surely ends in time.
 */

/** How far a stop has come, and how long the request may take. */
export interface DrainProgress {
  /** Since the stop began, milliseconds. */
  elapsedMs: number
  /** How long the stop may take, milliseconds. */
  graceMs: number
  /** How long the request may take at most, milliseconds. */
  waitMs: number
}

/** Share of the grace in which everything is taken: the rest is longer than nearly all streams last. */
const TAKE_ALL_SHARE = 0.36
/** So long before the end of the grace the last answers are through. */
export const DRAIN_END_MARGIN_MS = 500

/**
 * Tells whether a request is still taken.
 * @param req how far the stop has come, and how long the request may take
 * @returns whether it will be answered before the instance ends
 */
export function isAccepted (req: DrainProgress): boolean {
  if (req.elapsedMs <= TAKE_ALL_SHARE * req.graceMs) return true
  return req.elapsedMs + req.waitMs <= req.graceMs - DRAIN_END_MARGIN_MS
}
