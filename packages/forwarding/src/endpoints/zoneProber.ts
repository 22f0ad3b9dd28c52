/** Probes suspect availability zones until an endpoint accepts a connection, so that no request has to find out. */
import * as timers from 'node:timers/promises'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import type * as endpointPools from './endpointPool.js'
import * as endpointProbes from './endpointProbe.js'
import type * as zoneOutages from './zoneOutage.js'

/** Options of {@link createZoneProber}. */
export interface ZoneProberOptions {
  outages: zoneOutages.ZoneOutages
  /** Returns the endpoints of a zone. */
  endpointsIn: (zone: string) => endpointPools.Endpoint[]
  /** Probes an endpoint; opens a connection to it by default. */
  probe?: (endpoint: endpointPools.Endpoint) => Promise<endpointProbes.ProbeFailure | undefined>
  log: telemetry.Log
}

/** Endpoints that are probed at a time; a single one may be down for reasons of its own. */
const PROBES = 3
const PROBE_INTERVAL_MS = 300

/**
 * Creates a prober.
 * @returns a function that probes a zone until it is no longer suspect; requests that wait for its endpoints are aborted if the first
 * probes fail
 */
export function createZoneProber (opts: ZoneProberOptions): (zone: string) => Promise<void> {
  const probe = opts.probe ?? endpointProbes.probeEndpoint
  const guard = telemetry.createStepGuard(opts.log, 'zoneProbe')

  const probeSome = async (zone: string): Promise<boolean> => {
    const endpoints = opts.endpointsIn(zone)
    // A zone without endpoints has nothing to avoid.
    if (endpoints.length === 0) return true
    const failures = await Promise.all(discovery.toShuffled(endpoints).slice(0, PROBES).map(probe))
    // An endpoint that refuses connections is on a machine that is up.
    return failures.some(failure => failure?.isSilent !== true)
  }

  return async zone => {
    const startedAt = performance.now()
    let isConfirmed = false
    while (opts.outages.suspects().includes(zone)) {
      if (await probeSome(zone)) {
        opts.outages.recordAnswer(zone)
        break
      }
      if (!isConfirmed && opts.outages.isAvoided(zone)) {
        isConfirmed = true
        opts.log.event('zoneUnreachable', { zone, endpoints: opts.endpointsIn(zone).length })
        for (const endpoint of opts.endpointsIn(zone)) {
          for (const listener of [...endpoint.downListeners]) guard(() => { listener({ why: `availability zone "${zone}" is unreachable`, isSilent: true }) })
        }
      }
      await timers.setTimeout(PROBE_INTERVAL_MS, undefined, { ref: false })
    }
    if (isConfirmed) opts.log.event('zoneReachable', { zone, ms: Math.round(performance.now() - startedAt) })
  }
}
