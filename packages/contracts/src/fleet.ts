/** The fleet as its members see it: instances, views of them, endpoints, and the loads of pools. */
import * as z from 'zod'

/** A router instance as the view names it. A restarted or lapsed instance comes back with a new incarnation. */
export const instance = z.object({
  id: z.string().min(1).max(63),
  incarnation: z.int().nonnegative(),
  /** Names the process: a fresh one for each start, so that a resent join is told from a restart. */
  boot: z.string(),
  zone: z.string(),
  /** IP number and port for peer links. */
  peer: z.string(),
  /** Base URL for callers. */
  url: z.string(),
  /** Whether it finishes its work and takes no new callers. */
  leaving: z.boolean().default(false)
})
/** A router instance. */
export type Instance = z.infer<typeof instance>

/** One step from a view to the next. */
export const viewChange = z.object({
  number: z.int().positive(),
  kind: z.enum(['joined', 'left', 'leaving']),
  instance
})
/** One step from a view to the next. */
export type ViewChange = z.infer<typeof viewChange>

/** How an instance gets to know the current view: all of it, or the steps since the one it has. */
export const viewUpdate = z.object({
  number: z.int().nonnegative(),
  base: z.object({ number: z.int().nonnegative(), instances: z.array(instance) }).optional(),
  changes: z.array(viewChange),
  /** Every instance of the view, but for the laggards, has seen at least the current view. */
  laggards: z.array(z.object({ instance: z.string(), seen: z.int().nonnegative() }))
})
/** How an instance gets to know the current view. */
export type ViewUpdate = z.infer<typeof viewUpdate>

/** An endpoint as gossip carries it. `boot` and `seq` come from the endpoint itself: the higher pair is the newer news. */
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
/** An endpoint as gossip carries it. */
export type EndpointRecord = z.infer<typeof endpointRecord>

/** An endpoint as its owner shows it to operators. */
export const endpointStatus = z.object({
  endpoint: z.string(),
  service: z.string(),
  zone: z.string(),
  state: z.enum(['ready', 'leaving', 'silent']),
  load: z.int(),
  /** The largest load that an admission may lead to now. */
  cap: z.int(),
  queued: z.int()
})
/** An endpoint as its owner shows it to operators. */
export type EndpointStatus = z.infer<typeof endpointStatus>

/** What one owner has in flight on its endpoints of a pool. */
export const poolLoad = z.object({
  pool: z.string(),
  load: z.int().nonnegative(),
  endpoints: z.int().nonnegative(),
  weight: z.number().nonnegative()
})
/** What one owner, or the whole fleet, has in flight on a pool. */
export type PoolLoad = z.infer<typeof poolLoad>
