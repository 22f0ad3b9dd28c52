/** Framing of links: a 4-byte big-endian length, followed by a CBOR tuple of frame kind, call number and body. */
import * as cbor from 'cbor-x'

/** Kind of a frame. The numeric values are part of the protocol. */
export enum FrameKind { event, call, reply, callFailed, ping, pong }

/** A frame; the call number is 0 for frames that belong to no call. */
export type Frame = [kind: FrameKind, call: number, body: unknown]

const LENGTH_BYTES = 4
const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/** A frame that exceeds the size limit or is malformed. */
export class FrameError extends Error {}

/** Encodes a frame including its length prefix. */
export function encodeFrame (frame: Frame): Buffer {
  const body = codec.encode(frame)
  const out = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
  out.writeUInt32BE(body.length, 0)
  out.set(body, LENGTH_BYTES)
  return out
}

/** A received frame and its size on the wire. */
export interface ReceivedFrame { frame: Frame, bytes: number }

/** Incremental decoder of a byte stream. */
export interface FrameReader {
  /** Adds the next bytes of the stream. */
  add (chunk: Buffer): void
  /**
   * Returns the next frame, undefined if it is not complete yet.
   * @throws FrameError when the frame is too large or malformed
   */
  take (): ReceivedFrame | undefined
  /**
   * Adds the next bytes of the stream.
   * @returns the frames completed by them
   * @throws FrameError when a frame is too large or malformed
   */
  push (chunk: Buffer): ReceivedFrame[]
  /** Number of bytes that were added and not taken. */
  pendingBytes (): number
}

/**
 * Creates a frame reader. Its cost is linear in the number of bytes, however many chunks a frame has.
 * @param maxBytes size limit, evaluated for each frame so that it can be raised after the handshake
 */
export function createFrameReader (maxBytes: () => number): FrameReader {
  let pending: Buffer[] = []
  let pendingBytes = 0
  /** Bytes without which the next frame, or its length, is not complete. */
  let neededBytes = LENGTH_BYTES

  const keep = (rest: Buffer, needed: number): void => {
    pending = rest.length > 0 ? [rest] : []
    pendingBytes = rest.length
    neededBytes = needed
  }

  const take = (): ReceivedFrame | undefined => {
    if (pendingBytes < neededBytes) return undefined
    const all = pending.length === 1 ? pending[0] : Buffer.concat(pending, pendingBytes)
    const length = all.readUInt32BE(0)
    if (length > maxBytes()) throw new FrameError(`frame of ${length} bytes exceeds the limit of ${maxBytes()} bytes`)
    const end = LENGTH_BYTES + length
    if (all.length < end) {
      keep(all, end)
      return undefined
    }
    keep(all.subarray(end), LENGTH_BYTES)
    return { frame: decodeFrame(all.subarray(LENGTH_BYTES, end)), bytes: end }
  }

  const add = (chunk: Buffer): void => {
    pending.push(chunk)
    pendingBytes += chunk.length
  }

  return {
    add,
    take,
    push (chunk) {
      add(chunk)
      const frames: ReceivedFrame[] = []
      for (let item = take(); item !== undefined; item = take()) frames.push(item)
      return frames
    },
    pendingBytes: () => pendingBytes
  }
}

function decodeFrame (bytes: Buffer): Frame {
  let item: unknown
  try {
    item = codec.decode(bytes)
  } catch (err) {
    throw new FrameError(`frame of ${bytes.length} bytes is not valid CBOR: ${err instanceof Error ? err.message : String(err)}`)
  }
  if (!Array.isArray(item) || item.length !== 3 || typeof item[0] !== 'number' || typeof item[1] !== 'number') {
    throw new FrameError('frame is not a tuple of kind, call number and body')
  }
  return item as Frame
}
