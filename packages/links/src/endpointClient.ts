/**
 * HTTP connections to one endpoint, over undici. One request at a time on a connection. A connection that fell silent is
 * destroyed with all idle ones beside it and never used again: what lost track of one has likely lost the others too.
 */
import * as net from 'node:net'
import * as undici from 'undici'

/** A connection lent for one request. */
export interface EndpointConnection {
  client: undici.Client
  /** Gives the connection back for the next request. */
  release (): void
  /** Destroys the connection. */
  destroy (): void
}

/** The connections to one endpoint. */
export interface EndpointClient {
  /**
   * Lends a connection that is established already, so that no time passes between the caller's last check and the write.
   * @param isFresh whether an idle connection will not do: a request that may not be repeated must not meet a connection
   * that the other side is just closing
   * @returns the connection
   * @throws Error when the endpoint cannot be connected to; nothing was sent
   */
  acquire (isFresh?: boolean): Promise<EndpointConnection>
  /** Destroys all idle connections, after one was found silent. */
  closeIdle (): void
  /** Ends all connections. */
  close (): void
}

/** An idle connection older than this is not used again: it may have been forgotten on the way. */
const MAX_IDLE_MS = 4000
const CONNECT_MS = 1500

function toTarget (origin: string): { host: string, port: number } {
  const url = new URL(origin)
  return { host: url.hostname.replace(/^\[|\]$/g, ''), port: Number(url.port) }
}

/**
 * Creates the connections to an endpoint.
 * @param origin base URL of the endpoint
 * @returns the connections
 */
export function createEndpointClient (origin: string): EndpointClient {
  let idle: Array<{ client: undici.Client, sinceMs: number }> = []
  const lent = new Set<undici.Client>()
  let isClosed = false

  const drop = (client: undici.Client): void => {
    lent.delete(client)
    client.destroy().catch(() => {})
  }

  const takeIdle = (): undici.Client | undefined => {
    const now = performance.now()
    const fresh = idle.filter(item => now - item.sinceMs < MAX_IDLE_MS && !item.client.destroyed)
    for (const item of idle) {
      if (!fresh.includes(item)) drop(item.client)
    }
    idle = fresh
    return idle.pop()?.client
  }

  const connect = async (): Promise<undici.Client> => {
    const socket = net.connect(toTarget(origin))
    await new Promise<void>((resolve, reject) => {
      const timer = setTimeout(() => { socket.destroy(new Error('connecting took too long')) }, CONNECT_MS)
      socket.once('connect', () => { clearTimeout(timer); resolve() })
      socket.once('error', err => { clearTimeout(timer); reject(err) })
    })
    socket.removeAllListeners('error')
    socket.on('error', () => {})
    socket.setNoDelay(true)
    let isUsed = false
    return new undici.Client(origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (_, callback) => {
        const isUsable = !isUsed && !socket.destroyed
        isUsed = true
        // The client ignores an answer that comes before its own call has returned.
        queueMicrotask(() => {
          if (isUsable) callback(null, socket)
          else callback(new Error('connection ended'), null)
        })
      }
    })
  }

  return {
    async acquire (isFresh = false) {
      const client = (isFresh ? undefined : takeIdle()) ?? await connect()
      lent.add(client)
      let isDone = false
      return {
        client,
        release () {
          if (isDone) return
          isDone = true
          lent.delete(client)
          if (isClosed) drop(client)
          else idle.push({ client, sinceMs: performance.now() })
        },
        destroy () {
          if (isDone) return
          isDone = true
          drop(client)
        }
      }
    },
    closeIdle () {
      for (const item of idle) drop(item.client)
      idle = []
    },
    close () {
      isClosed = true
      for (const item of idle) drop(item.client)
      for (const client of lent) drop(client)
      idle = []
    }
  }
}
