/** Reads bodies of endpoints up to a size: an endpoint in trouble may send bytes without end. */
import * as links from '@kingcupdeck/links'

/** A body is larger than its reader accepts. */
export class BodyTooLargeError extends Error {
  constructor (maxBytes: number) {
    super(`the body is larger than ${maxBytes} bytes`)
    this.name = 'BodyTooLargeError'
  }
}

/** Reads until a body ends or is larger than `maxBytes`; the rest is not read. */
async function readUpTo (body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Buffer> {
  const buffer = links.createGrowingBuffer(maxBytes)
  for await (const chunk of body) {
    buffer.append(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength))
    if (buffer.size() > maxBytes) break
  }
  return buffer.view()
}

/**
 * Reads a body to its end.
 * @param maxBytes maximum size
 * @throws BodyTooLargeError when it is larger; the rest is not read
 */
export async function readBounded (body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Buffer> {
  const read = await readUpTo(body, maxBytes)
  if (read.length > maxBytes) throw new BodyTooLargeError(maxBytes)
  return read
}

/**
 * Reads the beginning of a body as text; the rest is not read.
 * @param maxBytes maximum size of the beginning
 */
export async function readBeginning (body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<string> {
  return (await readUpTo(body, maxBytes)).subarray(0, maxBytes).toString()
}

/**
 * Reads a JSON body.
 * @param maxBytes maximum size
 * @throws BodyTooLargeError when it is larger, SyntaxError when it is not JSON
 */
export async function readJson (body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<unknown> {
  return JSON.parse((await readBounded(body, maxBytes)).toString())
}
