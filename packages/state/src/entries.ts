/** What stands in the replicated log, and what travels between the replicas of a group. */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'

/** A replica: its name from the settings, and the incarnation it drew when its data folder was new. */
export const member = z.object({ name: z.string(), incarnation: z.string() })
/** A replica of a group. */
export type Member = z.infer<typeof member>

/**
 * The text form of a member, which votes and acknowledgements are counted by.
 * @param who the member
 * @returns name and incarnation
 */
export function toMemberId (who: Member): string {
  return `${who.name}#${who.incarnation}`
}

/** One entry of the log. */
export const entry = z.object({
  index: z.int().positive(),
  term: z.int().nonnegative(),
  body: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('noop') }),
    z.object({ kind: z.literal('membership'), voters: z.array(member) }),
    z.object({ kind: z.literal('command'), atMs: z.number(), command: z.unknown() })
  ])
})
/** One entry of the log. */
export type Entry = z.infer<typeof entry>

/** What a replica must remember beside its log. */
export const meta = z.object({
  incarnation: z.string(),
  term: z.int().nonnegative(),
  votedFor: z.string().nullable(),
  /** The voters that the group was founded with; null while this replica is not part of a group. */
  founding: z.array(member).nullable()
})
/** What a replica must remember beside its log. */
export type Meta = z.infer<typeof meta>

/** The state of the machine after some entry, with what is needed to go on from there. */
export const snapshot = z.object({
  lastIndex: z.int().nonnegative(),
  lastTerm: z.int().nonnegative(),
  lastAtMs: z.number(),
  voters: z.array(member),
  state: contracts.bytes
})
/** The state of the machine after some entry. */
export type Snapshot = z.infer<typeof snapshot>

const ballot = { term: z.int(), candidate: member, lastIndex: z.int(), lastTerm: z.int(), isTransfer: z.boolean() }

/** What a replica asks another. */
export const rpc = z.discriminatedUnion('t', [
  z.object({ t: z.literal('hello'), from: member }),
  z.object({ t: z.literal('join'), from: member }),
  z.object({ t: z.literal('preVote'), ...ballot }),
  z.object({ t: z.literal('vote'), ...ballot }),
  z.object({ t: z.literal('append'), term: z.int(), leader: member, prevIndex: z.int(), prevTerm: z.int(), entries: z.array(entry), commit: z.int() }),
  z.object({ t: z.literal('snapshot'), term: z.int(), leader: member, lastIndex: z.int(), lastTerm: z.int(), lastAtMs: z.number(), voters: z.array(member), offset: z.int(), total: z.int(), data: contracts.bytes }),
  z.object({ t: z.literal('takeOver'), term: z.int(), leader: member })
])
/** What a replica asks another. */
export type Rpc = z.infer<typeof rpc>

/** What a replica answers; always with who it is, since a wiped replica is another member under the same name. */
export const rpcReply = z.discriminatedUnion('t', [
  z.object({ t: z.literal('hello'), from: member, founding: z.array(member).nullable() }),
  z.object({ t: z.literal('join'), from: member, leader: z.string().nullable(), isVoter: z.boolean() }),
  z.object({ t: z.literal('ballot'), from: member, term: z.int(), isGranted: z.boolean() }),
  z.object({ t: z.literal('append'), from: member, term: z.int(), isOk: z.boolean(), match: z.int(), tryNext: z.int() }),
  z.object({ t: z.literal('takeOver'), from: member })
])
/** What a replica answers. */
export type RpcReply = z.infer<typeof rpcReply>
