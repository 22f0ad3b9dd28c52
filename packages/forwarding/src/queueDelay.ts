/**
 * How long a request waits at an endpoint until its answer begins, as this instance sees it. A decision without input or output.
 *
 * Load pattern: endpoints are lost or callers double, and those that are left read prompts one after the other. Places there
 * still look free, since a request takes one only when its answer begins; what shows the queue is how long requests have been
 * waiting for that. An endpoint answers them nearly in the order in which they came. How long those have waited that are next
 * shows a queue only when it is there; how many wait, at the pace at which answers begin, shows it while it grows.
 */

import * as numbers from './numbers.js'

/** A request that waits for its answer to begin. */
export interface PendingRequest { readonly sentAt: number }

/** How long requests wait at one endpoint. */
export interface QueueDelayEstimator {
  /** Notes a request that was sent. */
  onSent (now: number): PendingRequest
  /** Notes that the answer to a request began. */
  onResponse (wait: PendingRequest, now: number): void
  /** Notes that a request waits no longer, without an answer. */
  onAbandoned (wait: PendingRequest): void
  /** @returns how long the next request is likely to wait, milliseconds, or undefined if nothing was seen lately */
  estimateMs (now: number): number | undefined
  /** @returns what is known of a request that waits long: overtaken by a later one, still queued, or nothing is answered at all */
  classify (wait: PendingRequest): 'overtaken' | 'queued' | 'silent'
}

/** Waits that ended longer ago say nothing of now. */
const MEMORY_MS = 700
/** The pace of answers says nothing of now when the last of them began longer ago. */
const PACE_MEMORY_MS = 5000
/** Weight of the latest time between two answers in the pace. */
const PACE_WEIGHT = 0.15
/** Of so many waits the median counts: one of them may be long for a lost packet alone. */
const WAITS = 3
/** A request is sent only where it is likely to wait no longer than this share of its target: the rest is for the way. */
const DELAY_SHARE = 0.7
/** So many requests must be waiting before the time they have waited counts, for the same reason. */
const WAITING = 2

/**
 * Tells how long a request may wait at an endpoint.
 * @param targetMs within this time its answer should begin, 0 if that is not known
 * @returns milliseconds
 */
export function toDelayLimitMs (targetMs: number): number {
  return targetMs > 0 ? DELAY_SHARE * targetMs : Infinity
}

/**
 * Creates a meter.
 * @returns the meter, without anything seen
 */
export function createQueueDelayEstimator (): QueueDelayEstimator {
  const waiting = new Set<PendingRequest>()
  let ended: Array<{ at: number, ms: number }> = []
  /** When the latest of those requests was sent that were answered. */
  let answeredSentAt = -Infinity
  let answeredAt = -Infinity
  /** Milliseconds between two answers while requests wait; undefined until that was seen. */
  let paceMs: number | undefined

  const notePace = (wait: PendingRequest, now: number): void => {
    const sinceMs = now - Math.max(answeredAt, wait.sentAt)
    paceMs = paceMs === undefined ? sinceMs : paceMs + PACE_WEIGHT * (sinceMs - paceMs)
  }

  /** @returns how long all but the first of those have waited that nothing has overtaken */
  const toQueuedMs = (now: number): number | undefined => {
    let count = 0
    for (const wait of waiting) {
      if (wait.sentAt <= answeredSentAt) continue
      count++
      if (count === WAITING) return now - wait.sentAt
    }
    return undefined
  }

  const toEndedMs = (now: number): number | undefined => {
    ended = ended.filter(item => now - item.at < MEMORY_MS)
    if (ended.length === 0) return undefined
    // A queue that nothing is added to has become shorter since.
    const times = ended.map(item => Math.max(0, item.ms - (now - item.at)))
    return ended.length < WAITS ? Math.min(...times) : numbers.median(times)
  }

  return {
    onSent (now) {
      const wait = { sentAt: now }
      waiting.add(wait)
      return wait
    },
    onResponse (wait, now) {
      waiting.delete(wait)
      notePace(wait, now)
      answeredAt = now
      answeredSentAt = Math.max(answeredSentAt, wait.sentAt)
      ended = [...ended.slice(1 - WAITS), { at: now, ms: now - wait.sentAt }]
    },
    onAbandoned (wait) { waiting.delete(wait) },
    estimateMs (now) {
      const queuedMs = toQueuedMs(now)
      const endedMs = toEndedMs(now)
      const isPaceKnown = paceMs !== undefined && now - answeredAt < PACE_MEMORY_MS
      const countedMs = waiting.size >= WAITING && isPaceKnown ? waiting.size * (paceMs as number) : undefined
      const seen = [queuedMs, endedMs, countedMs].filter(item => item !== undefined)
      return seen.length === 0 ? undefined : Math.max(...seen)
    },
    classify (wait) {
      if (answeredSentAt > wait.sentAt) return 'overtaken'
      return answeredAt > wait.sentAt ? 'queued' : 'silent'
    }
  }
}
