/**
 * HTTP connections to one endpoint over undici, with one request per connection at a time. If a connection is
 * unresponsive, the idle ones are closed as well, since a middlebox has probably dropped the state of all of them.
 */
import * as net from 'node:net'
import * as undici from 'undici'
import * as deadlines from './deadline.js'
import * as tunnels from './tunnel.js'

/** A connection acquired for one request. */
export interface EndpointConnection {
  client: undici.Client
  /** Returns whether the connection was reset, or ended before all that was written to it was sent. */
  isBroken (): boolean
  /** Returns the connection to the idle ones. */
  release (): void
  destroy (): void
}

/** The HTTP connections to one endpoint. */
export interface EndpointClient {
  /**
   * Acquires an established connection, so that the request can be written without delay.
   * @param isNew whether to open a new connection; required for requests that must not be repeated, because the endpoint
   * may be closing an idle one
   * @throws Error when connecting fails; nothing was sent
   */
  acquire (isNew?: boolean): Promise<EndpointConnection>
  /** Closes all idle connections, for use after one was unresponsive. */
  closeIdle (): void
  /** Closes all connections. */
  close (): void
}

/** Idle connections are not reused after this time, since a middlebox may have dropped their state. */
const MAX_IDLE_MS = 4000
const CONNECT_TIMEOUT_MS = 1500

function toHostPort (origin: string): { host: string, port: number } {
  const url = new URL(origin)
  return { host: url.hostname.replace(/^\[|\]$/g, ''), port: Number(url.port) }
}

/**
 * Creates a client of an endpoint; no connection is opened yet.
 * @param origin base URL of the endpoint
 */
export function createEndpointClient (origin: string): EndpointClient {
  let idle: Array<{ client: undici.Client, idleSince: number }> = []
  const acquired = new Set<undici.Client>()
  const broken = new WeakSet<undici.Client>()
  let isClosed = false

  const destroyClient = (client: undici.Client): void => {
    acquired.delete(client)
    client.destroy().catch(() => {})
  }

  const popIdle = (): undici.Client | undefined => {
    const now = performance.now()
    const usable = idle.filter(item => now - item.idleSince < MAX_IDLE_MS && !item.client.destroyed)
    for (const item of idle) {
      if (!usable.includes(item)) destroyClient(item.client)
    }
    idle = usable
    return idle.pop()?.client
  }

  const connect = async (): Promise<undici.Client> => {
    const socket = net.connect(toHostPort(origin))
    await new Promise<void>((resolve, reject) => {
      deadlines.setConnectDeadline(socket, CONNECT_TIMEOUT_MS, () => { socket.destroy(new Error(`no connection to ${origin} within ${CONNECT_TIMEOUT_MS} ms`)) })
      socket.once('connect', resolve)
      socket.once('error', reject)
    })
    socket.removeAllListeners('error')
    // The HTTP library destroys connections with errors of its own.
    socket.on('error', (err: NodeJS.ErrnoException) => { if (err.syscall !== undefined) broken.add(client) })
    socket.prependListener('end', () => { if (tunnels.isReset(socket) || socket.writableLength > 0) broken.add(client) })
    socket.setNoDelay(true)
    let isUsed = false
    const client = new undici.Client(origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (_, callback) => {
        const isUsable = !isUsed && !socket.destroyed
        isUsed = true
        // undici ignores a callback that is invoked before its connect call has returned.
        queueMicrotask(() => {
          if (isUsable) callback(null, socket)
          else callback(new Error(`connection to ${origin} closed`), null)
        })
      }
    })
    return client
  }

  return {
    async acquire (isNew = false) {
      const client = (isNew ? undefined : popIdle()) ?? await connect()
      acquired.add(client)
      let isReleased = false
      return {
        client,
        isBroken: () => broken.has(client),
        release () {
          if (isReleased) return
          isReleased = true
          acquired.delete(client)
          if (isClosed) destroyClient(client)
          else idle.push({ client, idleSince: performance.now() })
        },
        destroy () {
          if (isReleased) return
          isReleased = true
          destroyClient(client)
        }
      }
    },
    closeIdle () {
      for (const item of idle) destroyClient(item.client)
      idle = []
    },
    close () {
      isClosed = true
      for (const item of idle) destroyClient(item.client)
      for (const client of acquired) destroyClient(client)
      idle = []
    }
  }
}
