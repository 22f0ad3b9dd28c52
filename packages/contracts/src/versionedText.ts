/**
 * A text with a version as it travels and as it is stored: whole, or as its difference from another one that the reader
 * holds. At the size we design for the operators' document is near a megabyte and changes 9,700 times a day, mostly in one
 * entry; a control instance on a link of a few Mbit/s cannot send it whole to every instance each time.
 */
import * as zlib from 'node:zlib'
import * as z from 'zod'
import * as binary from './binary.js'
import * as digests from './digest.js'

/** A text that a process holds. */
export interface VersionedText { version: number, /** SHA-256 of the text. */ digest: string, text: Buffer }

/** A text as it travels. */
export const packedText = z.object({
  version: z.number(),
  /** SHA-256 of the text. */
  digest: z.string(),
  /** SHA-256 of the text that the body is the difference from; empty where the body is the whole text. */
  base: z.string(),
  /** Deflated. */
  body: binary.bytes
})
/** A text as it travels. */
export type PackedText = z.infer<typeof packedText>

/** Texts resemble themselves so much that a higher level saves a hundredth of the bytes for twice the time. */
const DEFLATE_LEVEL = 3
/** Entries of lists in JSON end so; a text without them is one piece, and its difference is the whole. */
const ENTRY_END = '},'

const steps = z.array(z.union([z.string(), z.tuple([z.int().nonnegative(), z.int().positive()])]))
/** How to make a text: new bytes, or a run of pieces of the older one (the first piece, and how many). */
type Steps = z.infer<typeof steps>

/**
 * Holds a text under a version.
 * @param version its version
 * @param text its bytes
 * @returns both, with the digest
 */
export function toVersionedText (version: number, text: Uint8Array): VersionedText {
  return { version, digest: digests.sha256(text), text: Buffer.from(text) }
}

/**
 * Packs a text whole.
 * @param held the text
 * @returns it as it travels
 */
export function packFull (held: VersionedText): PackedText {
  return { version: held.version, digest: held.digest, base: '', body: zlib.deflateRawSync(held.text, { level: DEFLATE_LEVEL }) }
}

/**
 * Packs a text as its difference from another one.
 * @param from the text that the reader holds
 * @param to the text to send
 * @returns it as it travels
 */
export function packDelta (from: VersionedText, to: VersionedText): PackedText {
  const list = JSON.stringify(diff(cut(from.text), cut(to.text)))
  return { version: to.version, digest: to.digest, base: from.digest, body: zlib.deflateRawSync(Buffer.from(list, 'latin1'), { level: DEFLATE_LEVEL }) }
}

/**
 * Unpacks a text.
 * @param packed the text as it came
 * @param held what the reader holds, if anything
 * @returns the text, or undefined where it is the difference from a text that the reader does not hold
 * @throws Error when it is damaged
 */
export function unpackText (packed: PackedText, held: VersionedText | null): VersionedText | undefined {
  if (packed.base !== '' && packed.base !== held?.digest) return undefined
  const bytes = zlib.inflateRawSync(packed.body)
  const text = packed.base === '' || held === null ? bytes : patch(cut(held.text), steps.parse(JSON.parse(bytes.toString('latin1'))))
  // Guards against a text that nobody sent: a wrong difference would make one that may still be readable.
  if (digests.sha256(text) !== packed.digest) throw new Error(`the text of version ${packed.version} does not have its digest`)
  return { version: packed.version, digest: packed.digest, text }
}

/**
 * The text that was cut or put together last. Load pattern: a replica that starts applies many differences in a row, each to the
 * text that the one before made.
 */
let latest: { text: Buffer, pieces: string[] } | undefined

/** Bytes are handled as Latin-1, which keeps each of them as one character. */
function cut (text: Buffer): string[] {
  if (latest?.text === text) return latest.pieces
  const pieces = cutString(text.toString('latin1'))
  latest = { text, pieces }
  return pieces
}

/** Cuts behind each end of an entry; nothing comes of an empty text but one empty piece. */
function cutString (text: string): string[] {
  const pieces: string[] = []
  let from = 0
  for (let end = text.indexOf(ENTRY_END); end >= 0 && end + ENTRY_END.length < text.length; end = text.indexOf(ENTRY_END, from)) {
    pieces.push(text.slice(from, end + ENTRY_END.length))
    from = end + ENTRY_END.length
  }
  pieces.push(text.slice(from))
  return pieces
}

function diff (from: readonly string[], to: readonly string[]): Steps {
  const places = new Map(from.map((piece, place) => [piece, place]))
  const list: Steps = []
  for (const piece of to) {
    const last = list.at(-1)
    if (Array.isArray(last) && from[last[0] + last[1]] === piece) {
      last[1]++
      continue
    }
    const place = places.get(piece)
    if (place !== undefined) list.push([place, 1])
    else if (typeof last === 'string') list[list.length - 1] = last + piece
    else list.push(piece)
  }
  return list
}

function patch (from: readonly string[], list: Steps): Buffer {
  const pieces = list.flatMap(step => typeof step === 'string' ? cutString(step) : from.slice(step[0], step[0] + step[1]))
  const text = Buffer.from(pieces.join(''), 'latin1')
  // The last piece of the older text ends no entry: where it stands before others, the text would be cut otherwise.
  if (pieces.slice(0, -1).every(piece => piece.endsWith(ENTRY_END))) latest = { text, pieces }
  return text
}
