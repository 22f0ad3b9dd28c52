/** Connections of clients, and the responses that are open on them: those that are not written to their connection completely. */
import type * as http from 'node:http'
import type * as net from 'node:net'

/** Connections of clients. */
export interface ClientConnections {
  add (socket: net.Socket): void
  /** Adds a response. @returns a function to be called when its request was handled */
  addResponse (res: http.ServerResponse): () => void
  responses (): Iterable<http.ServerResponse>
  /** Number of connections. */
  count (): number
  /** Number of responses that are open. */
  openCount (): number
  /** Closes the connections that had a request before and have none now. */
  closeIdle (): void
  destroyAll (): void
}

/** @param hasQueued returns whether bytes of a connection were read that no request was made of yet */
export function createClientConnections (hasQueued: (socket: net.Socket) => boolean): ClientConnections {
  const sockets = new Set<net.Socket>()
  const responses = new Set<http.ServerResponse>()
  /** Bytes that were read from a connection when its last response was complete; with more, the next request is on its way. */
  const bytesWhenIdle = new WeakMap<net.Socket, number>()

  return {
    add (socket) {
      sockets.add(socket)
      socket.on('close', () => sockets.delete(socket))
    },
    addResponse (res) {
      const { socket } = res.req
      let isHandled = false
      responses.add(res)
      bytesWhenIdle.delete(socket)
      res.once('close', () => {
        if (isHandled) responses.delete(res)
        if (res.writableFinished) bytesWhenIdle.set(socket, socket.bytesRead)
      })
      return () => {
        isHandled = true
        // A response that did not get its turn on the connection is never closed.
        if (res.closed || res.socket === null) responses.delete(res)
      }
    },
    responses: () => responses,
    count: () => sockets.size,
    openCount: () => responses.size,
    closeIdle () {
      const busy = new Set([...responses].map(res => res.req.socket))
      for (const socket of sockets) if (!busy.has(socket) && bytesWhenIdle.get(socket) === socket.bytesRead && !hasQueued(socket)) socket.destroy()
    },
    destroyAll () {
      for (const socket of sockets) socket.destroy()
    }
  }
}
