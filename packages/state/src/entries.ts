/** Schemas of log entries, replica metadata, snapshots and the calls between the replicas of a group. */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'

/** A replica: its name from the settings, and the incarnation generated for its data folder. */
export const member = z.object({ name: z.string(), incarnation: z.string() })
export type Member = z.infer<typeof member>

/** Returns the id that votes and acknowledgements are counted by: `<name>#<incarnation>`. */
export function toMemberId (replica: Member): string {
  return `${replica.name}#${replica.incarnation}`
}

/** An entry of the replicated log. */
export const entry = z.object({
  index: z.int().positive(),
  term: z.int().nonnegative(),
  body: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('noop') }),
    z.object({ kind: z.literal('membership'), voters: z.array(member) }),
    z.object({ kind: z.literal('command'), atMs: z.number(), command: z.unknown() })
  ])
})
export type Entry = z.infer<typeof entry>

/** Durable metadata of a replica, stored beside its log. */
export const meta = z.object({
  incarnation: z.string(),
  term: z.int().nonnegative(),
  votedFor: z.string().nullable(),
  /** Voters that the group was bootstrapped with; null while this replica is not part of a group. */
  founding: z.array(member).nullable()
})
export type Meta = z.infer<typeof meta>

/** State of the state machine after `lastIndex`, with the log position to continue from. */
export const snapshot = z.object({
  lastIndex: z.int().nonnegative(),
  lastTerm: z.int().nonnegative(),
  lastAtMs: z.number(),
  voters: z.array(member),
  state: contracts.bytes
})
export type Snapshot = z.infer<typeof snapshot>

const ballot = { term: z.int(), candidate: member, lastIndex: z.int(), lastTerm: z.int(), isTransfer: z.boolean() }

/** Calls between replicas. */
export const rpc = z.discriminatedUnion('t', [
  z.object({ t: z.literal('hello'), from: member }),
  z.object({ t: z.literal('join'), from: member }),
  z.object({ t: z.literal('preVote'), ...ballot }),
  z.object({ t: z.literal('vote'), ...ballot }),
  z.object({
    t: z.literal('append'),
    term: z.int(),
    leader: member,
    prevIndex: z.int(),
    prevTerm: z.int(),
    entries: z.array(entry),
    commit: z.int(),
    /** Time since the leader sent the latest append that a quorum has acknowledged, milliseconds; absent from earlier versions. */
    quorumAgeMs: z.number().optional()
  }),
  /** Sent while a reply to entries is pending; it is answered without waiting for the disk. */
  z.object({ t: z.literal('heartbeat'), term: z.int(), leader: member, commit: z.int(), quorumAgeMs: z.number() }),
  z.object({ t: z.literal('snapshot'), term: z.int(), leader: member, lastIndex: z.int(), lastTerm: z.int(), lastAtMs: z.number(), voters: z.array(member), offset: z.int(), total: z.int(), data: contracts.bytes }),
  z.object({ t: z.literal('takeOver'), term: z.int(), leader: member })
])
export type Rpc = z.infer<typeof rpc>

/** Replies. `from` identifies the incarnation, since a replica with a wiped disk is a new member under the same name. */
export const rpcReply = z.discriminatedUnion('t', [
  z.object({ t: z.literal('hello'), from: member, founding: z.array(member).nullable() }),
  z.object({ t: z.literal('join'), from: member, leader: z.string().nullable(), isVoter: z.boolean() }),
  z.object({ t: z.literal('ballot'), from: member, term: z.int(), isGranted: z.boolean() }),
  z.object({ t: z.literal('append'), from: member, term: z.int(), isOk: z.boolean(), match: z.int(), tryNext: z.int() }),
  z.object({ t: z.literal('takeOver'), from: member })
])
export type RpcReply = z.infer<typeof rpcReply>
