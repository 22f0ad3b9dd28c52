/** Ends an answer that is not whole so that its reader can tell, after all that is ready has gone out. */
import * as http from 'node:http'

/** A caller that does not read keeps its connection no longer than this, milliseconds. */
const FLUSH_MS = 2000

/**
 * Breaks an answer off. Guards against ready events that are lost: bytes written in the same turn of the event loop, or that
 * the caller has not read yet, are dropped with a connection that is destroyed at once.
 * @param res the answer, whose head is out
 */
export function abortResponse (res: http.ServerResponse): void {
  const { socket } = res
  if (socket === null || socket.destroyed) return
  // Without chunks the end of the connection is the end of the body: only a reset shows that the answer is not whole.
  if (!res.chunkedEncoding) {
    socket.resetAndDestroy()
    return
  }
  const timer = setTimeout(() => { socket.destroy() }, FLUSH_MS)
  socket.once('close', () => { clearTimeout(timer) })
  // The HTTP library holds what was written in this turn until the next one.
  process.nextTick(() => { socket.end(() => { socket.destroy() }) })
}
