/** Records of the files of a replica, framed with their length and a CRC. */
import * as zlib from 'node:zlib'
import * as cbor from 'cbor-x'

const HEADER_BYTES = 8
const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/** Encodes a record: payload length, CRC, payload. */
export function encodeRecord (value: unknown): Buffer {
  const payload = codec.encode(value)
  const out = Buffer.allocUnsafe(HEADER_BYTES + payload.length)
  out.writeUInt32BE(payload.length, 0)
  out.writeUInt32BE(zlib.crc32(payload), 4)
  out.set(payload, HEADER_BYTES)
  return out
}

/** The leading intact records of a file: their values, end offsets, and total size. */
export interface DecodedRecords { values: unknown[], ends: number[], validBytes: number }

/** Decodes records up to the first truncated or corrupt one. */
export function decodeRecords (bytes: Buffer): DecodedRecords {
  const values: unknown[] = []
  const ends: number[] = []
  let at = 0
  while (at + HEADER_BYTES <= bytes.length) {
    const length = bytes.readUInt32BE(at)
    const end = at + HEADER_BYTES + length
    // No value has an empty encoding, but a power loss may leave zeros in place of a record, and the CRC of nothing is zero.
    if (length === 0 || end > bytes.length) break
    const payload = bytes.subarray(at + HEADER_BYTES, end)
    if (zlib.crc32(payload) !== bytes.readUInt32BE(at + 4)) break
    values.push(codec.decode(payload))
    at = end
    ends.push(end)
  }
  return { values, ends, validBytes: at }
}
