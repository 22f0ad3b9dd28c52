/** Messages between router instances. */
import * as z from 'zod'
import * as binary from './binary.js'
import * as announcements from './announcements.js'
import * as fleet from './fleet.js'

/** A request sent to the owner of an endpoint; valid only for the given incarnation of that owner. */
export const dispatch = z.object({
  t: z.literal('dispatch'),
  attempt: z.string(),
  request: z.string(),
  incarnation: z.int(),
  endpoint: z.string(),
  service: z.string(),
  /** The work of the endpoint: a chat completion, or a call of a plain service. */
  work: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('chat'), model: z.string(), chat: z.string(), importFrom: z.string().optional(), avoid: z.array(z.string()).optional(), resumeFrom: z.int().nonnegative() }),
    z.object({ kind: z.literal('plain'), call: z.string(), method: z.string(), idempotent: z.boolean(), idempotencyKey: z.string().optional(), contentType: z.string().optional() })
  ]),
  account: z.string(),
  accountWeight: z.number(),
  rank: z.int(),
  /** Maximum queueing time at the owner; 0 rejects the request unless it can start immediately. */
  waitMs: z.number(),
  /** Fingerprint of the request if it was in flight on an endpoint that crashed. */
  suspect: z.string().optional(),
  fingerprint: z.string(),
  body: binary.bytes
})
/** A request sent to the owner of an endpoint. */
export type Dispatch = z.infer<typeof dispatch>

/** Why an owner declined a request. No byte of a declined request was sent to an endpoint. */
export const declineReason = z.enum(['full', 'elsewhere', 'not_owner', 'unready', 'patience', 'void', 'suspect_running', 'connect_refused', 'quarantined'])
/** Why an owner declined a request. */
export type DeclineReason = z.infer<typeof declineReason>

/** An event between router instances, sent without a reply. */
export const peerEvent = z.discriminatedUnion('t', [
  dispatch,
  z.object({ t: z.literal('accepted'), attempt: z.string(), load: z.int() }),
  z.object({ t: z.literal('chunk'), attempt: z.string(), n: z.int(), data: z.string() }),
  z.object({ t: z.literal('answer'), attempt: z.string(), status: z.int(), contentType: z.string(), body: binary.bytes }),
  z.object({ t: z.literal('done'), attempt: z.string(), count: z.int(), promptTokens: z.int(), cachedTokens: z.int(), tokens: z.int() }),
  z.object({ t: z.literal('declined'), attempt: z.string(), reason: declineReason, load: z.int(), retryAfterMs: z.number(), endpoint: z.string().optional() }),
  /** `death` identifies the endpoint crash during which the attempt was in flight. */
  z.object({ t: z.literal('lost'), attempt: z.string(), detail: z.string(), status: z.int().optional(), death: z.string().optional() }),
  z.object({ t: z.literal('handover'), announcement: announcements.announcement, inFlight: z.int().nonnegative() }),
  z.object({ t: z.literal('placed'), chat: z.string(), home: z.string(), endpoint: z.string() }),
  z.object({ t: z.literal('suspects'), list: z.array(z.object({ fingerprint: z.string(), boots: z.array(z.string()), ageMs: z.number(), isCleared: z.boolean().optional() })) })
])
/** An event between router instances, sent without a reply. */
export type PeerEvent = z.infer<typeof peerEvent>

/** A call between router instances. */
export const peerCall = z.discriminatedUnion('t', [
  z.object({ t: z.literal('cancel'), attempt: z.string() }),
  /** `digests`: empty, one over all records, or one per bucket after the overall digest differed. */
  z.object({ t: z.literal('gossip'), digests: z.array(z.int()), entries: z.array(fleet.endpointRecord) }),
  z.object({ t: z.literal('explain'), request: z.string() })
])
/** A call between router instances. */
export type PeerCall = z.infer<typeof peerCall>

/** The reply to a {@link PeerCall}, with the same tag. */
export const peerReply = z.discriminatedUnion('t', [
  z.object({ t: z.literal('cancel'), reached: z.boolean() }),
  z.object({ t: z.literal('gossip'), entries: z.array(fleet.endpointRecord), isEqual: z.boolean() }),
  z.object({ t: z.literal('explain'), found: z.boolean(), lines: z.array(z.object({ atMs: z.number(), step: z.string(), why: z.string() })) })
])
/** The reply to a {@link PeerCall}, with the same tag. */
export type PeerReply = z.infer<typeof peerReply>
