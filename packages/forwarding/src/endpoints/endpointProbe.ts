/** Probes whether an endpoint is down by opening a TCP connection to it. */
import * as net from 'node:net'
import * as links from '@kingcupdeck/links'
import * as attempts from '../attempts/attempt.js'
import type * as endpointPools from './endpointPool.js'

/** Why an endpoint could not be connected to. */
export interface ProbeFailure { why: string, /** Whether nothing was received, as from a machine without power or behind a partition. */ isSilent: boolean }

const runningProbes = new WeakMap<endpointPools.Endpoint, Promise<ProbeFailure | undefined>>()

/**
 * Probes an endpoint. Concurrent calls share one probe.
 * @returns why the endpoint is considered down, or undefined if it accepts connections
 */
export async function probeEndpoint (endpoint: endpointPools.Endpoint): Promise<ProbeFailure | undefined> {
  const current = runningProbes.get(endpoint)
  if (current !== undefined) return await current
  const probe = connect(endpoint.record.address).finally(() => { runningProbes.delete(endpoint) })
  runningProbes.set(endpoint, probe)
  return await probe
}

async function connect (address: string): Promise<ProbeFailure | undefined> {
  return await new Promise(resolve => {
    const socket = net.connect(links.parseAddress(address))
    const settle = (failure: ProbeFailure | undefined): void => {
      clearTimeout(timer)
      resolve(failure)
      socket.destroy()
    }
    const timer = setTimeout(() => { settle({ why: `no connection within ${attempts.CONNECT_TIMEOUT_MS} ms`, isSilent: true }) }, attempts.CONNECT_TIMEOUT_MS)
    socket.on('connect', () => { settle(undefined) })
    socket.on('error', err => { settle({ why: err.message, isSilent: false }) })
  })
}
