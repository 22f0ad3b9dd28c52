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
  id: contracts.input.name,
  /** Start of the process, Unix milliseconds of its own clock. A later start under the same id is a new incarnation. */
  startedAt: contracts.input.count,
  /** Increases with each announcement of one incarnation. */
  seq: contracts.input.count,
  zone: optionalName,
  state: recordState
}

/** An endpoint: one process of a service. */
export const endpointRecord = z.object({
  kind: z.literal('endpoint'),
  ...common,
  id: contracts.input.headerId,
  service: optionalName,
  /** IP address and port for requests. */
  address: contracts.input.address.or(z.literal('')),
  /** Number of requests that it runs concurrently. */
  slots,
  /** Remaining warm-up time, milliseconds. */
  coldMs: contracts.input.durationMs
}).refine(isComplete, 'must have a service and an address unless it is gone')
/** An endpoint: one process of a service. */
export type EndpointRecord = z.infer<typeof endpointRecord>

/** Returns whether a record names what is needed to use the endpoint; one that ended before it was known may lack it. */
function isComplete ({ state, service, address }: { state: RecordState, service: string, address: string }): boolean {
  return state === 'gone' || (service !== '' && address !== '')
}

/** The longest key of a quarantined request, characters: a key may hold a part that a client named in a header. */
const MAX_KEY_LENGTH = 64 * 1024
/** More quarantined requests in a record, or crashes of one, than all instances of a fleet together announce. */
const MAX_QUARANTINED = 10_000

/** A request or a part of prompts that crashes endpoints, by its key, and the starts of endpoints that it crashed, as announced by an entry instance. */
export const quarantinedRequest = z.object({ fingerprint: z.string().max(MAX_KEY_LENGTH), crashed: z.array(z.string().max(MAX_KEY_LENGTH)).max(MAX_QUARANTINED) })
/** A request or a part of prompts that crashes endpoints, by its key, and the starts of endpoints that it crashed, as announced by an entry instance. */
export type QuarantinedRequest = z.infer<typeof quarantinedRequest>

/** An entry instance: accepts requests of callers. */
export const entryRecord = z.object({
  kind: z.literal('entry'),
  ...common,
  region: optionalName,
  /** IP address and port for callers. */
  front: contracts.input.address,
  /** IP address and port for the other instances. */
  inner: contracts.input.address,
  /** Whether it has lost its own paths to most endpoints of a service and reaches them through other instances; absent if not. */
  isImpaired: z.boolean().optional(),
  /** Requests and parts of prompts that no instance may send, so that they are known after a restart of all entry instances; absent until there are some. */
  quarantined: z.array(quarantinedRequest).max(MAX_QUARANTINED).optional(),
  /** What earlier starts had announced as `quarantined`, until this start announces its own. */
  inherited: z.array(quarantinedRequest).max(MAX_QUARANTINED).optional()
})
/** An entry instance: accepts requests of callers. */
export type EntryRecord = z.infer<typeof entryRecord>

/** A record of either kind. */
export const record = z.discriminatedUnion('kind', [endpointRecord, entryRecord])
/** A record of either kind. */
export type Record = z.infer<typeof record>

/** A heartbeat of an announced process: `id`, `startedAt` and `seq` of its latest announcement. */
export const heartbeat = z.tuple([contracts.input.name, contracts.input.count, contracts.input.count])
/** A heartbeat of an announced process: `id`, `startedAt` and `seq` of its latest announcement. */
export type Heartbeat = z.infer<typeof heartbeat>
