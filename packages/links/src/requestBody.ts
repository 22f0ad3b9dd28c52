/** Reads the bodies of requests within limits: that of the call, and those of all that the process holds. */
import type * as http from 'node:http'
import * as growingBuffers from './growingBuffer.js'
import type * as heldBytes from './heldBytes.js'

/** Result of {@link readRequestBody}: `noRoom` if the process holds too much, `broken` if the connection ended first. */
export type RequestBody = { kind: 'complete', body: Buffer } | { kind: 'tooLarge' | 'noRoom' | 'broken' }

/** Options of {@link readRequestBody}. */
export interface RequestBodyOptions {
  /** Limit of this body, bytes. */
  maxBytes: number
  /** Account of the memory of the body, released by the caller once it no longer needs a complete one. */
  holder: heldBytes.Holder
  /** Reserves bytes of a further limit. @returns whether there was room */
  reserve?: (bytes: number) => boolean
  /** Called at once when the body is not read to its end, so that others have its room. */
  onRefused?: () => void
}

/** Reads a body; one that announces a length over its limit is not read. After a refusal the rest is left to the caller. */
export async function readRequestBody (req: http.IncomingMessage, { maxBytes, holder, reserve = () => true, onRefused }: RequestBodyOptions): Promise<RequestBody> {
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return { kind: 'tooLarge' }
  return await new Promise(resolve => {
    const buffer = growingBuffers.createGrowingBuffer(maxBytes)
    let bytes = 0
    const end = (result: RequestBody): void => {
      req.off('data', onData).off('end', onEnd).off('close', onClose)
      // A complete body is needed until the request has a response.
      holder.onExcess = undefined
      if (result.kind !== 'complete') {
        holder.release()
        onRefused?.()
      }
      resolve(result)
    }
    const onData = (chunk: Buffer): void => {
      bytes += chunk.length
      if (bytes > maxBytes) end({ kind: 'tooLarge' })
      else if (!reserve(chunk.length)) end({ kind: 'noRoom' })
      else {
        buffer.append(chunk)
        holder.set(buffer.capacity())
      }
    }
    const onEnd = (): void => { end({ kind: 'complete', body: buffer.view() }) }
    const onClose = (): void => { end({ kind: 'broken' }) }
    holder.onExcess = () => { end({ kind: 'noRoom' }) }
    // Without a listener, a connection that breaks would be an uncaught error; `close` follows.
    req.on('error', () => {})
    req.on('data', onData).on('end', onEnd).on('close', onClose)
  })
}
