/**
 * Bytes on callers' connections that are no request, and requests whose head does not arrive in time. What was sent before them on the
 * same connection is answered first.
 */
import * as http from 'node:http'
import type * as net from 'node:net'

/** Options of {@link handleClientErrors}. */
export interface ClientErrorOptions {
  /** Returns the response to the latest request on a connection, undefined if all are closed. */
  lastResponse: (socket: net.Socket) => http.ServerResponse | undefined
  /**
   * Called for each connection that is refused, for the log.
   * @param why one of few texts
   * @param isBusy whether requests before are still being answered
   */
  onRefused: (status: number, why: string, isBusy: boolean) => void
}

/** Errors of the parser; all others are those of the connection. */
const PARSER_ERROR = /^HPE_|^ERR_HTTP_REQUEST_TIMEOUT$/
/** Time for which a connection is kept after an answer to bytes that are no request. */
const CLOSE_TIMEOUT_MS = 2000

/** Answers malformed requests and requests for tunnels, and ends their connections once the requests before are answered. */
export function handleClientErrors (server: http.Server, { lastResponse, onRefused }: ClientErrorOptions): void {
  const refused = new WeakSet<net.Socket>()

  const refuse = (status: number, why: string, socket: net.Socket): void => {
    // Each further byte after the first malformed one is an error too.
    if (refused.has(socket)) return
    refused.add(socket)
    const last = lastResponse(socket)
    onRefused(status, why, last !== undefined)
    if (last === undefined) {
      // Not a timeout of the connection: each byte that a caller goes on sending would put it off.
      const timer = setTimeout(() => { socket.destroy() }, CLOSE_TIMEOUT_MS)
      socket.once('close', () => { clearTimeout(timer) })
      socket.end(`HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
      return
    }
    last.shouldKeepAlive = false
    last.once('finish', () => { socket.destroySoon() })
    // The body of this request is malformed, so it was not passed on.
    if (!last.headersSent && !last.req.complete) last.writeHead(status, { 'Content-Length': 0 }).end()
  }

  server.on('clientError', (err: NodeJS.ErrnoException, socket: net.Socket) => {
    // Also the end of a connection within a request is an error of the parser.
    if (!PARSER_ERROR.test(err.code ?? '') || socket.readableEnded || !socket.writable) socket.destroy()
    else refuse(toStatus(err.code), err.code ?? err.message, socket)
  })
  server.on('connect', (req, socket: net.Socket) => {
    socket.on('error', () => {})
    // The HTTP library no longer reads from the connection, and would not find out that the client left.
    socket.on('end', () => { socket.destroy() })
    socket.resume()
    refuse(501, 'the method CONNECT is not supported', socket)
  })
}

function toStatus (code: string | undefined): number {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW': return 431
    case 'ERR_HTTP_REQUEST_TIMEOUT': return 408
    default: return 400
  }
}
