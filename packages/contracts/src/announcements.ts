/** Messages between endpoints and router instances: announcements, their replies, and orders to engines. */
import * as z from 'zod'
import * as input from './input.js'

/** Part of a model's name; an engine without an adapter sends an empty one. */
const modelText = z.string().max(input.MAX_NAME_LENGTH)

/** A model version that an engine serves. */
export const servedModel = z.object({ model: modelText, adapter: modelText, version: modelText })

/** The largest number of models that an engine serves. */
const MAX_MODELS = 1000

/** The body of `POST /v1/announcements`. */
export const announcement = z.object({
  endpoint: input.headerId.max(200),
  service: input.name,
  zone: input.name,
  /** IPv4 address on which the endpoint listens. */
  host: z.ipv4(),
  port: z.int().min(1).max(65535),
  /** Identifies the endpoint's process; higher after each restart. */
  boot: z.int().nonnegative(),
  /** Increases with each announcement of one boot. */
  seq: z.int().nonnegative(),
  state: z.enum(['ready', 'leaving']),
  /** Maximum number of concurrent requests. */
  slots: z.int().min(1).max(100000),
  weight: z.number().positive().max(100).default(1),
  /** Running and queued requests as counted by the endpoint; may lag behind the owner's count. */
  load: z.int().nonnegative(),
  carries: z.array(servedModel).max(MAX_MODELS).default([]),
  checksFencing: z.boolean().default(false),
  /** Highest fencing number of an order that was applied. */
  fence: z.int().nonnegative().default(0),
  /** Cache events since the last acknowledged announcement; sequence numbers may have gaps. */
  cacheEvents: z.array(z.object({ seq: z.int(), op: z.enum(['stored', 'evicted']), chat: z.string().max(input.MAX_NAME_LENGTH) })).max(1000).default([])
})
/** State that an endpoint reports about itself. */
export type Announcement = z.infer<typeof announcement>
/** A model version that an engine serves. */
export type ServedModel = z.infer<typeof servedModel>

/** The response to an announcement. */
export const announcementReply = z.object({
  /** Base URL for the next announcement: that of the endpoint's owner, or null if any instance will do. */
  owner: z.string().nullable(),
  intervalMs: z.int().positive()
})
/** The response to an announcement. */
export type AnnouncementReply = z.infer<typeof announcementReply>

/** The body of `POST /orders` to an engine: the desired state, so that resending is idempotent. */
export const order = z.object({
  /** Fencing number: the configuration version that the order was derived from. */
  fence: z.int().nonnegative(),
  carries: z.array(servedModel)
})
/** Desired state of an engine. */
export type Order = z.infer<typeof order>
