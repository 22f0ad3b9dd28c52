/**
 * State shared by the tasks of a replica, and its operations that must not be interleaved. The tasks are in election.ts,
 * replication.ts, following.ts, membershipChanges.ts and bootstrap.ts.
 */
import * as entries from './entries.js'
import * as foundings from './founding.js'
import * as memoryLog from './memoryLog.js'
import * as replicaOptions from './replicaOptions.js'
import type * as roles from './roles.js'
import * as writeChains from './writeChain.js'

/** Lease duration as a fraction of the minimum election timeout; the margin covers clock drift. */
const LEASE_FRACTION = 0.8
const DEFAULT_SNAPSHOT_ENTRIES = 500
/** No replica is that many elections behind another one; a higher term is damage, and would leave no terms to elect in. */
export const MAX_TERM_GAP = 2 ** 32
/** Number of entries retained before a snapshot, so that slightly lagging followers need no snapshot. */
const RETAINED_ENTRIES = 100

/** State shared by the tasks of a replica. */
export interface Core extends ReturnType<typeof createCore> {}

export function createCore (opts: replicaOptions.ReplicaOptions) {
  const { clock, storage, invariants } = opts
  const log = memoryLog.createMemoryLog()
  const snapshotEvery = opts.snapshotEvery ?? DEFAULT_SNAPSHOT_ENTRIES
  const core = {
    opts,
    timing: opts.timing ?? replicaOptions.DEFAULT_TIMING,
    log,
    meta: { incarnation: '', term: 0, votedFor: null, founding: null } as entries.Meta,
    syncedMeta: undefined as entries.Meta | undefined,
    /** Whether the metadata was passed to the storage since the start. */
    hasQueuedMeta: false,
    role: { kind: 'outside' } as roles.Role,
    leader: null as string | null,
    /** Last contact from a leader, or the start of the replica; votes are rejected for a while afterwards. */
    lastContactOrStartAt: opts.startedAt ?? clock.now(),
    /** As follower, the latest time as of which all committed entries are known to be applied. */
    currentAsFollowerAt: -Infinity,
    /** Last reset of the election timer for reasons other than contact from a leader. */
    electionTimerStartedAt: clock.now(),
    /** When this replica last voted, also for itself; Infinity while its vote for another one is written. */
    votedAt: -Infinity,
    /** Votes of the latest lost election that was logged. */
    lastLostVotes: '',
    /** What is known of the start of the group. */
    start: foundings.createStart(clock.now()),
    isRunning: true,
    /** Whether the stored state was loaded; an earlier failure is reported by the loading itself. */
    isLoaded: false,
    commitIndex: 0,
    /** Latest commit index received from a leader. */
    leaderCommitIndex: 0,
    appliedIndex: 0,
    /** Timestamp of the latest applied command; command timestamps never decrease. */
    lastAtMs: 0,
    snapshotVoters: [] as entries.Member[],
    snapshotIndex: 0,
    lastSnapshot: undefined as entries.Snapshot | undefined,
    /** Last index passed to the storage. */
    queuedIndex: 0,
    /** Last index synced to storage. */
    syncedIndex: 0,
    /** Truncations that are not written yet; what is written before them may be removed again, also if the log holds it anew. */
    queuedTruncations: 0,
    /** Up to which entry the log matches that of the leader of a term, synced or not. */
    matched: { term: 0, index: 0 },
    /** The commit index that was passed to the storage last. */
    savedCommitIndex: 0,
    /** The latest write that acknowledgements wait for. Writes are performed in order, so it completes after all earlier ones. */
    lastWrite: Promise.resolve() as Promise<void>,

    self: (): entries.Member => ({ name: opts.name, incarnation: core.meta.incarnation }),
    selfId: () => entries.toMemberId(core.self()),
    voters: (): entries.Member[] => log.membership()?.voters ?? core.snapshotVoters,
    isVoter: () => core.voters().some(voter => entries.toMemberId(voter) === core.selfId()),
    quorum: () => Math.floor(core.voters().length / 2) + 1,

    /** Persists the current metadata. */
    async saveMeta (): Promise<void> {
      core.hasQueuedMeta = true
      const copy = { ...core.meta }
      core.lastWrite = write('meta', async () => {
        await storage.saveMeta(copy)
        core.syncedMeta = copy
      })
      await core.lastWrite
    },

    /** Adopts a higher term, in which this replica has not voted; ignores one that no elections can have led to. */
    async observeTerm (term: number): Promise<void> {
      if (term > core.meta.term && term - core.meta.term <= MAX_TERM_GAP) await core.saveVote(term, null)
    },

    /** Persists a vote, together with its term if that is a higher one. */
    async saveVote (term: number, votedFor: string | null): Promise<void> {
      const isHigher = term > core.meta.term
      core.meta = { ...core.meta, term, votedFor }
      if (isHigher && votedFor !== core.selfId()) core.stepDown('observed a higher term')
      await core.saveMeta()
    },

    /** Becomes a follower; pending proposals of a leader fail with an unknown outcome. */
    stepDown (why: string): void {
      const previous = core.role
      if (previous.kind === 'outside') return
      core.role = { kind: 'follower' }
      if (previous.kind !== 'leader') return
      core.leader = null
      core.electionTimerStartedAt = clock.now()
      for (const proposal of previous.leadership.pendingProposals.values()) proposal.reject(new replicaOptions.ProposalError('unknown', null))
      for (const peer of previous.leadership.peers.values()) peer.wake()
      opts.log.event('leaderLost', { group: opts.group, replica: opts.name, term: previous.leadership.term, why })
      if (previous.leadership.isAnnounced) opts.onLeadershipChange?.(false)
    },

    /**
     * Writes the metadata that was loaded again, before anything is acknowledged: the previous process may have ended before it was
     * durable. A vote writes it anyway.
     */
    rewriteLoadedMeta (): void {
      // A failure ends the replica.
      if (!core.hasQueuedMeta) core.saveMeta().catch(() => {})
    },

    /**
     * Writes all entries that were not yet passed to the storage, and waits until everything to be acknowledged is synced. Entries that arrive
     * while a write is in progress share the next one.
     */
    async persist (): Promise<void> {
      core.rewriteLoadedMeta()
      const list = log.from(core.queuedIndex + 1, Infinity)
      const last = list.at(-1)
      if (last !== undefined) {
        core.queuedIndex = last.index
        core.lastWrite = queueAppend(list, core.lastWrite)
      }
      await core.lastWrite
    },

    /** Removes entries that conflict with the leader's log. */
    async truncateFrom (index: number): Promise<void> {
      invariants.check('commitNeverReverts', index > core.commitIndex, () => `truncating the log at entry ${index}, but entries up to ${core.commitIndex} are committed`)
      log.truncateFrom(index)
      core.syncedIndex = Math.min(core.syncedIndex, index - 1)
      if (index > core.queuedIndex) return
      core.queuedIndex = index - 1
      core.queuedTruncations++
      core.lastWrite = write('truncation', async () => {
        await storage.truncateFrom(index)
        core.queuedTruncations--
      })
      await core.lastWrite
    },

    /** Stores a snapshot received from the leader, in place of the entries that it covers. */
    async saveInstalledSnapshot (snapshot: entries.Snapshot, keepFrom: number): Promise<void> {
      core.rewriteLoadedMeta()
      core.lastWrite = write('snapshot', async () => {
        await storage.saveSnapshot(snapshot, keepFrom)
        core.syncedIndex = Math.max(core.syncedIndex, snapshot.lastIndex)
      })
      await core.lastWrite
    },

    /** Advances the commit index and applies the newly committed entries. */
    advanceCommit (index: number): void {
      const newIndex = Math.min(index, log.lastIndex())
      if (newIndex <= core.commitIndex) return
      core.commitIndex = newIndex
      try {
        while (core.appliedIndex < core.commitIndex) applyNext()
      } catch (err) {
        // Going on behind an entry that was not applied would leave another state than the other replicas have.
        core.fail(err)
        throw err
      }
      core.saveCommitIndex()
      core.maybeSnapshot()
    },

    /**
     * Stores how far entries are committed, limited to synced ones: a restarted replica applies them before it contacts any other. A
     * quorum may have committed an entry before this replica has synced it.
     */
    saveCommitIndex (): void {
      const index = Math.min(core.commitIndex, core.syncedIndex)
      if (index <= core.savedCommitIndex) return
      core.savedCommitIndex = index
      storage.saveCommitIndex?.(index)
    },

    /** As leader, commits the entries that a quorum of voters has synced. */
    commitAcknowledged (): void {
      const { role } = core
      if (role.kind !== 'leader') return
      const matches = core.voters().map(voter => {
        const id = entries.toMemberId(voter)
        return id === core.selfId() ? core.syncedIndex : role.leadership.peers.get(id)?.matchIndex ?? 0
      })
      const index = matches.sort((a, b) => b - a)[core.quorum() - 1] ?? 0
      // Entries of earlier terms may still be overwritten even if a quorum has them: only an entry of this term commits them.
      if (log.termAt(index) === role.leadership.term) core.advanceCommit(index)
    },

    /** @returns the expiry of the leader's lease, before which no other replica can be elected */
    leaseEnd (): number {
      return core.lastQuorumContactAt() + core.timing.electionMinMs * LEASE_FRACTION
    },

    /** @returns as leader, the send time of the latest append that a quorum has acknowledged; otherwise -Infinity */
    lastQuorumContactAt (): number {
      const { role } = core
      if (role.kind !== 'leader') return -Infinity
      const sent = core.voters().map(voter => {
        const id = entries.toMemberId(voter)
        return id === core.selfId() ? clock.now() : role.leadership.peers.get(id)?.lastAckedSentAt ?? -Infinity
      })
      return sent.sort((a, b) => b - a)[core.quorum() - 1] ?? -Infinity
    },

    /** Guards against stale reads from an isolated leader: it may reply only while its lease is valid. */
    isReady (): boolean {
      return core.hasCommittedInTerm() && clock.now() < core.leaseEnd()
    },

    /** Returns whether this replica is the leader and has applied all entries of earlier terms; until then it does not know which of them are committed. */
    hasCommittedInTerm (): boolean {
      return core.role.kind === 'leader' && core.appliedIndex >= core.role.leadership.termStartIndex
    },

    /**
     * Returns the latest time as of which this replica is known to have applied all committed entries, milliseconds; -Infinity if
     * there is none. A follower's is too late by the delay of the leader's message.
     */
    lastCurrentAt (): number {
      if (!core.isVoter()) return -Infinity
      return core.hasCommittedInTerm() ? core.lastQuorumContactAt() : core.currentAsFollowerAt
    },

    /** Takes a snapshot when enough entries were applied since the last one. */
    maybeSnapshot (): void {
      if (core.appliedIndex - core.snapshotIndex < snapshotEvery) return
      const snapshot: entries.Snapshot = {
        lastIndex: core.appliedIndex,
        lastTerm: log.termAt(core.appliedIndex) ?? 0,
        lastAtMs: core.lastAtMs,
        voters: votersAt(core.appliedIndex),
        state: opts.stateMachine.save()
      }
      core.lastSnapshot = snapshot
      core.snapshotIndex = snapshot.lastIndex
      core.snapshotVoters = snapshot.voters
      // Entries that the storage has not received yet stay in the log.
      const keepFrom = Math.max(log.base().index + 1, Math.min(snapshot.lastIndex - RETAINED_ENTRIES, core.queuedIndex) + 1)
      if (keepFrom - 1 > log.base().index) log.compactTo(keepFrom - 1)
      opts.log.event('snapshotTaken', { group: opts.group, replica: opts.name, index: snapshot.lastIndex })
      // Acknowledgements do not wait for it: the entries that it covers are synced. A failure ends the replica.
      write('snapshot', async () => { await storage.saveSnapshot(snapshot, keepFrom) }).catch(() => {})
    },

    /** Stops the replica after a failure of its storage or of one of its tasks, since it can no longer guarantee what it acknowledges. */
    fail (err: unknown): void {
      if (!core.isRunning) return
      core.stepDown('storage or a task failed')
      core.isRunning = false
      opts.log.event('replicaFailed', { group: opts.group, replica: opts.name, term: core.meta.term, lastIndex: log.lastIndex(), syncedIndex: core.syncedIndex, detail: String(err) })
      if (core.isLoaded) opts.onFailed?.()
    }
  }

  const write = writeChains.createWriteChain({
    isRunning: () => core.isRunning,
    onFailed: err => { core.fail(err) },
    slowMs: core.timing.electionMinMs,
    onSlow (step, ms) { opts.log.event('writeSlow', { group: opts.group, replica: opts.name, role: core.role.kind, term: core.meta.term, step, ms: Math.round(ms) }) },
    now: clock.now
  })

  const queueAppend = writeChains.createAppendQueue(write, async list => {
    const last = list[list.length - 1]
    await storage.append(list)
    // Another leader's entries may have replaced these in memory meanwhile.
    if (core.queuedTruncations === 0 && log.termAt(last.index) === last.term) core.syncedIndex = Math.max(core.syncedIndex, last.index)
    core.saveCommitIndex()
  })

  const votersAt = (index: number): entries.Member[] => {
    const latest = log.membership()
    if (latest === undefined || latest.index <= index) return core.voters()
    for (let i = index; i > log.base().index; i--) {
      const body = log.at(i)?.body
      if (body?.kind === 'membership') return body.voters
    }
    return core.snapshotVoters
  }

  const applyNext = (): void => {
    const item = log.at(core.appliedIndex + 1)
    if (item === undefined) throw new Error(`entry ${core.appliedIndex + 1} is committed but not in the log`)
    let result: unknown
    if (item.body.kind === 'membership') {
      const voters = item.body.voters.map(entries.toMemberId).join(' ')
      opts.log.event('votersChanged', { group: opts.group, replica: opts.name, index: item.index, term: item.term, voters })
    }
    if (item.body.kind === 'command') {
      core.lastAtMs = item.body.atMs
      result = opts.stateMachine.apply(item.body.command, { index: item.index, atMs: item.body.atMs })
    }
    core.appliedIndex = item.index
    const { role } = core
    if (role.kind !== 'leader') return
    const proposal = role.leadership.pendingProposals.get(item.index)
    role.leadership.pendingProposals.delete(item.index)
    proposal?.resolve(result)
  }

  return core
}
