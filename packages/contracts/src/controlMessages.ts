/** Messages between router instances and control instances. */
import * as z from 'zod'
import * as binary from './binary.js'
import * as delta from './documentDelta.js'
import * as fleet from './fleet.js'

/** How a document reaches an instance: all of it, or the entries that differ from the version it has. */
export const documentUpdate = z.object({
  version: z.int().nonnegative(),
  whole: z.unknown().optional(),
  baseVersion: z.int().optional(),
  changes: z.array(delta.change).optional()
})
/** How a document reaches an instance. */
export type DocumentUpdate = z.infer<typeof documentUpdate>

/** The outcome of a non-idempotent call, as the ledger keeps it. */
export const storedAnswer = z.object({ status: z.int(), contentType: z.string(), body: binary.bytes })
/** The outcome of a non-idempotent call, as the ledger keeps it. */
export type StoredAnswer = z.infer<typeof storedAnswer>

const operator = { operator: z.string(), operation: z.string() }

/** What is asked of a control instance. */
export const controlCall = z.discriminatedUnion('t', [
  z.object({
    t: z.literal('renew'),
    id: z.string(),
    incarnation: z.int().nonnegative(),
    leaving: z.boolean(),
    /** Sent when joining; later renewals name the instance only. */
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
/** What is asked of a control instance. */
export type ControlCall = z.infer<typeof controlCall>

/** What the ledger answers to a begin. */
export const ledgerKeyState = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('begun') }),
  z.object({ kind: z.literal('started'), attempt: z.string(), startedAt: z.number() }),
  z.object({ kind: z.literal('finished'), finishedAt: z.number(), answer: storedAnswer.nullable() }),
  z.object({ kind: z.literal('reused') }),
  z.object({ kind: z.literal('expired'), retentionHours: z.number() }),
  z.object({ kind: z.literal('ahead') })
])
/** What the ledger answers to a begin. */
export type LedgerKeyState = z.infer<typeof ledgerKeyState>

/** One accepted version of the document. */
export const historyItem = z.object({ version: z.int(), operator: z.string(), operation: z.string(), atMs: z.number(), changes: z.int() })
/** One accepted version of the document. */
export type HistoryItem = z.infer<typeof historyItem>

/** The fleet as the control leader knows it. */
export const fleetStatus = z.object({
  leader: z.string(),
  term: z.int(),
  documentVersion: z.int(),
  view: z.int(),
  instances: z.array(fleet.instance.extend({ documentVersion: z.int(), viewSeen: z.int(), leaseMsLeft: z.number() })),
  pools: z.array(fleet.poolLoad),
  replicas: z.array(z.object({ group: z.string(), name: z.string(), role: z.string(), term: z.int(), commit: z.int(), voters: z.array(z.string()), learners: z.array(z.string()) }))
})
/** The fleet as the control leader knows it. */
export type FleetStatus = z.infer<typeof fleetStatus>

/** What a control instance answers. */
export const controlReply = z.discriminatedUnion('t', [
  z.object({ t: z.literal('notLeader'), leader: z.string().nullable() }),
  z.object({
    t: z.literal('lease'),
    leaseMs: z.number(),
    incarnation: z.int(),
    view: fleet.viewUpdate,
    document: documentUpdate.optional(),
    /** What all other instances have in flight. */
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
/** What a control instance answers. */
export type ControlReply = z.infer<typeof controlReply>

/** What a control leader sends an instance unasked, and an instance a control leader. */
export const controlEvent = z.discriminatedUnion('t', [
  z.object({ t: z.literal('view'), view: fleet.viewUpdate }),
  z.object({ t: z.literal('document'), document: documentUpdate }),
  z.object({ t: z.literal('pools'), pools: z.array(fleet.poolLoad) }),
  z.object({ t: z.literal('loads'), instance: z.string(), incarnation: z.int(), loads: z.array(fleet.poolLoad), isUrgent: z.boolean() }),
  z.object({ t: z.literal('viewSeen'), instance: z.string(), incarnation: z.int(), viewSeen: z.int(), documentVersion: z.int() })
])
/** What a control leader sends an instance unasked, and an instance a control leader. */
export type ControlEvent = z.infer<typeof controlEvent>
