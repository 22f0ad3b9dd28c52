/**
 * Connections to endpoints on behalf of entry instances that have lost their own path. An instance helps only with its own path, so
 * that a connection passes through one other instance at most.
 */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as links from '@kingcupdeck/links'
import type * as telemetry from '@kingcupdeck/telemetry'
import type * as endpointPools from '../endpoints/endpointPool.js'
import * as endpointProbes from '../endpoints/endpointProbe.js'
import * as reachMessages from './reachMessages.js'

/** Options of {@link createTunnelServer}. */
export interface TunnelServerOptions {
  pool: Pick<endpointPools.EndpointPool, 'get'>
  /** Opens a direct connection. @throws DialError */
  dialDirectly: (address: string) => Promise<net.Socket>
  /** Returns whether this instance still accepts requests of its own clients, however long they last. */
  isAccepting: () => boolean
  /** Returns whether other instances should be preferred, because this one is about to stop. */
  isDraining: () => boolean
  /** Number of requests of its own clients that this instance serves. */
  openRequests: () => number
  log: telemetry.Log
  now: () => number
}

/** Helps instances that have lost their path. */
export interface TunnelServer {
  answer (call: reachMessages.ReachCall): Promise<reachMessages.ReachReply>
  /** Connects to an endpoint for another instance. @throws links.TunnelError */
  open (target: string): Promise<net.Socket>
  /** Number of open tunnels. */
  count (): number
}

/** Bounds the descriptors and the work for other instances. */
const MAX_TUNNELS = 1000
/** Time to wait for a probe: others are asked too, and the request that needs the endpoint waits. */
const PROBE_WAIT_MS = 150

export function createTunnelServer (opts: TunnelServerOptions): TunnelServer {
  let open = 0

  const isAvailable = (): boolean => opts.isAccepting() && open < MAX_TUNNELS

  /** Returns the endpoint if this instance may connect to it for others. */
  const find = (id: string, address: string): endpointPools.Endpoint | undefined => {
    const endpoint = opts.pool.get(id)
    return endpoint?.record.address === address && endpoint.helpers === undefined ? endpoint : undefined
  }

  const refuse = (endpoint: string, why: string, isSilent = false): links.TunnelError => {
    opts.log.event('tunnelRefused', { endpoint, why, tunnels: open })
    return new links.TunnelError(why, isSilent)
  }

  const isReached = async (endpoint: endpointPools.Endpoint, maxAgeMs: number): Promise<boolean> => {
    if (opts.now() - endpoint.answeredAt < maxAgeMs) return true
    const isProbed = endpointProbes.probeEndpoint(endpoint).then(failure => failure === undefined)
    return await Promise.race([isProbed, timers.setTimeout(PROBE_WAIT_MS, false, { ref: false })])
  }

  return {
    async answer (call) {
      const results = await Promise.all(call.endpoints.map(async ([id, address]) => {
        const endpoint = isAvailable() && !opts.isDraining() ? find(id, address) : undefined
        return endpoint !== undefined && await isReached(endpoint, call.maxAgeMs) ? [id] : []
      }))
      return { reached: results.flat(), load: open + opts.openRequests() }
    },
    async open (target) {
      const [id, address] = target.split(' ')
      if (!isAvailable()) throw refuse(id, 'this instance accepts no further tunnels')
      if (find(id, address) === undefined) throw refuse(id, 'this instance has no path to the endpoint')
      open++
      try {
        const socket = await opts.dialDirectly(address)
        socket.once('close', () => { open-- })
        return socket
      } catch (err) {
        open--
        const { why, isSilent } = endpointProbes.toFailure(err)
        throw refuse(id, why, isSilent)
      }
    },
    count: () => open
  }
}
