/** Client that sends bytes as they are. */
import * as net from 'node:net'

/** What a client received until the connection was closed. */
export interface RawResult { text: string, /** Whether the connection was reset. */ isReset: boolean }

/** Options of {@link sendRaw}. */
export interface RawOptions {
  /** Bytes that are sent once a part of a response was received. */
  later?: string | Buffer
  /** Closes the connection after this time, in milliseconds. */
  timeoutMs?: number
}

/** Sends bytes and reads until the connection closes. */
export async function sendRaw (address: string, bytes: string | Buffer, { later, timeoutMs = 5000 }: RawOptions = {}): Promise<RawResult> {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    let text = ''
    let isReset = false
    const socket = net.connect({ host, port: Number(port) }, () => { socket.write(bytes) })
    const timer = setTimeout(() => { socket.destroy() }, timeoutMs)
    socket.on('data', chunk => {
      if (text === '' && later !== undefined) socket.write(later)
      text += chunk.toString('latin1')
    })
    socket.on('error', (err: NodeJS.ErrnoException) => { isReset ||= err.code === 'ECONNRESET' })
    socket.on('close', () => {
      clearTimeout(timer)
      resolve({ text, isReset })
    })
  })
}
