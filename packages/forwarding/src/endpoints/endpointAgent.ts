/** HTTP connections to one endpoint, which are kept for further requests. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as endpointDialers from '../paths/endpointDialer.js'

/** Options of {@link createAgent}. */
export interface EndpointAgentOptions {
  /** Opens a connection. @throws DialError when that fails */
  dial: () => Promise<net.Socket>
  /** Returns whether a connection may be used for a further request; true by default. */
  mayReuse?: (socket: net.Socket) => boolean
}

/** Idle connections are closed after this time, earlier than most endpoints close them. */
const IDLE_TIMEOUT_MS = 4000
const MAX_IDLE_CONNECTIONS = 32
const KEEP_ALIVE_DELAY_MS = 1000

/** Creates an agent. */
export function createAgent ({ dial, mayReuse = () => true }: EndpointAgentOptions): http.Agent {
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
      if (!mayReuse(socket)) return false
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
      dial().then(socket => { onCreated(null, socket) }, onCreated)
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
export function closeIdleConnections (agent: http.Agent, helper?: string): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of [...(sockets ?? [])]) {
      if (helper === undefined || endpointDialers.findHelper(socket) === helper) socket.destroy()
    }
  }
}

/**
 * Closes the idle connections of a removed endpoint. Those in use stay open until their responses end, because a leaving endpoint
 * still completes its requests.
 */
export function release (agent: http.Agent): void {
  agent.maxFreeSockets = 0
  closeIdleConnections(agent)
}
