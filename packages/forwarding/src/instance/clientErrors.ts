/** Bytes of clients that are no request, and requests whose head does not arrive in time. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as brokenResponses from './brokenResponses.js'
import type * as entryContexts from './entryContext.js'

/** Responds to a malformed request, or closes the connection if a response is in progress on it. */
export function onClientError (err: NodeJS.ErrnoException, socket: net.Socket, ctx: entryContexts.EntryContext): void {
  const status = toStatus(err.code)
  const res = findResponse(socket)
  if (err.code !== 'ECONNRESET') ctx.log.event('requestRefused', { status, why: err.code ?? err.message, isBusy: res !== undefined })
  if (res !== undefined && err.code !== 'ECONNRESET') brokenResponses.noteCause(res, 'malformed')
  if (!socket.writable || res !== undefined || err.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  socket.end(`HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
}

/** Returns the response in progress on a connection. */
function findResponse (socket: net.Socket): http.ServerResponse | undefined {
  return (socket as net.Socket & { _httpMessage?: http.ServerResponse | null })._httpMessage ?? undefined
}

function toStatus (code: string | undefined): number {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW': return 431
    case 'ERR_HTTP_REQUEST_TIMEOUT': return 408
    default: return 400
  }
}
