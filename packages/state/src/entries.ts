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

/** Highest term and index; the next ones are still safe integers. */
const MAX_POSITION = 2 ** 52
/** A term, or an index of the log. */
const position = z.int().nonnegative().max(MAX_POSITION)

/** An entry of the replicated log. */
export const entry = z.object({
  index: position.positive(),
  term: position,
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
  lastIndex: position,
  lastTerm: position,
  lastAtMs: z.number(),
  voters: z.array(member),
  state: contracts.bytes
})
export type Snapshot = z.infer<typeof snapshot>

/** What a replica says of the start of its group to one that is not part of it. */
export const standing = z.object({
  /** Sorted names of the founders that it was told, or whose identity it claimed; null if there are none. */
  founders: z.array(z.string()).nullable(),
  /** Sorted names of the founders by its current settings. */
  seeds: z.array(z.string()),
  term: position,
  /** Whether it is or was a member of a group that has had a leader. */
  isMember: z.boolean(),
  /** Whether its disk belonged to a replica whose state was damaged. */
  isFormer: z.boolean(),
  /** Whether there are other signs of a group, such as a document. */
  mayHaveGroup: z.boolean()
})
export type Standing = z.infer<typeof standing>

const ballot = { term: position, candidate: member, lastIndex: position, lastTerm: position, isTransfer: z.boolean() }

/** Calls between replicas. */
export const rpc = z.discriminatedUnion('t', [
  /** `standing` is absent from earlier versions. */
  z.object({ t: z.literal('hello'), from: member, standing: standing.optional() }),
  z.object({ t: z.literal('join'), from: member }),
  z.object({ t: z.literal('preVote'), ...ballot }),
  z.object({ t: z.literal('vote'), ...ballot }),
  z.object({
    t: z.literal('append'),
    term: position,
    leader: member,
    prevIndex: position,
    prevTerm: position,
    entries: z.array(entry),
    commit: position,
    /** Time since the leader sent the latest append that a quorum has acknowledged, milliseconds; absent from earlier versions. */
    quorumAgeMs: z.number().optional()
  }),
  /** Sent while a reply to entries is pending; it is answered without waiting for the disk. */
  z.object({ t: z.literal('heartbeat'), term: position, leader: member, commit: position, quorumAgeMs: z.number() }),
  z.object({ t: z.literal('snapshot'), term: position, leader: member, lastIndex: position, lastTerm: position, lastAtMs: z.number(), voters: z.array(member), offset: position, total: position, data: contracts.bytes }),
  z.object({ t: z.literal('takeOver'), term: position, leader: member })
])
export type Rpc = z.infer<typeof rpc>

/** Replies. `from` identifies the incarnation, since a replica with a wiped disk is a new member under the same name. */
export const rpcReply = z.discriminatedUnion('t', [
  z.object({ t: z.literal('hello'), from: member, founding: z.array(member).nullable(), standing: standing.optional() }),
  z.object({ t: z.literal('join'), from: member, leader: z.string().nullable(), isVoter: z.boolean() }),
  z.object({ t: z.literal('ballot'), from: member, term: position, isGranted: z.boolean() }),
  z.object({ t: z.literal('append'), from: member, term: position, isOk: z.boolean(), match: position, tryNext: position }),
  z.object({ t: z.literal('takeOver'), from: member })
])
export type RpcReply = z.infer<typeof rpcReply>
