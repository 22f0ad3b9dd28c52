/**
 * Estimates the queue delay of an endpoint: the time until the response to the next request begins. Announced free slots do not show
 * a queue of unprocessed prompts, so the estimate is based on the waiting times of this instance's own requests, and on their number times
 * the interval between responses, which detects a growing queue earlier.
 */

import * as numbers from './numbers.js'

/** A request that waits for its response. */
export interface PendingRequest { readonly sentAt: number }

/** Estimates the queue delay of one endpoint. */
export interface QueueDelayEstimator {
  /** Records a sent request. */
  onSent (now: number): PendingRequest
  /** Records that the response to a request began. */
  onResponse (request: PendingRequest, now: number): void
  /** Records that a request was abandoned without a response. */
  onAbandoned (request: PendingRequest): void
  /** Discards all observations; requests that were sent before no longer count as waiting. */
  reset (): void
  /** Returns the expected delay of the next request in milliseconds, or undefined without recent observations. */
  estimateMs (now: number): number | undefined
  /** Classifies a slow request: a later one was answered first, earlier ones are still being answered, or no response arrived at all. */
  classify (request: PendingRequest): 'overtaken' | 'queued' | 'unresponsive'
}

/** Maximum age of a completed wait in the estimate. */
const WAIT_MAX_AGE_MS = 700
/** Maximum age of the response interval in the estimate. */
const INTERVAL_MAX_AGE_MS = 5000
/** Observations older than this have no effect. */
export const MAX_AGE_MS = Math.max(WAIT_MAX_AGE_MS, INTERVAL_MAX_AGE_MS)
/** Weight of the latest response interval in the moving average. */
const INTERVAL_WEIGHT = 0.15
/** Number of completed waits whose median is used, since a lost packet alone makes a single one long. */
const WAIT_SAMPLES = 3
/** Maximum queue delay as a share of the target latency; the rest is left for the network. */
const MAX_DELAY_SHARE = 0.7
/** Minimum number of pending requests for their waiting time to be used, since a lost packet may delay a single one. */
const MIN_PENDING = 2

/**
 * Returns the maximum queue delay of a request.
 * @param targetMs target latency in milliseconds, 0 if unknown
 * @returns milliseconds, Infinity without a target
 */
export function toDelayLimitMs (targetMs: number): number {
  return targetMs > 0 ? MAX_DELAY_SHARE * targetMs : Infinity
}

export function createQueueDelayEstimator (): QueueDelayEstimator {
  const pending = new Set<PendingRequest>()
  let completed: Array<{ at: number, ms: number }> = []
  /** Send time of the most recently sent request that was answered. */
  let answeredSentAt = -Infinity
  let answeredAt = -Infinity
  /** Moving average of the interval between responses, in milliseconds; undefined before the first response. */
  let intervalMs: number | undefined

  const recordInterval = (request: PendingRequest, now: number): void => {
    const sinceMs = now - Math.max(answeredAt, request.sentAt)
    intervalMs = intervalMs === undefined ? sinceMs : intervalMs + INTERVAL_WEIGHT * (sinceMs - intervalMs)
  }

  /** Returns the waiting time of the second oldest request that no later one has overtaken. */
  const toPendingMs = (now: number): number | undefined => {
    let count = 0
    for (const request of pending) {
      if (request.sentAt <= answeredSentAt) continue
      count++
      if (count === MIN_PENDING) return now - request.sentAt
    }
    return undefined
  }

  const toCompletedMs = (now: number): number | undefined => {
    completed = completed.filter(item => now - item.at < WAIT_MAX_AGE_MS)
    if (completed.length === 0) return undefined
    // Without new requests the queue has shrunk since then.
    const times = completed.map(item => Math.max(0, item.ms - (now - item.at)))
    return completed.length < WAIT_SAMPLES ? Math.min(...times) : numbers.median(times)
  }

  return {
    onSent (now) {
      const request = { sentAt: now }
      pending.add(request)
      return request
    },
    onResponse (request, now) {
      pending.delete(request)
      recordInterval(request, now)
      answeredAt = now
      answeredSentAt = Math.max(answeredSentAt, request.sentAt)
      completed = [...completed.slice(1 - WAIT_SAMPLES), { at: now, ms: now - request.sentAt }]
    },
    onAbandoned (request) { pending.delete(request) },
    reset () {
      pending.clear()
      completed = []
    },
    estimateMs (now) {
      // Most endpoints have no requests of this instance.
      if (pending.size === 0 && now - answeredAt >= WAIT_MAX_AGE_MS) return undefined
      const pendingMs = toPendingMs(now)
      const completedMs = toCompletedMs(now)
      const isIntervalKnown = intervalMs !== undefined && now - answeredAt < INTERVAL_MAX_AGE_MS
      const projectedMs = pending.size >= MIN_PENDING && isIntervalKnown ? pending.size * (intervalMs as number) : undefined
      const estimates = [pendingMs, completedMs, projectedMs].filter(item => item !== undefined)
      return estimates.length === 0 ? undefined : Math.max(...estimates)
    },
    classify (request) {
      if (answeredSentAt > request.sentAt) return 'overtaken'
      return answeredAt > request.sentAt ? 'queued' : 'unresponsive'
    }
  }
}
