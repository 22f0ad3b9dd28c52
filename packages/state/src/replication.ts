/** Leading and following: appending entries, sending snapshots, and keeping the lease. */
import * as entries from './entries.js'
import * as replicaCore from './replicaCore.js'

const MAX_ENTRIES = 256
const SNAPSHOT_CHUNK_BYTES = 512 * 1024

type Append = Extract<entries.Rpc, { t: 'append' }>
type SnapshotPart = Extract<entries.Rpc, { t: 'snapshot' }>

/**
 * Starts leadership: opens the term with an entry of its own and feeds every peer.
 * @param core the replica, which has won an election
 * @returns what the leader keeps for its term
 */
export function becomeLeader (core: replicaCore.Core): replicaCore.Leadership {
  const lead: replicaCore.Leadership = {
    term: core.meta.term,
    termStartIndex: core.log.lastIndex() + 1,
    startedAt: core.opts.clock.now(),
    peers: new Map(),
    learners: new Map(),
    pendingProposals: new Map(),
    isAnnounced: false
  }
  core.role = { kind: 'leader', lead }
  core.leader = core.opts.name
  core.log.append([{ index: lead.termStartIndex, term: lead.term, body: { kind: 'noop' } }])
  core.opts.log.event('leaderElected', { group: core.opts.group, replica: core.opts.name, term: lead.term })
  replicateToPeers(core, lead)
  return lead
}

/**
 * Starts a task for each voter and learner that has none yet.
 * @param core the replica
 * @param lead its leadership
 */
export function replicateToPeers (core: replicaCore.Core, lead: replicaCore.Leadership): void {
  const members = [...core.voters(), ...lead.learners.values()]
  for (const member of members) {
    const id = entries.toMemberId(member)
    if (id === core.selfId() || lead.peers.has(id)) continue
    const progress: replicaCore.PeerProgress = { member, nextIndex: core.log.lastIndex() + 1, matchIndex: 0, lastAckedSentAt: -Infinity, wake: () => {} }
    lead.peers.set(id, progress)
    void feedPeer(core, lead, progress)
  }
}

/**
 * Tells whether a leadership is still the one in force.
 * @param core the replica
 * @param lead the leadership
 * @returns whether it still leads that term
 */
export function isLeading (core: replicaCore.Core, lead: replicaCore.Leadership): boolean {
  return core.isRunning && core.role.kind === 'leader' && core.role.lead === lead && core.meta.term === lead.term
}

async function feedPeer (core: replicaCore.Core, lead: replicaCore.Leadership, progress: replicaCore.PeerProgress): Promise<void> {
  const id = entries.toMemberId(progress.member)
  while (isLeading(core, lead) && lead.peers.get(id) === progress) {
    const woken = new Promise<void>(resolve => { progress.wake = resolve })
    const isReached = await sendNext(core, lead, progress).catch(() => false)
    if (!isLeading(core, lead)) return
    core.commitAcknowledged()
    const isBehind = progress.nextIndex <= core.log.lastIndex()
    if (isReached && isBehind) continue
    await Promise.race([core.opts.clock.sleep(core.timing.heartbeatMs), ...(isReached ? [woken] : [])])
  }
}

async function sendNext (core: replicaCore.Core, lead: replicaCore.Leadership, progress: replicaCore.PeerProgress): Promise<boolean> {
  const prevIndex = progress.nextIndex - 1
  const prevTerm = core.log.termAt(prevIndex)
  if (prevTerm === undefined) return await sendSnapshot(core, lead, progress)
  const list = core.log.from(progress.nextIndex, MAX_ENTRIES)
  const sentAt = core.opts.clock.now()
  const reply = await core.opts.transport.call(progress.member.name, { t: 'append', term: lead.term, leader: core.self(), prevIndex, prevTerm, entries: list, commit: core.commitIndex })
  if (!await isFromPeer(core, lead, progress, reply, sentAt)) return false
  if (reply.t !== 'append') return false
  if (!reply.isOk) {
    progress.nextIndex = Math.max(1, Math.min(progress.nextIndex - 1, reply.tryNext))
    return true
  }
  progress.matchIndex = Math.max(progress.matchIndex, reply.match)
  progress.nextIndex = progress.matchIndex + 1
  return true
}

/** Takes the term and the acknowledgement out of a reply, if it is from the member that was asked. */
async function isFromPeer (core: replicaCore.Core, lead: replicaCore.Leadership, progress: replicaCore.PeerProgress, reply: entries.RpcReply, sentAt: number): Promise<boolean> {
  if (reply.t !== 'append') return false
  if (reply.term > lead.term) {
    await core.observeTerm(reply.term)
    return false
  }
  // Guards against amnesia: the acknowledgements of a wiped replica must not count for the member it used to be.
  if (entries.toMemberId(reply.from) !== entries.toMemberId(progress.member)) return false
  if (!isLeading(core, lead)) return false
  progress.lastAckedSentAt = Math.max(progress.lastAckedSentAt, sentAt)
  return true
}

async function sendSnapshot (core: replicaCore.Core, lead: replicaCore.Leadership, progress: replicaCore.PeerProgress): Promise<boolean> {
  const snapshot = core.lastSnapshot
  if (snapshot === undefined) return false
  const total = snapshot.state.length
  let offset = 0
  do {
    const data = snapshot.state.subarray(offset, offset + SNAPSHOT_CHUNK_BYTES)
    const sentAt = core.opts.clock.now()
    const reply = await core.opts.transport.call(progress.member.name, { t: 'snapshot', term: lead.term, leader: core.self(), lastIndex: snapshot.lastIndex, lastTerm: snapshot.lastTerm, lastAtMs: snapshot.lastAtMs, voters: snapshot.voters, offset, total, data })
    if (!await isFromPeer(core, lead, progress, reply, sentAt)) return false
    if (reply.t !== 'append' || !reply.isOk) return false
    offset += data.length
  } while (offset < total)
  progress.matchIndex = Math.max(progress.matchIndex, snapshot.lastIndex)
  progress.nextIndex = progress.matchIndex + 1
  return true
}

/**
 * Watches the leader's own lease and ends leadership when no quorum answers any more.
 * @param core the replica
 * @param lead its leadership
 */
export async function watchLease (core: replicaCore.Core, lead: replicaCore.Leadership): Promise<void> {
  while (isLeading(core, lead)) {
    await core.opts.clock.sleep(core.timing.heartbeatMs / 2)
    if (!isLeading(core, lead)) return
    const isOld = core.opts.clock.now() - lead.startedAt > core.timing.electionMaxMs
    // Guards against a leader that a partition isolated silently: it stops believing by itself.
    if (isOld && core.opts.clock.now() > core.leaseEnd() + core.timing.electionMinMs) {
      core.stepDown('no quorum answers')
      return
    }
    announceLeadership(core, lead)
  }
}

/**
 * Tells the owner of the replica that it leads, once it can answer.
 * @param core the replica
 * @param lead its leadership
 */
export function announceLeadership (core: replicaCore.Core, lead: replicaCore.Leadership): void {
  if (lead.isAnnounced || !core.isReady()) return
  lead.isAnnounced = true
  core.opts.onLeadershipChange?.(true)
}

/**
 * Takes entries from a leader.
 * @param core the replica
 * @param msg what the leader sent
 * @returns how far this replica's synced log now agrees with the leader's
 */
export async function onAppend (core: replicaCore.Core, msg: Append): Promise<entries.RpcReply> {
  const reply = (isOk: boolean, match: number, tryNext: number): entries.RpcReply => ({ t: 'append', from: core.self(), term: Math.max(msg.term, isOk ? 0 : core.meta.term), isOk, match, tryNext })
  if (!await follow(core, msg)) return reply(false, 0, 0)
  const { log } = core
  const base = log.base()
  if (msg.prevIndex > log.lastIndex()) return reply(false, 0, log.lastIndex() + 1)
  // A leader of this term holds everything that was committed before; one that contradicts it would undo what was acknowledged.
  if (msg.prevIndex >= base.index && msg.prevIndex <= core.commitIndex) {
    core.opts.invariants.check('commitNeverReverts', log.termAt(msg.prevIndex) === msg.prevTerm, () => `the leader of term ${msg.term} has term ${msg.prevTerm} at ${msg.prevIndex}, committed ${core.commitIndex}`)
  }
  if (msg.prevIndex >= base.index && log.termAt(msg.prevIndex) !== msg.prevTerm) return reply(false, 0, firstOfTerm(core, msg.prevIndex))
  const fresh = msg.entries.filter(item => item.index > base.index)
  const firstNew = fresh.findIndex(item => log.termAt(item.index) !== item.term)
  if (firstNew >= 0) {
    const from = fresh[firstNew].index
    const isConflict = from <= log.lastIndex()
    const cut = isConflict ? core.truncateFrom(from) : undefined
    log.append(fresh.slice(firstNew))
    await cut
  }
  const match = msg.prevIndex + msg.entries.length
  await core.persist()
  if (core.meta.term === msg.term) core.advanceCommit(Math.min(msg.commit, match))
  return reply(true, match, match + 1)
}

/** Follows the sender if it leads this term. */
async function follow (core: replicaCore.Core, msg: Append | SnapshotPart): Promise<boolean> {
  if (msg.term < core.meta.term) return false
  await core.observeTerm(msg.term)
  if (core.meta.term !== msg.term) return false
  if (core.role.kind !== 'follower') core.role = { kind: 'follower' }
  core.leader = msg.leader.name
  core.lastContactOrStartAt = core.opts.clock.now()
  core.lastLeaderContactAt = core.lastContactOrStartAt
  if (core.meta.founding === null) {
    core.meta = { ...core.meta, founding: [] }
    await core.saveMeta()
  }
  return true
}

function firstOfTerm (core: replicaCore.Core, index: number): number {
  const term = core.log.termAt(index)
  let first = index
  while (first - 1 > core.log.base().index && core.log.termAt(first - 1) === term) first--
  return Math.max(first, core.commitIndex + 1)
}

/** Puts the parts of a snapshot together. */
export interface SnapshotAssembly { lastIndex: number, lastTerm: number, parts: Uint8Array[], bytes: number }

/**
 * Takes a part of a snapshot; installs it with the last one.
 * @param core the replica
 * @param inbox the parts that came so far
 * @param msg the part
 * @returns whether it fitted
 */
export async function onSnapshotChunk (core: replicaCore.Core, inbox: SnapshotAssembly, msg: SnapshotPart): Promise<entries.RpcReply> {
  const reply = (isOk: boolean): entries.RpcReply => ({ t: 'append', from: core.self(), term: Math.max(msg.term, isOk ? 0 : core.meta.term), isOk, match: 0, tryNext: 0 })
  if (!await follow(core, msg)) return reply(false)
  if (msg.offset === 0) Object.assign(inbox, { lastIndex: msg.lastIndex, lastTerm: msg.lastTerm, parts: [], bytes: 0 })
  if (msg.lastIndex !== inbox.lastIndex || msg.lastTerm !== inbox.lastTerm || msg.offset !== inbox.bytes) return reply(false)
  inbox.parts.push(msg.data)
  inbox.bytes += msg.data.length
  if (inbox.bytes < msg.total) return reply(true)
  const snapshot: entries.Snapshot = { lastIndex: msg.lastIndex, lastTerm: msg.lastTerm, lastAtMs: msg.lastAtMs, voters: msg.voters, state: Buffer.concat(inbox.parts) }
  inbox.parts = []
  if (snapshot.lastIndex > core.commitIndex) await install(core, snapshot)
  return reply(true)
}

async function install (core: replicaCore.Core, snapshot: entries.Snapshot): Promise<void> {
  const { log } = core
  const hasSuffix = log.termAt(snapshot.lastIndex) === snapshot.lastTerm
  if (hasSuffix) log.compactTo(snapshot.lastIndex)
  else {
    log.reset(snapshot.lastIndex, snapshot.lastTerm)
    core.queuedIndex = snapshot.lastIndex
    core.syncedIndex = snapshot.lastIndex
  }
  restoreSnapshot(core, snapshot)
  core.opts.log.event('snapshotInstalled', { group: core.opts.group, replica: core.opts.name, index: snapshot.lastIndex })
  await core.opts.storage.saveSnapshot(snapshot, hasSuffix ? snapshot.lastIndex + 1 : Number.MAX_SAFE_INTEGER)
}

/**
 * Makes a snapshot the state of the replica.
 * @param core the replica, whose log already begins behind the snapshot
 * @param snapshot the state
 */
export function restoreSnapshot (core: replicaCore.Core, snapshot: entries.Snapshot): void {
  core.opts.stateMachine.restore(snapshot.state)
  core.lastSnapshot = snapshot
  core.snapshotIndex = snapshot.lastIndex
  core.snapshotVoters = snapshot.voters
  core.lastAtMs = snapshot.lastAtMs
  core.commitIndex = Math.max(core.commitIndex, snapshot.lastIndex)
  core.appliedIndex = snapshot.lastIndex
}
