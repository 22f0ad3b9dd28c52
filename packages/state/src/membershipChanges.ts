/**
 * Re-admission of replicas: a learner is fed until it has caught up, becomes a voter by a committed entry, and only then
 * is the member that it replaces removed, by a second one. So a repair that is called done has its redundancy back, and a
 * further loss right after it is survived.
 */
import * as entries from './entries.js'
import * as replicaCore from './replicaCore.js'
import * as replication from './replication.js'

/** A learner that is this close to the end of the log counts as caught up. */
const CAUGHT_UP_ENTRIES = 16

/**
 * Takes a request for admission.
 * @param core the replica that was asked
 * @param from who wants to be admitted
 * @returns whether it is a voter already, and who leads
 */
export function onJoinRequest (core: replicaCore.Core, from: entries.Member): entries.RpcReply {
  const id = entries.toMemberId(from)
  const isVoter = core.voters().some(who => entries.toMemberId(who) === id)
  if (core.role.kind === 'leader' && !isVoter && (core.opts.isDynamic === true || core.opts.founderNames.includes(from.name))) {
    forgetEarlierIncarnations(core.role.lead, from)
    core.role.lead.learners.set(id, from)
    replication.replicateToPeers(core, core.role.lead)
  }
  return { t: 'join', from: core.self(), leader: core.leader, isVoter }
}

/** A replica that was wiped again while it was a learner will not come back as the member it was. */
function forgetEarlierIncarnations (lead: replicaCore.Leadership, from: entries.Member): void {
  for (const [id, member] of lead.learners) {
    if (member.name !== from.name || member.incarnation === from.incarnation) continue
    lead.learners.delete(id)
    lead.peers.delete(id)
  }
}

/**
 * Admits learners one at a time for as long as a leadership lasts.
 * @param core the replica
 * @param lead its leadership
 * @param commitVoters appends a membership entry and waits for its commit
 */
export async function runMembershipChanges (core: replicaCore.Core, lead: replicaCore.Leadership, commitVoters: (voters: entries.Member[]) => Promise<void>): Promise<void> {
  while (replication.isLeading(core, lead)) {
    await core.opts.clock.sleep(core.timing.heartbeatMs)
    if (!core.isReady() || !isSettled(core)) continue
    const step = findStep(core, lead)
    if (step === undefined) continue
    await commitVoters(step.voters).catch(() => {})
    if (step.kind === 'admit') lead.learners.delete(entries.toMemberId(step.member))
    if (step.kind === 'retire' && replication.isLeading(core, lead)) {
      lead.peers.delete(entries.toMemberId(step.member))
      core.opts.log.event('replicaRepaired', { group: core.opts.group, replica: step.member.name })
    }
  }
}

/** Two membership changes in flight could have quorums that do not meet. */
function isSettled (core: replicaCore.Core): boolean {
  return (core.log.membership()?.index ?? 0) <= core.commitIndex
}

/**
 * A voter that stays silent for this long is taken for gone for good: longer than a restart, a freeze or a cut that heals
 * by itself. A voter that returns later asks for admission like a new one.
 */
const RETIRE_SILENT_MS = 12_000
/** The others must have answered within this time before a silent voter is retired. */
const LIVE_MS = 1500

/** Guards against quorums that grow out of reach as machines are replaced by new ones at other addresses. */
function findSilent (core: replicaCore.Core, lead: replicaCore.Leadership): entries.Member | undefined {
  const now = core.opts.clock.now()
  const voters = core.voters()
  if (now - lead.startedAt < RETIRE_SILENT_MS || voters.length <= (core.opts.minVoters ?? 3)) return undefined
  const others = voters.filter(who => entries.toMemberId(who) !== core.selfId())
  const silentMs = (who: entries.Member): number => now - (lead.peers.get(entries.toMemberId(who))?.lastAckedSentAt ?? -Infinity)
  const silent = others.find(who => silentMs(who) > RETIRE_SILENT_MS)
  if (silent === undefined || others.some(who => who !== silent && silentMs(who) > LIVE_MS)) return undefined
  return silent
}

type Step =
  | { kind: 'admit', member: entries.Member, voters: entries.Member[] }
  | { kind: 'retire', member: entries.Member, voters: entries.Member[] }

function findStep (core: replicaCore.Core, lead: replicaCore.Leadership): Step | undefined {
  const voters = core.voters()
  const replaced = voters.find((who, i) => voters.findIndex((other, j) => j > i && other.name === who.name) >= 0)
  if (replaced !== undefined) return { kind: 'retire', member: replaced, voters: voters.filter(who => who !== replaced) }
  const silent = core.opts.isDynamic === true ? findSilent(core, lead) : undefined
  if (silent !== undefined) return { kind: 'retire', member: silent, voters: voters.filter(who => who !== silent) }
  for (const [id, member] of lead.learners) {
    const progress = lead.peers.get(id)
    const isCaughtUp = progress !== undefined && progress.matchIndex >= lead.termStartIndex && progress.matchIndex + CAUGHT_UP_ENTRIES >= core.commitIndex
    if (isCaughtUp) return { kind: 'admit', member, voters: [...voters, member] }
  }
  return undefined
}
