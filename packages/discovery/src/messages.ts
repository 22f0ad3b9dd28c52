/** What control instances and entry instances say to each other about records and documents. */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as records from './records.js'

/** A version of the operators' document, deflated, as it travels. */
export const versionedDocument = z.object({ version: z.number(), body: contracts.bytes })
/** A version of the operators' document, deflated, as it travels. */
export type VersionedDocument = z.infer<typeof versionedDocument>

/** Calls to a control instance. */
export const discoveryCall = z.discriminatedUnion('t', [
  /** An entry instance asks to be told of everything from now on. */
  z.object({ t: z.literal('subscribe'), self: records.record, version: z.number() }),
  /** Records that changed, to be confirmed. */
  z.object({ t: z.literal('records'), list: z.array(records.record) }),
  /** Another control instance compares what it knows. */
  z.object({ t: z.literal('compare'), list: z.array(records.record) })
])
/** Calls to a control instance. */
export type DiscoveryCall = z.infer<typeof discoveryCall>

/** What a control instance answers to a subscription or a comparison. */
export const discoveryReply = z.object({ list: z.array(records.record), document: versionedDocument.nullable() })
/** What a control instance answers to a subscription or a comparison. */
export type DiscoveryReply = z.infer<typeof discoveryReply>

/** Events, in either direction. */
export const discoveryEvent = z.discriminatedUnion('t', [
  z.object({ t: z.literal('news'), list: z.array(records.record) }),
  z.object({ t: z.literal('document'), document: versionedDocument }),
  z.object({
    t: z.literal('tick'),
    /** Whether the sender heard from a quorum of control instances lately. */
    isCurrent: z.boolean(),
    /** Version of the document that the sender holds. */
    version: z.number(),
    signs: z.array(records.sign),
    /** Addresses of the control instances. */
    controls: z.array(z.string())
  }),
  /** Signs of life that one control instance passes on to the others. */
  z.object({ t: z.literal('signs'), signs: z.array(records.sign) })
])
/** Events, in either direction. */
export type DiscoveryEvent = z.infer<typeof discoveryEvent>

/** How often control instances pass on signs of life, and entry instances announce themselves, milliseconds. */
export const TICK_MS = 1000
