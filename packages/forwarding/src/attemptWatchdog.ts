/**
 * Attempts without an answer. Load pattern: an endpoint loses its power with connections open. Nothing tells so: each entry
 * instance would send it all of its share until the first of these requests had waited to its end.
 */
import type * as endpointPools from './endpointPool.js'
import * as endpointProbes from './endpointProbe.js'

/** An answer that is not there after this share of the route's target is late by the measure of nearly all others ... */
const SUSPICION_SHARE = 0.5
/** ... but no sooner than this, which a lost packet alone may take, milliseconds. */
const SUSPICION_LEAST_MS = 150

/**
 * Tells after how long without an answer an endpoint is asked whether it is down.
 * @param targetMs the route's target, 0 without one
 * @returns milliseconds
 */
export function toProbeDelayMs (targetMs: number): number {
  return Math.max(SUSPICION_LEAST_MS, SUSPICION_SHARE * targetMs)
}

/**
 * Looks after an attempt: when it stays without an answer, its endpoint is asked for a connection.
 * @param endpoint the endpoint
 * @param afterMs how long to wait before
 * @param onDown told if the endpoint is down
 * @returns how to end that, once there is an answer
 */
export function startWatchdog (endpoint: endpointPools.Endpoint, afterMs: number, onDown: (why: string) => void): () => void {
  let isOver = false
  const timer = setTimeout(() => {
    void endpointProbes.probeEndpoint(endpoint).then(why => {
      if (why !== undefined && !isOver) onDown(why)
    })
  }, afterMs)
  return () => {
    isOver = true
    clearTimeout(timer)
  }
}
