/** Schemas of the fleet's state: instances, views, endpoint records and pool loads. */
import * as z from 'zod'

/** A router instance as a member of a view. A restarted or lapsed instance rejoins with a new incarnation. */
export const instance = z.object({
  id: z.string().min(1).max(63),
  incarnation: z.int().nonnegative(),
  /** Unique per process start; distinguishes a resent join from a restart. */
  boot: z.string(),
  zone: z.string(),
  /** IP address and port for peer links. */
  peer: z.string(),
  /** Base URL for callers. */
  url: z.string(),
  /** Whether it is draining and accepts no new callers. */
  leaving: z.boolean().default(false)
})
/** A router instance. */
export type Instance = z.infer<typeof instance>

/** A change from one view to the next. */
export const viewChange = z.object({
  number: z.int().positive(),
  kind: z.enum(['joined', 'left', 'leaving']),
  instance
})
/** A change from one view to the next. */
export type ViewChange = z.infer<typeof viewChange>

/** A view update: the full view, or the changes since the one that the instance has. */
export const viewUpdate = z.object({
  number: z.int().nonnegative(),
  base: z.object({ number: z.int().nonnegative(), instances: z.array(instance) }).optional(),
  changes: z.array(viewChange),
  /** Instances that have not yet acknowledged the current view, with the latest one that each has seen. */
  laggards: z.array(z.object({ instance: z.string(), seen: z.int().nonnegative() }))
})
/** A view update: the full view, or the changes since the one that the instance has. */
export type ViewUpdate = z.infer<typeof viewUpdate>

/** An endpoint record as exchanged by gossip. `boot` and `seq` are set by the endpoint; the higher pair is the newer record. */
export const endpointRecord = z.object({
  id: z.string(),
  service: z.string(),
  zone: z.string(),
  address: z.string(),
  boot: z.int().nonnegative(),
  seq: z.int().nonnegative(),
  state: z.enum(['ready', 'leaving', 'gone']),
  slots: z.int().positive(),
  weight: z.number().positive(),
  models: z.array(z.string()),
  checksFencing: z.boolean()
})
/** An endpoint record as exchanged by gossip. */
export type EndpointRecord = z.infer<typeof endpointRecord>

/** Status of an endpoint as reported by its owner to operators. */
export const endpointStatus = z.object({
  endpoint: z.string(),
  service: z.string(),
  zone: z.string(),
  state: z.enum(['ready', 'leaving', 'silent']),
  load: z.int(),
  /** Current upper limit of the load. */
  cap: z.int(),
  queued: z.int()
})
/** Status of an endpoint as reported by its owner to operators. */
export type EndpointStatus = z.infer<typeof endpointStatus>

/** Load of a pool: requests in flight on the endpoints of one owner, or of the whole fleet. */
export const poolLoad = z.object({
  pool: z.string(),
  load: z.int().nonnegative(),
  endpoints: z.int().nonnegative(),
  weight: z.number().nonnegative()
})
/** Load of a pool: requests in flight on the endpoints of one owner, or of the whole fleet. */
export type PoolLoad = z.infer<typeof poolLoad>
