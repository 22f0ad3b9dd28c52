/** Schemas of the records that endpoints and entry instances announce. */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'

/** A name that may be empty. */
export const optionalName = contracts.input.name.or(z.literal(''))

/** More requests than a process can run concurrently at one address: each needs a port of a connection. */
const MAX_SLOTS = 65_535
/** Number of requests that an endpoint runs concurrently. */
export const slots = z.int().positive().max(MAX_SLOTS)

/** Lifecycle of an announced process: not ready yet, accepts work, accepts no new work, ended. */
export const recordState = z.enum(['starting', 'ready', 'leaving', 'gone'])
/** Lifecycle of an announced process. */
export type RecordState = z.infer<typeof recordState>

const common = {
  id: z.string().min(1),
  /** Start of the process, Unix milliseconds of its own clock. A later start under the same id is a new incarnation. */
  startedAt: z.number(),
  /** Increases with each announcement of one incarnation. */
  seq: z.number(),
  zone: z.string(),
  state: recordState
}

/** An endpoint: one process of a service. */
export const endpointRecord = z.object({
  kind: z.literal('endpoint'),
  ...common,
  service: z.string(),
  /** IP address and port for requests. */
  address: z.string(),
  /** Number of requests that it runs concurrently. */
  slots: z.number(),
  /** Remaining warm-up time, milliseconds. */
  coldMs: z.number()
})
/** An endpoint: one process of a service. */
export type EndpointRecord = z.infer<typeof endpointRecord>

/** A request or a part of prompts that crashes endpoints, by its key, and the starts of endpoints that it crashed, as announced by an entry instance. */
export const quarantinedRequest = z.object({ fingerprint: z.string(), crashed: z.array(z.string()) })
/** A request or a part of prompts that crashes endpoints, by its key, and the starts of endpoints that it crashed, as announced by an entry instance. */
export type QuarantinedRequest = z.infer<typeof quarantinedRequest>

/** An entry instance: accepts requests of callers. */
export const entryRecord = z.object({
  kind: z.literal('entry'),
  ...common,
  region: z.string(),
  /** IP address and port for callers. */
  front: z.string(),
  /** IP address and port for the other instances. */
  inner: z.string(),
  /** Whether it has lost its own paths to most endpoints of a service and reaches them through other instances; absent if not. */
  isImpaired: z.boolean().optional(),
  /** Requests and parts of prompts that no instance may send, so that they are known after a restart of all entry instances; absent until there are some. */
  quarantined: z.array(quarantinedRequest).optional(),
  /** What earlier starts had announced as `quarantined`, until this start announces its own. */
  inherited: z.array(quarantinedRequest).optional()
})
/** An entry instance: accepts requests of callers. */
export type EntryRecord = z.infer<typeof entryRecord>

/** A record of either kind. */
export const record = z.discriminatedUnion('kind', [endpointRecord, entryRecord])
/** A record of either kind. */
export type Record = z.infer<typeof record>

/** A heartbeat of an announced process: `id`, `startedAt` and `seq` of its latest announcement. */
export const heartbeat = z.tuple([z.string(), z.number(), z.number()])
/** A heartbeat of an announced process: `id`, `startedAt` and `seq` of its latest announcement. */
export type Heartbeat = z.infer<typeof heartbeat>
