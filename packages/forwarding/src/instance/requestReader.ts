/** Reads the requests of client connections. */
import type * as http from 'node:http'
import type * as heldBytes from './heldBytes.js'

/**
 * Waits until the responses to earlier requests of the connection were sent: a response has no connection before, so nothing tells
 * whether its client is still there.
 * @returns false if the connection closed meanwhile
 */
export async function waitForTurn (req: http.IncomingMessage, res: http.ServerResponse): Promise<boolean> {
  return await new Promise(resolve => {
    res.once('socket', () => { resolve(true) })
    req.once('close', () => { resolve(false) })
  })
}

/** Result of {@link readBody}. */
export type RequestBody = { kind: 'complete', body: Buffer } | { kind: 'tooLarge' } | { kind: 'noRoom' } | { kind: 'broken' }

/**
 * Reads the body of a request.
 * @param holder account of its bytes, released by the caller
 */
export async function readBody (req: http.IncomingMessage, maxBytes: number, holder: heldBytes.Holder): Promise<RequestBody> {
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return { kind: 'tooLarge' }
  return await new Promise(resolve => {
    let chunks: Buffer[] = []
    let bytes = 0
    const reject = (kind: 'tooLarge' | 'noRoom'): void => {
      req.pause()
      chunks = []
      resolve({ kind })
    }
    holder.onExcess = () => { reject('noRoom') }
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > maxBytes) {
        reject('tooLarge')
        return
      }
      chunks.push(chunk)
      holder.add(chunk.length)
    })
    req.on('end', () => {
      // The request needs it until it has a response.
      holder.onExcess = undefined
      resolve({ kind: 'complete', body: Buffer.concat(chunks, bytes) })
    })
    // The client disconnected while sending: no response is possible.
    req.on('error', () => { resolve({ kind: 'broken' }) })
    req.on('close', () => { resolve({ kind: 'broken' }) })
  })
}
