/**
 * Frames between the system's own processes: four bytes of length, then one CBOR item. An item is a tuple of the kind of
 * frame, a call number and a body; the kinds are listed in {@link FrameKind}.
 */
import * as cbor from 'cbor-x'

/** What a frame is for. */
export enum FrameKind { event, call, reply, callFailed, ping, pong }

/** A frame as it travels. */
export type Frame = [kind: FrameKind, call: number, body: unknown]

const LENGTH_BYTES = 4
const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/** The frame is larger than its reader takes, or is no CBOR. */
export class FrameError extends Error {}

/**
 * Encodes a frame.
 * @param frame what to send
 * @returns its bytes with the length in front
 */
export function encodeFrame (frame: Frame): Buffer {
  const body = codec.encode(frame)
  const out = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
  out.writeUInt32BE(body.length, 0)
  out.set(body, LENGTH_BYTES)
  return out
}

/** A frame that came, with its size on the wire. */
export interface ReceivedFrame { frame: Frame, bytes: number }

/** Cuts a byte stream into frames. */
export interface FrameReader {
  /**
   * Takes bytes as they come.
   * @param chunk the next bytes
   * @returns the frames that are complete now
   * @throws FrameError when a frame is too large or cannot be read
   */
  push (chunk: Buffer): ReceivedFrame[]
}

/**
 * Creates a reader.
 * @param maxBytes the largest frame it takes; read anew for each frame, so that a limit can rise after a handshake
 * @returns the reader
 */
export function createFrameReader (maxBytes: () => number): FrameReader {
  let held: Buffer[] = []
  let heldBytes = 0
  const take = (): Buffer => {
    const all = held.length === 1 ? held[0] : Buffer.concat(held)
    held = []
    heldBytes = 0
    return all
  }
  return {
    push (chunk) {
      held.push(chunk)
      heldBytes += chunk.length
      const frames: ReceivedFrame[] = []
      if (heldBytes < LENGTH_BYTES) return frames
      let all = take()
      while (all.length >= LENGTH_BYTES) {
        const length = all.readUInt32BE(0)
        if (length > maxBytes()) throw new FrameError(`frame of ${length} bytes is over the limit of ${maxBytes()}`)
        if (all.length < LENGTH_BYTES + length) break
        frames.push({ frame: decode(all.subarray(LENGTH_BYTES, LENGTH_BYTES + length)), bytes: LENGTH_BYTES + length })
        all = all.subarray(LENGTH_BYTES + length)
      }
      if (all.length > 0) {
        held.push(all)
        heldBytes = all.length
      }
      return frames
    }
  }
}

function decode (bytes: Buffer): Frame {
  let item: unknown
  try {
    item = codec.decode(bytes)
  } catch (err) {
    throw new FrameError(`frame is no CBOR: ${err instanceof Error ? err.message : String(err)}`)
  }
  if (!Array.isArray(item) || item.length !== 3 || typeof item[0] !== 'number' || typeof item[1] !== 'number') {
    throw new FrameError('frame is not a tuple of kind, call and body')
  }
  return item as Frame
}
