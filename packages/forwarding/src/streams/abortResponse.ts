/** Aborts an incomplete response so that the client can detect it, after flushing what was written. */
import * as http from 'node:http'

/** Time that a client has to read the remaining bytes before its connection is closed. */
const FLUSH_MS = 2000

/**
 * Aborts a response whose headers were sent. Bytes that were written in the same turn of the event loop, or that the client has not
 * read yet, would be lost if the connection was destroyed immediately.
 */
export function abortResponse (res: http.ServerResponse): void {
  const { socket } = res
  if (socket === null || socket.destroyed) return
  // Without chunked encoding a closed connection ends the body: only a reset marks the response as incomplete.
  if (!res.chunkedEncoding) {
    socket.resetAndDestroy()
    return
  }
  const timer = setTimeout(() => { socket.destroy() }, FLUSH_MS)
  socket.once('close', () => { clearTimeout(timer) })
  // The HTTP library buffers what was written in this turn until the next one.
  process.nextTick(() => { socket.end(() => { socket.destroy() }) })
}
