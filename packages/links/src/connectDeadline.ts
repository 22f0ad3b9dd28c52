/** Deadlines of connections that are being established. */
import type * as net from 'node:net'

/**
 * Calls back when a socket is not connected in time. After a stall of the process the event loop runs due timers before it reads that
 * a connection was established meanwhile, so the verdict waits until it has.
 * @param ms time from now
 */
export function setConnectDeadline (socket: net.Socket, ms: number, onMissed: () => void): void {
  const timer = setTimeout(() => {
    setImmediate(() => { if (socket.connecting) onMissed() })
  }, ms)
  const cancel = (): void => { clearTimeout(timer) }
  socket.once('connect', cancel)
  socket.once('close', cancel)
}
