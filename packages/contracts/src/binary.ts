/** Binary parts of messages. */
import * as z from 'zod'

/** Bytes as CBOR carries them. */
export const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'must be bytes')
