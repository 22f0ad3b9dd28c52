/** What control instances and entry instances say to each other about records and documents. */
import * as zlib from 'node:zlib'
import * as cbor from 'cbor-x'
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as records from './records.js'
import type * as sendBudgets from './sendBudget.js'

/** Calls to a control instance. */
export const discoveryCall = z.discriminatedUnion('t', [
  /** An entry instance that holds a version of the document asks to be told of everything from now on. */
  z.object({ t: z.literal('subscribe'), self: records.record, version: z.number() }),
  /** Records that changed, to be confirmed. */
  z.object({ t: z.literal('records'), list: z.array(records.record) }),
  /** Another control instance compares what it knows. */
  z.object({ t: z.literal('compare'), records: contracts.bytes }),
  /** An instance that holds a version of the document asks for the latest. */
  z.object({ t: z.literal('fetch'), version: z.number() })
])
/** Calls to a control instance. */
export type DiscoveryCall = z.infer<typeof discoveryCall>

/** What a control instance answers. */
export const discoveryReply = z.object({
  /** The records it knows, packed; nothing where the call is about the document. */
  records: contracts.bytes.nullable(),
  /** Addresses of all control instances. */
  controls: z.array(z.string()),
  /** Version of the document that it holds, 0 without one. */
  version: z.number(),
  /** The document, where the caller holds an older one and it was fetched or is small. */
  document: contracts.packedText.nullable(),
  /** Whether the document is withheld for now, since the sender's link is busy with others who asked for it. */
  isBusy: z.boolean().optional()
})
/** What a control instance answers: records, and the document where the caller holds an older one. */
export type DiscoveryReply = z.infer<typeof discoveryReply>

/** Events, in either direction. */
export const discoveryEvent = z.discriminatedUnion('t', [
  z.object({ t: z.literal('news'), list: z.array(records.record) }),
  /** A newer document is held by the sender: it may be fetched. */
  z.object({ t: z.literal('version'), version: z.number() }),
  z.object({
    t: z.literal('tick'),
    /** Whether the sender heard from a quorum of control instances lately. */
    isCurrent: z.boolean(),
    /** Version of the document that the sender holds. */
    version: z.number(),
    signs: z.array(records.heartbeat),
    /** Addresses of the control instances. */
    controls: z.array(z.string())
  }),
  /** Signs of life that one control instance passes on to the others. */
  z.object({ t: z.literal('signs'), signs: z.array(records.heartbeat) })
])
/** Events, in either direction. */
export type DiscoveryEvent = z.infer<typeof discoveryEvent>

/** How often control instances pass on signs of life, and entry instances announce themselves, milliseconds. */
export const TICK_INTERVAL_MS = 1000

const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/**
 * Packs all records of a process. Load pattern: after a loss of power all instances ask for all records at once, and 130 of
 * them take 25 KB; packed, a seventh of that.
 * @param list the records
 * @returns them as they travel
 */
export function packRecords (list: readonly records.Record[]): Uint8Array {
  return zlib.deflateRawSync(codec.encode(list), { level: 1 })
}

/**
 * Unpacks records.
 * @param bytes what {@link packRecords} gave
 * @returns the records
 * @throws Error when they are damaged
 */
export function unpackRecords (bytes: Uint8Array): records.Record[] {
  return z.array(records.record).parse(codec.decode(zlib.inflateRawSync(bytes)))
}

/**
 * Encodes an answer, to be handed out later.
 * @param reply the answer
 * @returns its bytes
 */
export function encodeReply (reply: DiscoveryReply): Uint8Array {
  return codec.encode(reply)
}

/**
 * Reads what {@link encodeReply} gave.
 * @param bytes its bytes
 * @returns the answer
 * @throws Error when they are damaged
 */
export function decodeReply (bytes: Uint8Array): DiscoveryReply {
  return discoveryReply.parse(codec.decode(bytes))
}

/**
 * Hands a document out if the link has room for it.
 * @param document the document, or null where the caller holds the latest
 * @param budget the room
 * @param now the time on the steady clock
 * @returns the part of an answer that is about the document
 */
export function toDocumentReply (document: contracts.PackedText | null, budget: sendBudgets.SendBudget, now: number): Pick<DiscoveryReply, 'document' | 'isBusy'> {
  if (document === null || budget.tryReserve(document.body.length, now)) return { document, isBusy: false }
  return { document: null, isBusy: true }
}
