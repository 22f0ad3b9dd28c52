/** Log replication by a leader: sending entries and snapshots, and checking its lease. */
import * as entries from './entries.js'
import * as matches from './matches.js'
import * as replicaCore from './replicaCore.js'
import type * as roles from './roles.js'

const MAX_ENTRIES = 256
const SNAPSHOT_CHUNK_BYTES = 512 * 1024
/** Sent as the age of the contact with a quorum if there was none. */
const MAX_QUORUM_AGE_MS = 3_600_000

/** Makes the winner of an election the leader: appends a no-op entry of its term and starts replication to all peers. */
export function becomeLeader (core: replicaCore.Core): roles.Leadership {
  const leadership: roles.Leadership = {
    term: core.meta.term,
    termStartIndex: core.log.lastIndex() + 1,
    startedAt: core.opts.clock.now(),
    peers: new Map(),
    learners: new Map(),
    lastAdmittedAt: -Infinity,
    pendingProposals: new Map(),
    isAnnounced: false
  }
  core.role = { kind: 'leader', leadership }
  core.leader = core.opts.name
  core.log.append([{ index: leadership.termStartIndex, term: leadership.term, body: { kind: 'noop' } }])
  core.opts.log.event('leaderElected', { group: core.opts.group, replica: core.opts.name, term: leadership.term })
  replicateToPeers(core, leadership)
  return leadership
}

/** Starts a replication task for each voter and learner that has none. */
export function replicateToPeers (core: replicaCore.Core, leadership: roles.Leadership): void {
  const members = [...core.voters(), ...leadership.learners.values()]
  for (const member of members) {
    const id = entries.toMemberId(member)
    // An earlier incarnation of this replica is gone: its messages would reach this one.
    if (member.name === core.opts.name || leadership.peers.has(id)) continue
    const progress: roles.PeerProgress = { member, nextIndex: core.log.lastIndex() + 1, matchIndex: 0, lastAckedSentAt: -Infinity, wake: () => {} }
    leadership.peers.set(id, progress)
    void replicateToPeer(core, leadership, progress).catch(core.fail)
  }
}

/** Returns whether the leadership is still current. */
export function isLeading (core: replicaCore.Core, leadership: roles.Leadership): boolean {
  return core.isRunning && core.role.kind === 'leader' && core.role.leadership === leadership && core.meta.term === leadership.term
}

async function replicateToPeer (core: replicaCore.Core, leadership: roles.Leadership, progress: roles.PeerProgress): Promise<void> {
  const id = entries.toMemberId(progress.member)
  while (isLeading(core, leadership) && leadership.peers.get(id) === progress) {
    const wakeup = new Promise<void>(resolve => { progress.wake = resolve })
    let isPending = true
    void sendHeartbeats(core, leadership, progress, () => isPending, wakeup)
    const hasReplied = await sendNext(core, leadership, progress).catch(() => false)
    isPending = false
    if (!isLeading(core, leadership)) return
    core.commitAcknowledged()
    const isBehind = progress.nextIndex <= core.log.lastIndex()
    if (hasReplied && isBehind) continue
    await Promise.race([core.opts.clock.sleep(core.timing.heartbeatMs), ...(hasReplied ? [wakeup] : [])])
  }
}

/**
 * Sends heartbeats while a call to a member is pending, so that a slow disk neither ends the lease nor makes the member start an election.
 * @param wakeup resolves when an acknowledgement is needed early
 */
async function sendHeartbeats (core: replicaCore.Core, leadership: roles.Leadership, progress: roles.PeerProgress, isPending: () => boolean, wakeup: Promise<void>): Promise<void> {
  const { clock, transport } = core.opts
  await Promise.race([clock.sleep(core.timing.heartbeatMs), wakeup])
  while (isPending() && isLeading(core, leadership)) {
    const sentAt = clock.now()
    try {
      const reply = await transport.call(progress.member.name, { t: 'heartbeat', term: leadership.term, leader: core.self(), commit: core.commitIndex, quorumAgeMs: toQuorumAgeMs(core, sentAt) })
      const isAccepted = await acceptReply(core, leadership, progress, reply, sentAt)
      if (isAccepted && reply.t === 'append' && reply.isOk && reply.match > progress.matchIndex) {
        matches.acceptMatch(progress, reply.match, core.log.lastIndex())
        core.commitAcknowledged()
      }
    } catch {
      // The pending call fails too if the member is unreachable.
    }
    await clock.sleep(core.timing.heartbeatMs)
  }
}

function toQuorumAgeMs (core: replicaCore.Core, now: number): number {
  return Math.min(now - core.lastQuorumContactAt(), MAX_QUORUM_AGE_MS)
}

async function sendNext (core: replicaCore.Core, leadership: roles.Leadership, progress: roles.PeerProgress): Promise<boolean> {
  const prevIndex = progress.nextIndex - 1
  const prevTerm = core.log.termAt(prevIndex)
  if (prevTerm === undefined) return await sendSnapshot(core, leadership, progress)
  const batch = core.log.from(progress.nextIndex, MAX_ENTRIES)
  const sentAt = core.opts.clock.now()
  const reply = await core.opts.transport.call(progress.member.name, { t: 'append', term: leadership.term, leader: core.self(), prevIndex, prevTerm, entries: batch, commit: core.commitIndex, quorumAgeMs: toQuorumAgeMs(core, sentAt) })
  if (!await acceptReply(core, leadership, progress, reply, sentAt)) return false
  if (reply.t !== 'append') return false
  if (!reply.isOk) {
    progress.nextIndex = Math.max(1, Math.min(progress.nextIndex - 1, reply.tryNext))
    return true
  }
  matches.acceptMatch(progress, reply.match, prevIndex + batch.length)
  return true
}

/** Records term and acknowledgement of a reply. @returns whether it is from the called member and leadership is current */
async function acceptReply (core: replicaCore.Core, leadership: roles.Leadership, progress: roles.PeerProgress, reply: entries.RpcReply, sentAt: number): Promise<boolean> {
  if (reply.t !== 'append') return false
  if (reply.term > leadership.term) {
    await core.observeTerm(reply.term)
    return false
  }
  // Guards against counting acknowledgements of a wiped replica for its former incarnation.
  if (entries.toMemberId(reply.from) !== entries.toMemberId(progress.member)) return false
  if (!isLeading(core, leadership)) return false
  progress.lastAckedSentAt = Math.max(progress.lastAckedSentAt, sentAt)
  return true
}

async function sendSnapshot (core: replicaCore.Core, leadership: roles.Leadership, progress: roles.PeerProgress): Promise<boolean> {
  const snapshot = core.lastSnapshot
  if (snapshot === undefined) return false
  const total = snapshot.state.length
  let offset = 0
  do {
    const data = snapshot.state.subarray(offset, offset + SNAPSHOT_CHUNK_BYTES)
    const sentAt = core.opts.clock.now()
    const reply = await core.opts.transport.call(progress.member.name, { t: 'snapshot', term: leadership.term, leader: core.self(), lastIndex: snapshot.lastIndex, lastTerm: snapshot.lastTerm, lastAtMs: snapshot.lastAtMs, voters: snapshot.voters, offset, total, data })
    if (!await acceptReply(core, leadership, progress, reply, sentAt)) return false
    if (reply.t !== 'append' || !reply.isOk) return false
    offset += data.length
  } while (offset < total)
  progress.matchIndex = Math.max(progress.matchIndex, snapshot.lastIndex)
  progress.nextIndex = progress.matchIndex + 1
  return true
}

/** Ends the leadership when no quorum acknowledges any more. */
export async function watchLease (core: replicaCore.Core, leadership: roles.Leadership): Promise<void> {
  while (isLeading(core, leadership)) {
    await core.opts.clock.sleep(core.timing.heartbeatMs / 2)
    if (!isLeading(core, leadership)) return
    const isEstablished = core.opts.clock.now() - leadership.startedAt > core.timing.electionMaxMs
    // Guards against a leader that stays leader on the minority side of a partition.
    if (isEstablished && core.opts.clock.now() > core.leaseEnd() + core.timing.electionMinMs) {
      core.stepDown('no quorum replied')
      return
    }
    announceLeadership(core, leadership)
  }
}

/** Calls `onLeadershipChange` once the leader is ready. */
export function announceLeadership (core: replicaCore.Core, leadership: roles.Leadership): void {
  if (leadership.isAnnounced || !core.isReady()) return
  leadership.isAnnounced = true
  core.opts.onLeadershipChange?.(true)
}
