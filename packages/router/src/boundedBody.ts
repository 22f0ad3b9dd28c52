/** Reads bodies of endpoints up to a size: an endpoint in trouble may send bytes without end. */

/** A body is larger than its reader accepts. */
export class BodyTooLargeError extends Error {
  constructor (maxBytes: number) {
    super(`the body is larger than ${maxBytes} bytes`)
    this.name = 'BodyTooLargeError'
  }
}

/**
 * Reads a body to its end.
 * @param maxBytes maximum size
 * @throws BodyTooLargeError when it is larger; the rest is not read
 */
export async function readBounded (body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Uint8Array> {
  const chunks: Uint8Array[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += chunk.length
    if (bytes > maxBytes) throw new BodyTooLargeError(maxBytes)
    chunks.push(chunk)
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks, bytes)
}

/**
 * Reads the beginning of a body as text; the rest is not read.
 * @param maxBytes maximum size of the beginning
 */
export async function readBeginning (body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<string> {
  const chunks: Uint8Array[] = []
  let bytes = 0
  for await (const chunk of body) {
    chunks.push(chunk)
    bytes += chunk.length
    if (bytes >= maxBytes) break
  }
  return Buffer.concat(chunks, bytes).subarray(0, maxBytes).toString()
}

/**
 * Reads a JSON body.
 * @param maxBytes maximum size
 * @throws BodyTooLargeError when it is larger, SyntaxError when it is not JSON
 */
export async function readJson (body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<unknown> {
  return JSON.parse(Buffer.from(await readBounded(body, maxBytes)).toString())
}
