/** Binary fields of messages. */
import * as z from 'zod'

/** A CBOR byte string. */
export const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'must be bytes')
