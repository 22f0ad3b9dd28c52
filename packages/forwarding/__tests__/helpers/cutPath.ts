/** Path between one entry instance and the endpoints, which a test can cut. */
import * as net from 'node:net'
import * as links from '@kingcupdeck/links'

/** What happens to connections while a path is cut: nothing is received, they are reset, or only new ones are refused. */
export type CutMode = 'silent' | 'reset' | 'refused'

export interface CutPath {
  connect: (address: string) => net.Socket
  /** Cuts the path to some endpoints, by address. */
  cut: (mode: CutMode, addresses: readonly string[]) => void
  restore: () => void
  /** Addresses that connections were opened to while their path was intact. */
  opened: string[]
}

export function createCutPath (): CutPath {
  const modes = new Map<string, CutMode>()
  const open = new Map<net.Socket, string>()
  const opened: string[] = []

  const connect = (address: string): net.Socket => {
    const mode = modes.get(address)
    if (mode !== undefined) return createCutSocket(mode)
    opened.push(address)
    const socket = net.connect(links.parseAddress(address))
    open.set(socket, address)
    socket.on('close', () => { open.delete(socket) })
    return socket
  }

  return {
    connect,
    opened,
    cut (mode, addresses) {
      for (const address of addresses) modes.set(address, mode)
      for (const [socket, address] of open) {
        if (!addresses.includes(address)) continue
        if (mode === 'reset') socket.resetAndDestroy()
        if (mode === 'silent') silence(socket)
      }
    },
    restore () { modes.clear() }
  }
}

/** Returns a socket that never connects, or fails at once. */
function createCutSocket (mode: CutMode): net.Socket {
  const socket = new net.Socket()
  Object.defineProperty(socket, 'connecting', { value: true })
  if (mode !== 'silent') setImmediate(() => { socket.destroy(new Error('connect ECONNREFUSED')) })
  return socket
}

function silence (socket: net.Socket): void {
  socket.pause()
  Object.assign(socket, { _write: () => {}, _writev: null, resume: () => socket, read: () => null })
}
