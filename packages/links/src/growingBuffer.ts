/** Bytes that arrive in chunks, in one buffer: an object for each chunk would take a multiple of the bytes of small ones. */

const EMPTY = Buffer.alloc(0)
/** A first chunk is kept as it is if the memory that it is a part of is at most this much larger. */
const MAX_KEPT_FACTOR = 2

/** A buffer that grows. */
export interface GrowingBuffer {
  append (chunk: Buffer): void
  /** Removes bytes from the beginning. */
  skip (bytes: number): void
  /** Returns the bytes, valid until the next change. */
  view (): Buffer
  /** Returns the number of bytes. */
  size (): number
  /** Returns the number of bytes of memory. */
  capacity (): number
}

/**
 * Creates an empty buffer.
 * @param maxCapacity size beyond which it does not grow ahead of its bytes
 */
export function createGrowingBuffer (maxCapacity = Infinity): GrowingBuffer {
  let buffer: Buffer = EMPTY
  let start = 0
  let end = 0
  /** A first chunk that was not copied must not be written to. */
  let isOwned = false

  const grow = (chunk: Buffer): void => {
    const bytes = end - start
    const needed = bytes + chunk.length
    const grown = Buffer.allocUnsafeSlow(Math.max(needed, Math.min(maxCapacity, 2 * needed)))
    buffer.copy(grown, 0, start, end)
    buffer = grown
    start = 0
    end = bytes
    isOwned = true
  }

  return {
    append (chunk) {
      if (start === end) {
        // A small part would keep all of what it is a part of.
        isOwned = chunk.buffer.byteLength > MAX_KEPT_FACTOR * chunk.length
        buffer = isOwned ? Buffer.from(chunk) : chunk
        start = 0
        end = chunk.length
        return
      }
      if (!isOwned || end + chunk.length > buffer.length) grow(chunk)
      chunk.copy(buffer, end)
      end += chunk.length
    },
    skip (bytes) {
      start = Math.min(end, start + bytes)
      if (start < end) return
      buffer = EMPTY
      start = end = 0
    },
    view: () => buffer.subarray(start, end),
    size: () => end - start,
    capacity: () => buffer.length
  }
}
