/** Messages between router instances and control instances. */
import * as z from 'zod'
import * as binary from './binary.js'
import * as delta from './documentDelta.js'
import * as fleet from './fleet.js'

/** A configuration document sent to an instance: in full, or as a delta from the version that the instance has. */
export const documentUpdate = z.object({
  version: z.int().nonnegative(),
  whole: z.unknown().optional(),
  baseVersion: z.int().optional(),
  changes: z.array(delta.change).optional()
})
/** A full configuration document or a delta. */
export type DocumentUpdate = z.infer<typeof documentUpdate>

/** The recorded response of a non-idempotent call. */
export const storedAnswer = z.object({ status: z.int(), contentType: z.string(), body: binary.bytes })
/** The recorded response of a non-idempotent call. */
export type StoredAnswer = z.infer<typeof storedAnswer>

const operator = { operator: z.string(), operation: z.string() }

/** A call to a control instance. */
export const controlCall = z.discriminatedUnion('t', [
  z.object({
    t: z.literal('renew'),
    id: z.string(),
    incarnation: z.int().nonnegative(),
    leaving: z.boolean(),
    /** Present when joining; later renewals identify the instance by `id` and `incarnation` only. */
    instance: fleet.instance.optional(),
    viewSeen: z.int(),
    documentVersion: z.int(),
    loads: z.array(fleet.poolLoad),
    demand: z.array(z.object({ account: z.string(), count: z.int() }))
  }),
  z.object({ t: z.literal('leave'), instance: z.string(), incarnation: z.int() }),
  z.object({ t: z.literal('ledgerBegin'), group: z.int(), account: z.string(), key: z.string(), hash: z.string(), attempt: z.string() }),
  z.object({ t: z.literal('ledgerFinish'), group: z.int(), account: z.string(), key: z.string(), attempt: z.string(), answer: storedAnswer.nullable() }),
  z.object({ t: z.literal('ledgerAbort'), group: z.int(), account: z.string(), key: z.string(), attempt: z.string() }),
  z.object({ t: z.literal('documentGet') }),
  z.object({ t: z.literal('documentPut'), ...operator, baseVersion: z.int(), document: z.unknown() }),
  z.object({ t: z.literal('documentHistory') }),
  z.object({ t: z.literal('status') })
])
/** A call to a control instance. */
export type ControlCall = z.infer<typeof controlCall>

/** The ledger's state of an idempotency key. */
export const ledgerKeyState = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('begun') }),
  z.object({ kind: z.literal('started'), attempt: z.string(), startedAt: z.number() }),
  z.object({ kind: z.literal('finished'), finishedAt: z.number(), answer: storedAnswer.nullable() }),
  z.object({ kind: z.literal('reused') }),
  z.object({ kind: z.literal('expired'), retentionHours: z.number() }),
  z.object({ kind: z.literal('ahead') })
])
/** The ledger's state of an idempotency key. */
export type LedgerKeyState = z.infer<typeof ledgerKeyState>

/** An accepted version of the configuration document. */
export const historyItem = z.object({ version: z.int(), operator: z.string(), operation: z.string(), atMs: z.number(), changes: z.int() })
/** An accepted version of the configuration document. */
export type HistoryItem = z.infer<typeof historyItem>

/** Status of the fleet as seen by the control leader. */
export const fleetStatus = z.object({
  leader: z.string(),
  term: z.int(),
  documentVersion: z.int(),
  view: z.int(),
  instances: z.array(fleet.instance.extend({ documentVersion: z.int(), viewSeen: z.int(), leaseMsLeft: z.number() })),
  pools: z.array(fleet.poolLoad),
  replicas: z.array(z.object({ group: z.string(), name: z.string(), role: z.string(), term: z.int(), commit: z.int(), voters: z.array(z.string()), learners: z.array(z.string()) }))
})
/** Status of the fleet as seen by the control leader. */
export type FleetStatus = z.infer<typeof fleetStatus>

/** The reply to a {@link ControlCall}. */
export const controlReply = z.discriminatedUnion('t', [
  z.object({ t: z.literal('notLeader'), leader: z.string().nullable() }),
  z.object({
    t: z.literal('lease'),
    leaseMs: z.number(),
    incarnation: z.int(),
    view: fleet.viewUpdate,
    document: documentUpdate.optional(),
    /** Load of all other instances. */
    pools: z.array(fleet.poolLoad),
    limits: z.array(z.object({ account: z.string(), share: z.number() }))
  }),
  z.object({ t: z.literal('lapsed'), incarnation: z.int() }),
  z.object({ t: z.literal('left') }),
  z.object({ t: z.literal('ledger'), state: ledgerKeyState }),
  z.object({ t: z.literal('document'), version: z.int(), document: z.unknown() }),
  z.object({ t: z.literal('put'), version: z.int() }),
  z.object({ t: z.literal('conflict'), currentVersion: z.int(), document: z.unknown() }),
  z.object({ t: z.literal('invalid'), faults: z.array(z.object({ path: z.string(), message: z.string() })) }),
  z.object({ t: z.literal('history'), items: z.array(historyItem) }),
  z.object({ t: z.literal('status'), status: fleetStatus })
])
/** The reply to a {@link ControlCall}. */
export type ControlReply = z.infer<typeof controlReply>

/** An event between the control leader and an instance, in either direction. */
export const controlEvent = z.discriminatedUnion('t', [
  z.object({ t: z.literal('view'), view: fleet.viewUpdate }),
  z.object({ t: z.literal('document'), document: documentUpdate }),
  z.object({ t: z.literal('pools'), pools: z.array(fleet.poolLoad) }),
  z.object({ t: z.literal('loads'), instance: z.string(), incarnation: z.int(), loads: z.array(fleet.poolLoad), isUrgent: z.boolean() }),
  z.object({ t: z.literal('viewSeen'), instance: z.string(), incarnation: z.int(), viewSeen: z.int(), documentVersion: z.int() })
])
/** An event between the control leader and an instance, in either direction. */
export type ControlEvent = z.infer<typeof controlEvent>
