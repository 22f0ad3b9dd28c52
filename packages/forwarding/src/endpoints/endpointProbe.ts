/** Probes whether an endpoint is down by opening a TCP connection to it. */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as endpointDialers from '../paths/endpointDialer.js'
import type * as endpointPools from './endpointPool.js'

/** Why an endpoint could not be connected to. */
export interface ProbeFailure { why: string, /** Whether nothing was received, as from a machine without power or behind a partition. */ isSilent: boolean }

/** Delays of the further probes of an endpoint that lost a response but still accepts connections. */
const REPEAT_DELAYS_MS = [150, 450, 1400]

const repeatedProbes = new WeakMap<endpointPools.Endpoint, { count: number }>()
const runningProbes = new WeakMap<endpointPools.Endpoint, Promise<ProbeFailure | undefined>>()

/**
 * Probes an endpoint. Concurrent calls share one probe.
 * @returns why the endpoint is considered down, or undefined if it accepts connections
 */
export async function probeEndpoint (endpoint: endpointPools.Endpoint): Promise<ProbeFailure | undefined> {
  const current = runningProbes.get(endpoint)
  if (current !== undefined) return await current
  const probe = tryDial(endpoint.dial).finally(() => { runningProbes.delete(endpoint) })
  runningProbes.set(endpoint, probe)
  return await probe
}

/**
 * Probes an endpoint that lost a response: at once, and then a few times more, since a process that ends may accept connections until
 * it is gone.
 * @param onDown called when a probe fails; no further one is made
 * @returns the result of `onDown` if the first probe fails
 */
export async function probeAfterLoss<T> (endpoint: endpointPools.Endpoint, onDown: (failure: ProbeFailure) => Promise<T>): Promise<T | undefined> {
  const failure = await probeEndpoint(endpoint)
  if (failure !== undefined) return await onDown(failure)
  const repeated = repeatedProbes.get(endpoint)
  if (repeated === undefined) void repeatProbes(endpoint, onDown)
  else repeated.count = 0
  return undefined
}

async function repeatProbes (endpoint: endpointPools.Endpoint, onDown: (failure: ProbeFailure) => Promise<unknown>): Promise<void> {
  const repeated = { count: 0 }
  repeatedProbes.set(endpoint, repeated)
  while (repeated.count < REPEAT_DELAYS_MS.length) {
    await timers.setTimeout(REPEAT_DELAYS_MS[repeated.count++], undefined, { ref: false })
    const failure = await probeEndpoint(endpoint)
    if (failure === undefined) continue
    await onDown(failure)
    break
  }
  repeatedProbes.delete(endpoint)
}

/** Opens and closes a connection. @returns why it could not be opened */
export async function tryDial (dial: () => Promise<net.Socket>): Promise<ProbeFailure | undefined> {
  try {
    const socket = await dial()
    socket.on('error', () => {})
    socket.destroy()
    return undefined
  } catch (err) {
    return toFailure(err)
  }
}

/** Converts the error of a dial. */
export function toFailure (err: unknown): ProbeFailure {
  return { why: err instanceof Error ? err.message : String(err), isSilent: err instanceof endpointDialers.DialError && err.isSilent }
}
