/**
 * Bounds and checks of input: of everything that endpoints, operators, clients, files and other instances send. Schemas of input are
 * built from these, so that a value that passed its schema can be used in a header, an address or a timer as it is.
 */
import * as z from 'zod'

/** The longest delay of a timer, milliseconds: a longer one fires at once. */
export const MAX_TIMER_MS = 2 ** 31 - 1
/** The longest name or id, characters. */
export const MAX_NAME_LENGTH = 256
/** The highest first octet of an address that can be connected to; multicast, reserved and broadcast addresses are above. */
const MAX_FIRST_OCTET = 223
const MAX_PORT = 65_535
/** First octet and port of an address; records of a whole fleet are checked at once, which is slow with several calls for each. */
const ADDRESS = /^([1-9]\d{0,2})(?:\.(?:\d|[1-9]\d|1\d\d|2[0-4]\d|25[0-5])){3}:([1-9]\d{0,4})$/

/** A name: no control characters, at least one character. */
export const name = z.string().min(1).max(MAX_NAME_LENGTH).regex(/^\P{Cc}+$/u, 'must not contain control characters')

/** An id that can be sent as a header value: printable ASCII without a space at either end. */
export const headerId = z.string().max(MAX_NAME_LENGTH).regex(/^[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?$/, 'must be printable ASCII without a space at either end')

/** IPv4 address and port that can be connected to. */
export const address = z.string().max(21).refine(isAddress, 'must be an IPv4 address and a port from 1 to 65535')

/** A safe integer of 0 or more. */
export const count = z.int().nonnegative()

/** A duration that a timer can wait for, milliseconds. */
export const durationMs = z.number().nonnegative().max(MAX_TIMER_MS)

/** Returns a delay that a timer can wait for, from one that was computed from input: a timer with a longer one fires at once. */
export function toTimerMs (ms: number): number {
  return ms > 0 ? Math.min(ms, MAX_TIMER_MS) : 0
}

/** Returns whether a text is an IPv4 address and a port that can be connected to. */
function isAddress (text: string): boolean {
  const match = ADDRESS.exec(text)
  return match !== null && Number(match[1]) <= MAX_FIRST_OCTET && Number(match[2]) <= MAX_PORT
}

/** Limits of a JSON text. */
export interface JsonLimits {
  maxBytes: number
  /** Objects and arrays within each other. */
  maxDepth: number
  /** Members of all objects and arrays together. */
  maxValues: number
}

/** Result of {@link parseJson}; `message` says what to correct. */
export type ParsedJson = { kind: 'valid', value: unknown } | { kind: 'invalid', message: string }

/**
 * Parses JSON within limits, which are checked before anything is allocated.
 * @param bytes the text as UTF-8
 */
export function parseJson (bytes: Uint8Array, limits: JsonLimits): ParsedJson {
  const excess = findExcess(bytes, limits)
  if (excess !== undefined) return { kind: 'invalid', message: excess }
  try {
    return { kind: 'valid', value: JSON.parse(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('utf8')) }
  } catch (err) {
    return { kind: 'invalid', message: `not valid JSON: ${err instanceof Error ? err.message : String(err)}` }
  }
}

const QUOTE = 0x22
const BACKSLASH = 0x5c
const COMMA = 0x2c
const OPEN_ARRAY = 0x5b
const CLOSE_ARRAY = 0x5d
const OPEN_OBJECT = 0x7b
const CLOSE_OBJECT = 0x7d

/** Returns which limit a JSON text exceeds; a text that is not valid JSON need not exceed any. */
export function findExcess (bytes: Uint8Array, limits: JsonLimits): string | undefined {
  if (bytes.length > limits.maxBytes) return `longer than ${limits.maxBytes} bytes`
  let depth = 0
  let values = 0
  let isInString = false
  for (let i = 0; i < bytes.length; i++) {
    const byte = bytes[i]
    if (isInString) {
      if (byte === BACKSLASH) i++
      else if (byte === QUOTE) isInString = false
      continue
    }
    switch (byte) {
      case QUOTE: isInString = true; break
      case OPEN_ARRAY:
      case OPEN_OBJECT:
        values++
        if (++depth > limits.maxDepth) return `nested deeper than ${limits.maxDepth} levels`
        break
      case CLOSE_ARRAY:
      case CLOSE_OBJECT: depth--; break
      case COMMA: values++; break
    }
    if (values > limits.maxValues) return `more than ${limits.maxValues} values`
  }
  return undefined
}

/** Result of {@link parseEach}. */
export interface ParsedEach<T> {
  accepted: T[]
  /** Number of items that do not match the schema. */
  refused: number
  /** What is wrong with the first of them. */
  why: string | undefined
}

/**
 * Parses the items of a list one by one, so that an item that does not match costs none of the others.
 * @param list the parsed list; anything but an array counts as one refused item
 */
export function parseEach<T> (schema: z.ZodType<T>, list: unknown): ParsedEach<T> {
  if (!Array.isArray(list)) return { accepted: [], refused: 1, why: 'not a list' }
  const result: ParsedEach<T> = { accepted: [], refused: 0, why: undefined }
  for (const item of list) {
    const parsed = schema.safeParse(item)
    if (parsed.success) result.accepted.push(parsed.data)
    else {
      result.refused++
      result.why ??= z.prettifyError(parsed.error)
    }
  }
  return result
}
