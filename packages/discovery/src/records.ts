/** What is known of an endpoint or an entry instance, as its latest announcement says. */
import * as z from 'zod'

/** Where an announced process stands: not ready yet, it takes work, it takes no new work, or it is no more. */
export const recordState = z.enum(['starting', 'ready', 'leaving', 'gone'])
/** Where an announced process stands. */
export type RecordState = z.infer<typeof recordState>

const common = {
  id: z.string().min(1),
  /** Start of the process, Unix milliseconds of its own clock; a later start under the same id is another incarnation. */
  startedAt: z.number(),
  /** Grows with each announcement of one incarnation. */
  seq: z.number(),
  zone: z.string(),
  state: recordState
}

/** An endpoint: one process of a service. */
export const endpointRecord = z.object({
  kind: z.literal('endpoint'),
  ...common,
  service: z.string(),
  /** IP number and port for requests. */
  address: z.string(),
  /** Requests that it runs at once. */
  slots: z.number(),
  /** How much longer it stays slow after its start, milliseconds. */
  coldMs: z.number()
})
/** An endpoint: one process of a service. */
export type EndpointRecord = z.infer<typeof endpointRecord>

/** An entry instance: takes callers' requests. */
export const entryRecord = z.object({
  kind: z.literal('entry'),
  ...common,
  region: z.string(),
  /** IP number and port for callers. */
  front: z.string(),
  /** IP number and port for the other instances. */
  inner: z.string()
})
/** An entry instance: takes callers' requests. */
export type EntryRecord = z.infer<typeof entryRecord>

/** Either kind of record. */
export const record = z.discriminatedUnion('kind', [endpointRecord, entryRecord])
/** Either kind of record. */
export type Record = z.infer<typeof record>

/** A sign of life: the announcement with this number was heard. */
export const heartbeat = z.tuple([z.string(), z.number(), z.number()])
/** A sign of life: id, start and number of the announcement that was heard. */
export type Heartbeat = z.infer<typeof heartbeat>
