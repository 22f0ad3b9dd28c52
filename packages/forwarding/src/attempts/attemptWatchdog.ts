/**
 * Watchdog for attempts without a response. Detects endpoints that went down without closing their connections before the requests
 * sent to them time out.
 */
import type * as endpointPools from '../endpoints/endpointPool.js'
import * as endpointProbes from '../endpoints/endpointProbe.js'

/** Share of the target latency of the route after which the endpoint is probed: nearly all other responses have arrived by then. */
const PROBE_DELAY_SHARE = 0.5
/** Lower bound; a single retransmission may take this long. */
const MIN_PROBE_DELAY_MS = 150

/**
 * Returns how long an attempt may stay without a response before its endpoint is probed.
 * @param targetMs target latency of the route, 0 without one
 * @returns milliseconds
 */
export function toProbeDelayMs (targetMs: number): number {
  return Math.max(MIN_PROBE_DELAY_MS, PROBE_DELAY_SHARE * targetMs)
}

/** Probes the endpoint of an attempt that stays without a response. Returns a function that stops the watchdog. */
export function startWatchdog (endpoint: endpointPools.Endpoint, afterMs: number, onDown: (failure: endpointProbes.ProbeFailure) => void): () => void {
  let isStopped = false
  const timer = setTimeout(() => {
    void endpointProbes.probeEndpoint(endpoint).then(failure => {
      if (failure !== undefined && !isStopped) onDown(failure)
    })
  }, afterMs)
  const onZoneDown = (why: string): void => { onDown({ why, isSilent: true }) }
  endpoint.downListeners.add(onZoneDown)
  return () => {
    isStopped = true
    endpoint.downListeners.delete(onZoneDown)
    clearTimeout(timer)
  }
}
