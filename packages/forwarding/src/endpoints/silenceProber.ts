/**
 * Probes endpoints that do not accept connections until they do again. Meanwhile no request is sent to them, so that none has to find
 * out that they are still silent, and they are used again as soon as they accept.
 */
import * as timers from 'node:timers/promises'
import * as endpointDialers from '../paths/endpointDialer.js'
import type * as endpointPools from './endpointPool.js'
import * as endpointProbes from './endpointProbe.js'

/** Options of {@link createSilenceProber}. */
export interface SilenceProberOptions {
  pool: Pick<endpointPools.EndpointPool, 'get' | 'hold' | 'markAccepting'>
  /** Probes an endpoint; opens a connection to it by default. */
  probe?: (endpoint: endpointPools.Endpoint) => Promise<endpointProbes.ProbeFailure | undefined>
  now: () => number
}

/** Endpoints that are probed at a time, which bounds the work in an outage; the others have their backoff. */
const MAX_PROBED = 64
/** Initial interval between probes, doubled with each failure. */
const PROBE_INTERVAL_MS = 200
const MAX_PROBE_INTERVAL_MS = 1600
/** Time for which an endpoint is not used, in addition to the interval; longer than two probes take. */
const HOLD_MARGIN_MS = 2.5 * endpointDialers.CONNECT_TIMEOUT_MS

/** Creates a prober. @returns a function that starts to probe an endpoint, if it is not probed already */
export function createSilenceProber ({ pool, probe = endpointProbes.probeEndpoint, now }: SilenceProberOptions): (endpoint: endpointPools.Endpoint) => void {
  const probed = new Set<endpointPools.Endpoint>()

  const isSilent = (endpoint: endpointPools.Endpoint): boolean => {
    // An endpoint whose path is lost is reached through other instances.
    return pool.get(endpoint.id) === endpoint && endpoint.failures > 0 && endpoint.helpers === undefined
  }

  const run = async (endpoint: endpointPools.Endpoint): Promise<void> => {
    let intervalMs = PROBE_INTERVAL_MS
    while (true) {
      await timers.setTimeout(intervalMs, undefined, { ref: false })
      if (!isSilent(endpoint)) return
      intervalMs = Math.min(MAX_PROBE_INTERVAL_MS, 2 * intervalMs)
      // Until the probe after this one has its result.
      pool.hold(endpoint, now(), intervalMs + HOLD_MARGIN_MS)
      if (await probe(endpoint) === undefined) {
        pool.markAccepting(endpoint, now())
        return
      }
    }
  }

  return endpoint => {
    if (probed.has(endpoint) || probed.size >= MAX_PROBED) return
    probed.add(endpoint)
    void run(endpoint).finally(() => { probed.delete(endpoint) })
  }
}
