/** Log replication: appending entries, transferring snapshots and checking the leader's lease. */
import * as contracts from '@kingcupdeck/contracts'
import * as entries from './entries.js'
import * as replicaCore from './replicaCore.js'
import type * as roles from './roles.js'

const MAX_ENTRIES = 256
const SNAPSHOT_CHUNK_BYTES = 512 * 1024
/** Larger than any state: a document and the evacuations. */
const MAX_SNAPSHOT_BYTES = 4 * contracts.MAX_DOCUMENT_BYTES
/** Sent as the age of the contact with a quorum if there was none. */
const MAX_QUORUM_AGE_MS = 3_600_000

type Append = Extract<entries.Rpc, { t: 'append' }>
type Heartbeat = Extract<entries.Rpc, { t: 'heartbeat' }>
type SnapshotChunk = Extract<entries.Rpc, { t: 'snapshot' }>

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
      await acceptReply(core, leadership, progress, reply, sentAt)
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
  if (reply.match > prevIndex + batch.length) throw new Error(`${progress.member.name} acknowledged entry ${reply.match}, which it was not sent`)
  progress.matchIndex = Math.max(progress.matchIndex, reply.match)
  progress.nextIndex = progress.matchIndex + 1
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

/**
 * Handles entries from a leader.
 * @returns the index up to which the synced log matches the leader's, or where the leader should retry
 */
export async function onAppend (core: replicaCore.Core, msg: Append): Promise<entries.RpcReply> {
  const reply = (isOk: boolean, match: number, tryNext: number): entries.RpcReply => toReply(core, msg, isOk, match, tryNext)
  const receivedAt = core.opts.clock.now()
  if (!isConsistent(msg)) throw new Error(`append rejected: its entries do not continue entry ${msg.prevIndex} of term ${msg.prevTerm}`)
  if (!await follow(core, msg)) return reply(false, 0, 0)
  core.leaderCommitIndex = msg.commit
  const { log } = core
  const base = log.base()
  if (msg.prevIndex > log.lastIndex()) return reply(false, 0, log.lastIndex() + 1)
  // A valid leader has all committed entries; a conflict below the commit index would revert acknowledged ones.
  if (msg.prevIndex >= base.index && msg.prevIndex <= core.commitIndex) {
    core.opts.invariants.check('commitNeverReverts', log.termAt(msg.prevIndex) === msg.prevTerm, () => `the leader of term ${msg.term} has term ${msg.prevTerm} at entry ${msg.prevIndex}, which conflicts with committed entries up to ${core.commitIndex}`)
  }
  if (msg.prevIndex >= base.index && log.termAt(msg.prevIndex) !== msg.prevTerm) return reply(false, 0, findTermStart(core, msg.prevIndex))
  const uncompacted = msg.entries.filter(item => item.index > base.index)
  const firstMissing = uncompacted.findIndex(item => log.termAt(item.index) !== item.term)
  if (firstMissing >= 0) {
    const from = uncompacted[firstMissing].index
    const isConflict = from <= log.lastIndex()
    const isCommitted = from <= core.commitIndex
    core.opts.invariants.check('commitNeverReverts', !isCommitted, () => `the leader of term ${msg.term} has another entry ${from}, but entries up to ${core.commitIndex} are committed`)
    if (isCommitted) throw new Error(`append rejected: entry ${from} is committed with another term`)
    const truncation = isConflict ? core.truncateFrom(from) : undefined
    log.append(uncompacted.slice(firstMissing))
    await truncation
  }
  const matchIndex = msg.prevIndex + msg.entries.length
  await core.persist()
  if (core.meta.term === msg.term) core.advanceCommit(Math.min(msg.commit, matchIndex))
  noteCurrency(core, msg, receivedAt)
  return reply(true, matchIndex, matchIndex + 1)
}

/** Returns whether the entries of a message continue the one before them, and none is of a later term than the leader. */
function isConsistent (msg: Append): boolean {
  let { prevIndex: index, prevTerm: term } = msg
  for (const item of msg.entries) {
    if (item.index !== index + 1 || item.term < term || item.term > msg.term) return false
    index = item.index
    term = item.term
  }
  return true
}

/** Notes that all that was committed when a message was sent is applied. */
function noteCurrency (core: replicaCore.Core, msg: Append | Heartbeat, receivedAt: number): void {
  // Only an entry of its own term tells a leader, and its followers, what is committed.
  if (core.commitIndex < msg.commit || core.log.termAt(msg.commit) !== msg.term) return
  core.currentAsFollowerAt = Math.max(core.currentAsFollowerAt, receivedAt - Math.max(0, msg.quorumAgeMs ?? 0))
}

/** Acknowledges a leader without acknowledging any entry. The promise not to vote for another one meanwhile needs no disk: a start waits too. */
export async function onHeartbeat (core: replicaCore.Core, msg: Heartbeat): Promise<entries.RpcReply> {
  const receivedAt = core.opts.clock.now()
  const isOk = await follow(core, msg)
  if (isOk) noteCurrency(core, msg, receivedAt)
  return toReply(core, msg, isOk)
}

function toReply (core: replicaCore.Core, { term }: Append | Heartbeat | SnapshotChunk, isOk: boolean, match = 0, tryNext = 0): entries.RpcReply {
  return { t: 'append', from: core.self(), term: Math.max(term, isOk ? 0 : core.meta.term), isOk, match, tryNext }
}

/** Becomes a follower of the sender. @returns false when the sender's term is outdated */
async function follow (core: replicaCore.Core, msg: Append | Heartbeat | SnapshotChunk): Promise<boolean> {
  if (msg.term < core.meta.term) return false
  await core.observeTerm(msg.term)
  if (core.meta.term !== msg.term) return false
  if (core.role.kind !== 'follower') core.role = { kind: 'follower' }
  core.leader = msg.leader.name
  core.lastContactOrStartAt = core.opts.clock.now()
  if (core.meta.founding === null) {
    core.meta = { ...core.meta, founding: [] }
    await core.saveMeta()
  }
  return true
}

function findTermStart (core: replicaCore.Core, index: number): number {
  const term = core.log.termAt(index)
  let first = index
  while (first - 1 > core.log.base().index && core.log.termAt(first - 1) === term) first--
  return Math.max(first, core.commitIndex + 1)
}

/** Received chunks of a snapshot. */
export interface SnapshotAssembly { lastIndex: number, lastTerm: number, chunks: Uint8Array[], bytes: number }

/** Handles a snapshot chunk; rejects chunks out of order and installs the snapshot after the last one. */
export async function onSnapshotChunk (core: replicaCore.Core, assembly: SnapshotAssembly, msg: SnapshotChunk): Promise<entries.RpcReply> {
  const reply = (isOk: boolean): entries.RpcReply => toReply(core, msg, isOk)
  if (!await follow(core, msg)) return reply(false)
  if (msg.total > MAX_SNAPSHOT_BYTES) throw new Error(`snapshot of ${msg.total} bytes rejected: it exceeds ${MAX_SNAPSHOT_BYTES} bytes`)
  if (msg.offset === 0) Object.assign(assembly, { lastIndex: msg.lastIndex, lastTerm: msg.lastTerm, chunks: [], bytes: 0 })
  if (msg.lastIndex !== assembly.lastIndex || msg.lastTerm !== assembly.lastTerm || msg.offset !== assembly.bytes) return reply(false)
  assembly.chunks.push(msg.data)
  assembly.bytes += msg.data.length
  if (assembly.bytes < msg.total) return reply(true)
  const snapshot: entries.Snapshot = { lastIndex: msg.lastIndex, lastTerm: msg.lastTerm, lastAtMs: msg.lastAtMs, voters: msg.voters, state: Buffer.concat(assembly.chunks) }
  assembly.chunks = []
  if (snapshot.lastIndex > core.commitIndex) await installSnapshot(core, snapshot)
  return reply(true)
}

async function installSnapshot (core: replicaCore.Core, snapshot: entries.Snapshot): Promise<void> {
  const { log } = core
  // First: a state that cannot be read changes nothing.
  core.opts.stateMachine.restore(snapshot.state)
  const hasSuffix = log.termAt(snapshot.lastIndex) === snapshot.lastTerm
  if (hasSuffix) {
    log.compactTo(snapshot.lastIndex)
    core.queuedIndex = Math.max(core.queuedIndex, snapshot.lastIndex)
  } else {
    log.reset(snapshot.lastIndex, snapshot.lastTerm)
    core.queuedIndex = snapshot.lastIndex
    core.syncedIndex = Math.min(core.syncedIndex, core.commitIndex)
  }
  adoptPosition(core, snapshot)
  core.opts.log.event('snapshotInstalled', { group: core.opts.group, replica: core.opts.name, index: snapshot.lastIndex })
  await core.saveInstalledSnapshot(snapshot, hasSuffix ? snapshot.lastIndex + 1 : Number.MAX_SAFE_INTEGER)
}

/**
 * Restores the state machine and the commit position from a snapshot.
 * @param core the replica, whose log must already start after the snapshot
 */
export function restoreSnapshot (core: replicaCore.Core, snapshot: entries.Snapshot): void {
  core.opts.stateMachine.restore(snapshot.state)
  adoptPosition(core, snapshot)
}

function adoptPosition (core: replicaCore.Core, snapshot: entries.Snapshot): void {
  core.lastSnapshot = snapshot
  core.snapshotIndex = snapshot.lastIndex
  core.snapshotVoters = snapshot.voters
  core.lastAtMs = snapshot.lastAtMs
  core.commitIndex = Math.max(core.commitIndex, snapshot.lastIndex)
  core.appliedIndex = snapshot.lastIndex
}
