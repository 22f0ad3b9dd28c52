/**
 * Connections that the HTTP servers of a process may have open together. A process has a limited number of descriptors, and callers of one
 * server must leave some to the other servers, to links, endpoints and files.
 */
import type * as http from 'node:http'
import type * as net from 'node:net'

/** Share of the descriptors of a process that connections to its HTTP servers may take, with the requests on them. */
const CONNECTIONS_SHARE = 3 / 4
/** A server may always have a few connections, also when the other servers have taken the rest. */
const RESERVED_SHARE = 1 / 16
const MAX_RESERVED = 64
/** A connection that has sent no complete head for this long makes room, too. */
const FIRST_REQUEST_MS = 1000

/** Options of {@link ConnectionBudget.watch}. */
export interface WatchOptions {
  /** Descriptors that a request takes on top of its connection; 1 if it is forwarded. Default: 0. */
  requestCost?: number
  /** Called for each connection that was closed unread. */
  onRefused: () => void
}

/** Limits the connections of several servers together. */
export interface ConnectionBudget {
  /**
   * Counts the connections of a server. At the limit, a connection of the server that has the most is closed for a new one: one that has
   * sent no request for a while, or the one that is idle for longest. If there is none, the new one is closed unread.
   */
  watch (server: http.Server, opts: WatchOptions): void
}

/** Connections of a server. */
interface Watched {
  open: number
  /** Connections that had a request and have none now, the one that is idle for longest first. */
  idle: Set<net.Socket>
  /** When each connection that has had no request yet was accepted, in this order. */
  unused: Map<net.Socket, number>
  /** Ends the count of a connection. */
  remove (socket: net.Socket): void
}

/** Returns the limit for a process that may have this many descriptors. */
export function toConnectionLimit (maxFds: number): number {
  return Math.floor(maxFds * CONNECTIONS_SHARE)
}

/** Creates a budget. @param toLimit returns the present limit of connections, and descriptors of their requests */
export function createConnectionBudget (toLimit: () => number): ConnectionBudget {
  const all = new Set<Watched>()
  const toReserved = (): number => Math.min(MAX_RESERVED, Math.floor(toLimit() * RESERVED_SHARE))
  let used = 0

  /** Returns whether one was closed. */
  const closeIdle = (): boolean => {
    const now = performance.now()
    const reserved = toReserved()
    for (const item of [...all].sort((left, right) => right.open - left.open)) {
      const socket = item.open > reserved ? findIdle(item, now) : undefined
      if (socket === undefined) continue
      item.remove(socket)
      socket.destroySoon()
      return true
    }
    return false
  }

  return {
    watch (server, { requestCost = 0, onRefused }) {
      /** Number of requests by connection. */
      const requests = new Map<net.Socket, number>()
      const watched: Watched = {
        open: 0,
        idle: new Set(),
        unused: new Map(),
        remove (socket) {
          const count = requests.get(socket)
          if (count === undefined) return
          requests.delete(socket)
          watched.idle.delete(socket)
          watched.unused.delete(socket)
          watched.open--
          used -= 1 + count * requestCost
        }
      }
      all.add(watched)
      server.on('connection', (socket: net.Socket) => {
        if (used >= toLimit() && !closeIdle() && watched.open >= toReserved()) {
          onRefused()
          socket.destroy()
          return
        }
        watched.open++
        used++
        requests.set(socket, 0)
        watched.unused.set(socket, performance.now())
        socket.once('close', () => { watched.remove(socket) })
      })
      server.on('request', (req: http.IncomingMessage, res: http.ServerResponse) => {
        const { socket } = req
        const count = requests.get(socket)
        if (count === undefined) return
        requests.set(socket, count + 1)
        watched.idle.delete(socket)
        watched.unused.delete(socket)
        used += requestCost
        if (requestCost > 0 && used > toLimit()) closeIdle()
        res.once('close', () => {
          const left = requests.get(socket)
          if (left === undefined) return
          requests.set(socket, left - 1)
          used -= requestCost
          if (left === 1 && !socket.destroyed) watched.idle.add(socket)
        })
      })
    }
  }
}

/** Returns the connection of a server that can be spared most, if any. */
function findIdle ({ idle, unused }: Watched, now: number): net.Socket | undefined {
  const [oldest] = unused
  if (oldest !== undefined && now - oldest[1] > FIRST_REQUEST_MS) return oldest[0]
  const [longestIdle] = idle
  return longestIdle
}
