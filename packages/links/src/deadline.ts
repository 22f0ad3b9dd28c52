/**
 * Deadlines of what arrives over the network. After a stall of the process the event loop runs due timers before it reads what has arrived
 * meanwhile, so a verdict waits until that was read.
 */
import type * as net from 'node:net'

/**
 * Calls back once a time is over.
 * @param ms time from now
 * @returns a function that cancels it
 */
export function setDeadline (ms: number, onMissed: () => void): () => void {
  let immediate: NodeJS.Immediate | undefined
  const timer = setTimeout(() => { immediate = setImmediate(onMissed) }, ms)
  return () => {
    clearTimeout(timer)
    clearImmediate(immediate)
  }
}

/**
 * Calls back when a socket is not connected in time.
 * @param ms time from now
 */
export function setConnectDeadline (socket: net.Socket, ms: number, onMissed: () => void): void {
  const cancel = setDeadline(ms, () => { if (socket.connecting) onMissed() })
  socket.once('connect', cancel)
  socket.once('close', cancel)
}
