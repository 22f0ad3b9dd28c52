/** What a replica does on the messages of a leader: appends entries, installs snapshots and notes how current it is. */
import * as contracts from '@kingcupdeck/contracts'
import * as entries from './entries.js'
import * as matches from './matches.js'
import type * as replicaCore from './replicaCore.js'

/** Larger than any state: a document and the evacuations. */
const MAX_SNAPSHOT_BYTES = 4 * contracts.MAX_DOCUMENT_BYTES

type Append = Extract<entries.Rpc, { t: 'append' }>
type Heartbeat = Extract<entries.Rpc, { t: 'heartbeat' }>
type SnapshotChunk = Extract<entries.Rpc, { t: 'snapshot' }>

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
  matches.noteMatch(core, msg.term, matchIndex)
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

/** Acknowledges a leader, and the entries that are synced by now; later ones may still be written. The promise not to vote for another one meanwhile needs no disk: a start waits too. */
export async function onHeartbeat (core: replicaCore.Core, msg: Heartbeat): Promise<entries.RpcReply> {
  const receivedAt = core.opts.clock.now()
  const isOk = await follow(core, msg)
  if (isOk) noteCurrency(core, msg, receivedAt)
  return toReply(core, msg, isOk, isOk ? matches.syncedMatch(core, msg.term) : 0)
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
