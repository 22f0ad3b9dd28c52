/** Reads the requests of client connections. */
import type * as http from 'node:http'

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
export type RequestBody = { kind: 'complete', body: Buffer } | { kind: 'tooLarge' } | { kind: 'broken' }

/** Reads the body of a request. */
export async function readBody (req: http.IncomingMessage, maxBytes: number): Promise<RequestBody> {
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return { kind: 'tooLarge' }
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let bytes = 0
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > maxBytes) {
        req.pause()
        resolve({ kind: 'tooLarge' })
        return
      }
      chunks.push(chunk)
    })
    req.on('end', () => { resolve({ kind: 'complete', body: Buffer.concat(chunks, bytes) }) })
    // The client disconnected while sending: no response is possible.
    req.on('error', () => { resolve({ kind: 'broken' }) })
    req.on('close', () => { resolve({ kind: 'broken' }) })
  })
}
