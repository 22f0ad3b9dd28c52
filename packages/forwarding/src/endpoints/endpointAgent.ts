/** HTTP connections to one endpoint, which are kept for further requests. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as endpointDialers from '../paths/endpointDialer.js'
import type * as endpointPools from './endpointPool.js'

/** Idle connections are closed after this time, earlier than most endpoints close them. */
const IDLE_TIMEOUT_MS = 4000
const MAX_IDLE_CONNECTIONS = 32
const KEEP_ALIVE_DELAY_MS = 1000

/** Returns the agent of an endpoint. Most endpoints have none: an instance sends requests to a part of a large fleet at a time. */
export function toAgent (endpoint: endpointPools.Endpoint): http.Agent {
  endpoint.agent ??= createAgent(endpoint)
  return endpoint.agent
}

function createAgent (endpoint: endpointPools.Endpoint): http.Agent {
  const agent = new http.Agent({
    keepAlive: true,
    keepAliveMsecs: KEEP_ALIVE_DELAY_MS,
    maxFreeSockets: MAX_IDLE_CONNECTIONS,
    scheduling: 'lifo',
    timeout: IDLE_TIMEOUT_MS
  })
  return Object.assign(agent, {
    // An idle connection owes nothing: what arrives on it belongs to no request, and may come without end.
    keepSocketAlive (socket: net.Socket) {
      if (!endpoint.mayReuse(socket)) return false
      // The result is missing in the types.
      const isKept = http.Agent.prototype.keepSocketAlive.call(agent, socket) as unknown as boolean
      if (isKept) socket.on('data', closeOnData)
      return isKept
    },
    reuseSocket (socket: net.Socket, req: http.ClientRequest) {
      socket.off('data', closeOnData)
      http.Agent.prototype.reuseSocket.call(agent, socket, req)
    },
    createConnection (options: unknown, onCreated: (err: Error | null, socket?: net.Socket) => void) {
      endpoint.dial().then(socket => { onCreated(null, socket) }, onCreated)
    }
  })
}

function closeOnData (this: net.Socket): void {
  this.destroy()
}

/**
 * Closes idle connections.
 * @param helper closes only those through this entry instance
 */
export function closeIdleConnections ({ agent }: endpointPools.Endpoint, helper?: string): void {
  for (const sockets of Object.values(agent?.freeSockets ?? {})) {
    for (const socket of [...(sockets ?? [])]) {
      if (helper === undefined || endpointDialers.findHelper(socket) === helper) socket.destroy()
    }
  }
}

/**
 * Closes the idle connections of a removed endpoint. Those in use stay open until their responses end, because a leaving endpoint
 * still completes its requests.
 */
export function release (endpoint: endpointPools.Endpoint): void {
  endpoint.mayReuse = () => false
  closeIdleConnections(endpoint)
}

/** Drops the agent of an endpoint that has no connection. */
export function dropUnused (endpoint: endpointPools.Endpoint): void {
  const { agent } = endpoint
  if (agent !== undefined && [agent.sockets, agent.freeSockets, agent.requests].every(item => Object.keys(item).length === 0)) endpoint.agent = undefined
}
