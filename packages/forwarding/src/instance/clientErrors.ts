/**
 * Bytes of clients that are no request, and requests whose head does not arrive in time. What was sent before them on the same connection
 * is answered first.
 */
import * as http from 'node:http'
import type * as net from 'node:net'
import type * as clientConnections from './clientConnections.js'
import type * as entryContexts from './entryContext.js'

/** Errors of the parser; all others are those of the connection. */
const PARSER_ERROR = /^HPE_|^ERR_HTTP_REQUEST_TIMEOUT$/
/** Time for which a connection is kept after an answer to bytes that are no request. */
const CLOSE_TIMEOUT_MS = 2000

/** Handles an error of a connection: ends the connection once the requests before are answered, with an answer of its own if there are none. */
export function onClientError (err: NodeJS.ErrnoException, socket: net.Socket, connections: clientConnections.ClientConnections, ctx: entryContexts.EntryContext): void {
  // Also the end of a connection within a request is an error of the parser.
  if (!PARSER_ERROR.test(err.code ?? '') || socket.readableEnded || !socket.writable) {
    socket.destroy()
    return
  }
  refuse(toStatus(err.code), err.code ?? err.message, socket, connections, ctx)
}

/** Handles a request for a tunnel, which no route allows. */
export function onConnect (req: http.IncomingMessage, socket: net.Socket, connections: clientConnections.ClientConnections, ctx: entryContexts.EntryContext): void {
  socket.on('error', () => {})
  // The HTTP library no longer reads from the connection, and would not find out that the client left.
  socket.on('end', () => { socket.destroy() })
  socket.resume()
  refuse(501, `the method ${req.method ?? ''} is not supported`, socket, connections, ctx)
}

const refused = new WeakSet<net.Socket>()

function refuse (status: number, why: string, socket: net.Socket, connections: clientConnections.ClientConnections, ctx: entryContexts.EntryContext): void {
  // Each further byte after the first malformed one is an error too.
  if (refused.has(socket)) return
  refused.add(socket)
  const responses = connections.responsesOn(socket)
  ctx.log.event('requestRefused', { status, why, isBusy: responses.length > 0 })
  const last = responses.at(-1)
  if (last === undefined) {
    socket.setTimeout(CLOSE_TIMEOUT_MS, () => { socket.destroy() })
    socket.end(`HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
    return
  }
  if (last.headersSent) {
    last.once('finish', () => { socket.destroySoon() })
    return
  }
  last.shouldKeepAlive = false
  // The body of this request is malformed, so it was not passed on.
  if (!last.req.complete) last.writeHead(status, { 'Content-Length': 0 }).end()
}

function toStatus (code: string | undefined): number {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW': return 431
    case 'ERR_HTTP_REQUEST_TIMEOUT': return 408
    default: return 400
  }
}
