/**
 * Membership changes, one voter at a time. A learner replicates the log until it has caught up and is then committed as a
 * voter; only afterwards is the member that it replaces removed. So the group tolerates another loss right after the change.
 */
import * as entries from './entries.js'
import * as replicaCore from './replicaCore.js'
import * as replication from './replication.js'
import type * as roles from './roles.js'

/** Number of entries that a caught-up learner may lag behind the commit index. */
const CAUGHT_UP_LAG_ENTRIES = 16

/**
 * Handles a join request; the leader adds the requester as a learner.
 * @returns whether the requester is a voter, and the known leader
 */
export function onJoinRequest (core: replicaCore.Core, from: entries.Member): entries.RpcReply {
  const id = entries.toMemberId(from)
  const isVoter = core.voters().some(voter => entries.toMemberId(voter) === id)
  if (core.role.kind === 'leader' && !isVoter && (core.opts.isDynamic === true || core.opts.founderNames.includes(from.name))) {
    removeEarlierIncarnations(core.role.leadership, from)
    core.role.leadership.learners.set(id, from)
    replication.replicateToPeers(core, core.role.leadership)
  }
  return { t: 'join', from: core.self(), leader: core.leader, isVoter }
}

/** Removes learners whose disk was wiped: they never return under their former incarnation. */
function removeEarlierIncarnations (leadership: roles.Leadership, from: entries.Member): void {
  for (const [id, member] of leadership.learners) {
    if (member.name !== from.name || member.incarnation === from.incarnation) continue
    leadership.learners.delete(id)
    leadership.peers.delete(id)
  }
}

/**
 * Performs pending membership changes one at a time while the leadership lasts.
 * @param commitVoters appends a membership entry and waits for its commit
 */
export async function runMembershipChanges (core: replicaCore.Core, leadership: roles.Leadership, commitVoters: (voters: entries.Member[]) => Promise<void>): Promise<void> {
  while (replication.isLeading(core, leadership)) {
    await core.opts.clock.sleep(core.timing.heartbeatMs)
    if (!core.isReady() || !isLastChangeCommitted(core)) continue
    const change = findChange(core, leadership)
    if (change === undefined) continue
    if (change.kind === 'admit') {
      const isAlive = await isReachable(core, change.member)
      const id = entries.toMemberId(change.member)
      // It may have been replaced, or the leadership lost, meanwhile.
      if (!replication.isLeading(core, leadership) || !core.isReady() || !isLastChangeCommitted(core) || !leadership.learners.has(id)) continue
      if (!isAlive) {
        // Another one goes first next time.
        leadership.learners.delete(id)
        leadership.learners.set(id, change.member)
        continue
      }
    }
    await commitVoters(change.voters).catch(() => {})
    if (change.kind === 'admit') {
      leadership.learners.delete(entries.toMemberId(change.member))
      leadership.lastAdmittedAt = core.opts.clock.now()
    }
    if (change.kind === 'remove') leadership.lastAdmittedAt = -Infinity
    if (change.kind === 'remove' && replication.isLeading(core, leadership)) {
      leadership.peers.delete(entries.toMemberId(change.member))
      core.opts.log.event('replicaRepaired', { group: core.opts.group, replica: change.member.name })
    }
  }
}

/**
 * Asks a learner for a sign of life. One that has lost its disk meanwhile would be a voter that never replies beside its former self, which
 * does not either: the change could never be committed, nor any later entry.
 */
async function isReachable (core: replicaCore.Core, member: entries.Member): Promise<boolean> {
  const reply = await core.opts.transport.call(member.name, { t: 'hello', from: core.self() }).catch(() => undefined)
  return reply !== undefined && entries.toMemberId(reply.from) === entries.toMemberId(member)
}

/** Guards against two uncommitted membership changes, whose quorums might not overlap. */
function isLastChangeCommitted (core: replicaCore.Core): boolean {
  return (core.log.membership()?.index ?? 0) <= core.commitIndex
}

/**
 * Time after which an unresponsive voter is removed; longer than restarts, suspensions and short partitions. A voter that
 * returns later joins like a new one.
 */
const REMOVE_UNRESPONSIVE_MS = 12_000
/** The same if a voter was admitted meanwhile, which takes its place; longer than restarts. */
const REMOVE_REPLACED_MS = 3000
/** A voter counts as responsive if it has replied within this time. */
const RESPONSIVE_MS = 1500
/** Number of responsive voters that may be lost during a removal, and the group still has a quorum. */
const SPARE_VOTERS = 1
const DEFAULT_MIN_VOTERS = 3
/** Index of the first entry of the first leader of a group: the founding entry precedes it. */
const FIRST_TERM_START = 2

/**
 * Finds a voter to remove because it is unresponsive, as when hosts are replaced by new ones with other names: their quorum would
 * become unreachable. A removal must leave a quorum of responsive voters and a spare one, so it may remove voters in turn, but
 * during a partition it does not shrink the group to those that the leader happens to reach.
 */
function findUnresponsive (core: replicaCore.Core, leadership: roles.Leadership): entries.Member | undefined {
  const now = core.opts.clock.now()
  const voters = core.voters()
  if (voters.length <= (core.opts.minVoters ?? DEFAULT_MIN_VOTERS)) return undefined
  const others = voters.filter(voter => entries.toMemberId(voter) !== core.selfId())
  const lastAckedAt = (voter: entries.Member): number => leadership.peers.get(entries.toMemberId(voter))?.lastAckedSentAt ?? -Infinity
  const lastContactAt = (voter: entries.Member): number => Math.max(leadership.startedAt, lastAckedAt(voter))
  const unresponsive = others.sort((a, b) => lastContactAt(a) - lastContactAt(b))[0]
  // A founder that the first leader has not heard yet is still starting; who is admitted meanwhile replaces nobody.
  const isStarting = leadership.termStartIndex === FIRST_TERM_START && lastAckedAt(unresponsive) === -Infinity
  const isReplaced = !isStarting && leadership.lastAdmittedAt > lastContactAt(unresponsive)
  if (now - lastContactAt(unresponsive) <= (isReplaced ? REMOVE_REPLACED_MS : REMOVE_UNRESPONSIVE_MS)) return undefined
  const responsive = 1 + others.filter(voter => now - lastContactAt(voter) <= RESPONSIVE_MS).length
  const quorumAfterwards = Math.floor((voters.length - 1) / 2) + 1
  return responsive >= quorumAfterwards + SPARE_VOTERS ? unresponsive : undefined
}

type Change =
  | { kind: 'admit', member: entries.Member, voters: entries.Member[] }
  | { kind: 'remove', member: entries.Member, voters: entries.Member[] }

function findChange (core: replicaCore.Core, leadership: roles.Leadership): Change | undefined {
  const voters = core.voters()
  const replaced = voters.find((voter, i) => voters.findIndex((other, j) => j > i && other.name === voter.name) >= 0)
  if (replaced !== undefined) return { kind: 'remove', member: replaced, voters: voters.filter(voter => voter !== replaced) }
  const unresponsive = core.opts.isDynamic === true ? findUnresponsive(core, leadership) : undefined
  if (unresponsive !== undefined) return { kind: 'remove', member: unresponsive, voters: voters.filter(voter => voter !== unresponsive) }
  for (const [id, member] of leadership.learners) {
    const progress = leadership.peers.get(id)
    const isCaughtUp = progress !== undefined && progress.matchIndex >= leadership.termStartIndex && progress.matchIndex + CAUGHT_UP_LAG_ENTRIES >= core.commitIndex
    if (isCaughtUp) return { kind: 'admit', member, voters: [...voters, member] }
  }
  return undefined
}
