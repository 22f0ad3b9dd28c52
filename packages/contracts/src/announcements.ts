/** What endpoints tell the system: their announcements, and the answer that points them to their owner. */
import * as z from 'zod'

/** A model as an engine carries it. */
export const servedModel = z.object({ model: z.string(), adapter: z.string(), version: z.string() })

/** The body of `POST /v1/announcements`. */
export const announcement = z.object({
  endpoint: z.string().min(1).max(200),
  service: z.string(),
  zone: z.string(),
  /** IP number and port on which the endpoint serves. */
  host: z.string(),
  port: z.int().min(1).max(65535),
  /** Changes whenever the endpoint's process starts; grows. */
  boot: z.int().nonnegative(),
  /** Grows with each announcement of one boot. */
  seq: z.int().nonnegative(),
  state: z.enum(['ready', 'leaving']),
  /** How many requests it can run at once. */
  slots: z.int().min(1).max(100000),
  weight: z.number().positive().max(100).default(1),
  /** Requests that it runs or queues, as it last counted them (lags). */
  load: z.int().nonnegative(),
  carries: z.array(servedModel).default([]),
  checksFencing: z.boolean().default(false),
  /** Highest fencing number of an order that it obeyed. */
  fence: z.int().nonnegative().default(0),
  /** Cache events since the last announcement that arrived; numbered, may have gaps. */
  cacheEvents: z.array(z.object({ seq: z.int(), op: z.enum(['stored', 'evicted']), chat: z.string() })).max(1000).default([])
})
/** An endpoint's announcement. */
export type Announcement = z.infer<typeof announcement>
/** A model as an engine carries it. */
export type ServedModel = z.infer<typeof servedModel>

/** The answer to an announcement. */
export const announcementReply = z.object({
  /** Where to send the next announcement: the endpoint's owner, or null to keep to any instance. */
  owner: z.string().nullable(),
  intervalMs: z.int().positive()
})
/** The answer to an announcement. */
export type AnnouncementReply = z.infer<typeof announcementReply>

/** The body of `POST /orders` at an engine: the wanted end state, so that a resend is harmless. */
export const order = z.object({
  /** Fencing number: the configuration version the order follows. */
  fence: z.int().nonnegative(),
  carries: z.array(servedModel)
})
/** An order to an engine. */
export type Order = z.infer<typeof order>
