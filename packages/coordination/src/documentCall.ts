/** Schemas of the calls between control instances about the document and the evacuations. */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as evacuationOrders from './evacuationOrders.js'

/** Calls between control instances about the document and the evacuations. */
export const documentCall = z.discriminatedUnion('t', [
  z.object({ t: z.literal('replica'), msg: z.unknown() }),
  z.object({ t: z.literal('put'), packed: contracts.packedText }),
  z.object({ t: z.literal('read'), version: z.number() }),
  /** Waits until the receiver's handout file has a committed document of this or a later version. */
  z.object({ t: z.literal('keep'), version: z.number() }),
  ...evacuationOrders.evacuationCall.options
])
/** Calls between control instances about the document and the evacuations. */
export type DocumentCall = z.infer<typeof documentCall>

const documentCallTags: ReadonlySet<unknown> = new Set(documentCall.options.map(item => item.shape.t.value))

/** Returns whether a message is meant to be a {@link DocumentCall}, by its tag alone. */
export function isDocumentCall (body: unknown): boolean {
  return documentCallTags.has((body as { t?: unknown })?.t)
}
