/**
 * Encoding of versioned texts for transfer and storage, in full or as a delta from a text that the receiver has. Deltas
 * keep a small change to a large configuration document cheap on slow links.
 */
import * as zlib from 'node:zlib'
import * as z from 'zod'
import * as binary from './binary.js'
import * as digest from './digest.js'

/** A decoded text with its version. */
export interface VersionedText { version: number, /** SHA-256 of the text. */ digest: string, text: Buffer }

/** A text encoded in full or as a delta. */
export const packedText = z.object({
  version: z.number(),
  /** SHA-256 of the text. */
  digest: z.string(),
  /** SHA-256 of the base text of a delta; empty if the body is the full text. */
  base: z.string(),
  /** The full text or the delta, compressed with raw deflate. */
  body: binary.bytes
})
/** A text encoded in full or as a delta. */
export type PackedText = z.infer<typeof packedText>

/** Texts resemble themselves so much that a higher level saves a hundredth of the bytes for twice the time. */
const DEFLATE_LEVEL = 3
/** Far above any document that is accepted; damaged bytes must not unpack to more than memory holds. */
const MAX_TEXT_BYTES = 32 * 1024 * 1024
/** Ends an entry of a JSON list of objects. Texts are split after it; a text without it is a single piece. */
const ENTRY_END = '},'

const deltaSteps = z.array(z.union([z.string(), z.tuple([z.int().nonnegative(), z.int().positive()])]))
/** The steps of a delta: new text, or a range of the base text's pieces as index and count. */
type DeltaSteps = z.infer<typeof deltaSteps>

/** Creates a versioned text from a copy of the bytes. */
export function toVersionedText (version: number, text: Uint8Array): VersionedText {
  return { version, digest: digest.sha256(text), text: Buffer.from(text) }
}

/** Encodes a text in full. */
export function packFull (text: VersionedText): PackedText {
  return { version: text.version, digest: text.digest, base: '', body: zlib.deflateRawSync(text.text, { level: DEFLATE_LEVEL }) }
}

/**
 * Encodes a text as a delta.
 * @param from the base text, which the receiver must have
 */
export function packDelta (from: VersionedText, to: VersionedText): PackedText {
  const json = JSON.stringify(diff(splitText(from.text), splitText(to.text)))
  return { version: to.version, digest: to.digest, base: from.digest, body: zlib.deflateRawSync(Buffer.from(json, 'latin1'), { level: DEFLATE_LEVEL }) }
}

/**
 * Decodes a text.
 * @param current the latest text of the receiver, if any
 * @returns the text, or undefined if it is a delta from a text other than `current`
 * @throws Error when the body is damaged or does not match its digest
 */
export function unpackText (packed: PackedText, current: VersionedText | null): VersionedText | undefined {
  if (packed.base !== '' && packed.base !== current?.digest) return undefined
  const bytes = zlib.inflateRawSync(packed.body, { maxOutputLength: MAX_TEXT_BYTES })
  const text = packed.base === '' || current === null ? bytes : patch(splitText(current.text), deltaSteps.parse(JSON.parse(bytes.toString('latin1'))))
  // A delta applied to the wrong base may still yield a parseable text.
  if (digest.sha256(text) !== packed.digest) throw new Error(`text of version ${packed.version} does not match its digest ${packed.digest}`)
  return { version: packed.version, digest: packed.digest, text }
}

/** Caches the pieces of the latest text, since a starting replica applies deltas in sequence, each to the previous result. */
let latest: { text: Buffer, pieces: string[] } | undefined

/** Splits a text into pieces, decoded as Latin-1 to map each byte to one character. */
function splitText (text: Buffer): string[] {
  if (latest?.text === text) return latest.pieces
  const pieces = splitString(text.toString('latin1'))
  latest = { text, pieces }
  return pieces
}

/** Splits after each end of an entry; an empty text yields one empty piece. */
function splitString (text: string): string[] {
  const pieces: string[] = []
  let from = 0
  for (let end = text.indexOf(ENTRY_END); end >= 0 && end + ENTRY_END.length < text.length; end = text.indexOf(ENTRY_END, from)) {
    pieces.push(text.slice(from, end + ENTRY_END.length))
    from = end + ENTRY_END.length
  }
  pieces.push(text.slice(from))
  return pieces
}

function diff (from: readonly string[], to: readonly string[]): DeltaSteps {
  const indexes = new Map(from.map((piece, index) => [piece, index]))
  const steps: DeltaSteps = []
  for (const piece of to) {
    const last = steps.at(-1)
    if (Array.isArray(last) && from[last[0] + last[1]] === piece) {
      last[1]++
      continue
    }
    const index = indexes.get(piece)
    if (index !== undefined) steps.push([index, 1])
    else if (typeof last === 'string') steps[steps.length - 1] = last + piece
    else steps.push(piece)
  }
  return steps
}

function patch (from: readonly string[], steps: DeltaSteps): Buffer {
  const pieces: string[] = []
  let bytes = 0
  for (const step of steps) {
    for (const piece of typeof step === 'string' ? splitString(step) : from.slice(step[0], step[0] + step[1])) {
      bytes += piece.length
      if (bytes > MAX_TEXT_BYTES) throw new Error(`text is longer than ${MAX_TEXT_BYTES} bytes`)
      pieces.push(piece)
    }
  }
  const text = Buffer.from(pieces.join(''), 'latin1')
  // A base's last piece that was copied before others is not a piece of the new text: such pieces must not be cached.
  if (pieces.slice(0, -1).every(piece => piece.endsWith(ENTRY_END))) latest = { text, pieces }
  return text
}
