/**
 * Messages between control instances and entry instances about records and documents. Items of their lists are unchecked:
 * {@link createIntake} checks them one by one, so that an item from an instance of another version costs none of the others.
 */
import * as zlib from 'node:zlib'
import * as cbor from 'cbor-x'
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as evacuations from './evacuations.js'
import * as records from './records.js'
import type * as sendBudgets from './sendBudget.js'

/** Calls to a control instance; `fetch` is also answered by entry instances. */
export const discoveryCall = z.discriminatedUnion('t', [
  z.object({
    /** Subscribes an entry instance to all changes. */
    t: z.literal('subscribe'),
    self: z.unknown(),
    /** Version of the caller's document. */
    version: z.number(),
    /** Whether the caller accepts packed changes, and changes of liveness instead of every heartbeat. */
    isCompact: z.boolean().default(false)
  }),
  /** Changed records, to be acknowledged. */
  z.object({ t: z.literal('records'), list: z.array(z.unknown()) }),
  /** All records of another control instance, for anti-entropy. */
  z.object({ t: z.literal('compare'), records: contracts.bytes }),
  /** Fetches the latest document; `version` is the version of the caller's document. */
  z.object({ t: z.literal('fetch'), version: z.number() })
])
/** Calls to a control instance; `fetch` is also answered by entry instances. */
export type DiscoveryCall = z.input<typeof discoveryCall>

/** Reply to a {@link DiscoveryCall}. */
export const discoveryReply = z.object({
  /** All records of the sender, packed; null in replies that are only about the document. */
  records: contracts.bytes.nullable(),
  /** Addresses of all control instances. */
  controls: z.array(z.unknown()),
  /** Ids of records without a recent heartbeat, in the reply to a compact subscription. */
  late: z.array(z.unknown()).optional(),
  /** Version of the sender's document, 0 without one. */
  version: z.number(),
  /** The document, if the caller's is older and it was fetched or is small enough to be included. */
  document: contracts.packedText.nullable(),
  /** Whether the sender, a control instance, had applied everything that was committed a short time ago; absent from earlier versions. */
  isCurrent: z.boolean().optional(),
  /** Whether the document is withheld because the sender's link is busy. */
  isBusy: z.boolean().optional(),
  /** Absent before the first evacuation. */
  evacuations: evacuations.evacuationReport.optional()
})
/** Reply to a {@link DiscoveryCall}. */
export type DiscoveryReply = z.infer<typeof discoveryReply>

/** Events, in either direction. */
export const discoveryEvent = z.discriminatedUnion('t', [
  /** Records that changed. */
  z.object({ t: z.literal('news'), list: z.array(z.unknown()) }),
  /** Records that changed, packed. */
  z.object({ t: z.literal('packedNews'), records: contracts.bytes }),
  /** A newer document can be fetched from the sender. */
  z.object({ t: z.literal('version'), version: z.number() }),
  /** The evacuated zones changed. */
  z.object({ t: z.literal('evacuations'), evacuations: evacuations.evacuationReport }),
  z.object({
    t: z.literal('tick'),
    /** Whether the sender had applied everything that was committed a short time ago. */
    isCurrent: z.boolean(),
    /** Version of the sender's document. */
    version: z.number(),
    /** Heartbeats; to a compact subscription only those of records that are no longer late. */
    signs: z.array(z.unknown()),
    /** Ids of records that have become late since the last tick, to a compact subscription. */
    late: z.array(z.unknown()).optional(),
    /** Addresses of the control instances. */
    controls: z.array(z.unknown()),
    /** Absent before the first evacuation. */
    evacuations: evacuations.evacuationReport.optional()
  }),
  /** Heartbeats that a control instance forwards to the others. */
  z.object({ t: z.literal('signs'), signs: z.array(z.unknown()) })
])
/** Events, in either direction. */
export type DiscoveryEvent = z.infer<typeof discoveryEvent>

/** Version in a fetch of a caller that wants no document: the reply has only the version of the receiver's. */
export const VERSION_ONLY = Number.MAX_SAFE_INTEGER

/** Interval at which control instances forward heartbeats and entry instances send their own. */
export const TICK_INTERVAL_MS = 1000
/**
 * A record is late if its control instance received no heartbeat for this long. Must exceed the interval of heartbeats plus the tick
 * at which another control instance forwards them.
 */
export const LATE_AFTER_MS = 2500

const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/** Encodes and compresses records. */
export function packRecords (list: readonly records.Record[]): Uint8Array {
  return zlib.deflateRawSync(codec.encode(list), { level: 1 })
}

/** The longest encoded list of records: several times that of the fleet to design for. */
const MAX_UNPACKED_BYTES = 16 * 1024 * 1024

/**
 * Reverses {@link packRecords}; the records are unchecked.
 * @throws Error when the bytes are no packed value, or a longer one than {@link MAX_UNPACKED_BYTES}
 */
export function unpackRecords (bytes: Uint8Array): unknown {
  return codec.decode(zlib.inflateRawSync(bytes, { maxOutputLength: MAX_UNPACKED_BYTES }))
}

/** Encodes a reply for the handout file, the version first, which the first stage reads. */
export function encodeReply ({ version, ...rest }: DiscoveryReply): Uint8Array {
  return codec.encode({ version, ...rest })
}

/**
 * Reverses {@link encodeReply}.
 * @throws Error when the bytes are not a valid reply
 */
export function decodeReply (bytes: Uint8Array): DiscoveryReply {
  return discoveryReply.parse(codec.decode(bytes))
}

/** Encodes evacuations for their file; empty before the first order. */
export function encodeEvacuations (report: evacuations.EvacuationReport): Uint8Array {
  return evacuations.toEvacuationField(report) === undefined ? new Uint8Array() : codec.encode(report)
}

/**
 * Reverses {@link encodeEvacuations}.
 * @throws Error when the bytes are not a valid report
 */
export function decodeEvacuations (bytes: Uint8Array): evacuations.EvacuationReport {
  return bytes.length === 0 ? evacuations.NO_EVACUATIONS : evacuations.evacuationReport.parse(codec.decode(bytes))
}

/**
 * Returns the document fields of a reply; withholds the document if the budget is exhausted.
 * @param document the document, or null if the caller already has the latest one
 * @param now milliseconds on the monotonic clock
 */
export function toDocumentReply (document: contracts.PackedText | null, budget: sendBudgets.SendBudget, now: number): Pick<DiscoveryReply, 'document' | 'isBusy'> {
  if (document === null || budget.tryReserve(document.body.length, now)) return { document, isBusy: false }
  return { document: null, isBusy: true }
}
