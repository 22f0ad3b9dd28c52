/**
 * What the tasks of one replica share: its log, its term and vote, its role, and the steps that must not be interleaved.
 * The tasks themselves stand in election.ts, replication.ts, repair.ts and founding.ts.
 */
import * as entries from './entries.js'
import * as memoryLog from './memoryLog.js'
import * as replicaOptions from './replicaOptions.js'

/** How far a peer has come, as its leader knows. */
export interface PeerProgress {
  member: entries.Member
  nextIndex: number
  matchIndex: number
  /** When the last append that it acknowledged was sent. */
  lastAckedSentAt: number
  /** Wakes the task that feeds it. */
  wake: () => void
}

/** What a leader keeps for its term. */
export interface Leadership {
  term: number
  /** Index of the entry that opened the term. */
  termStartIndex: number
  startedAt: number
  peers: Map<string, PeerProgress>
  learners: Map<string, entries.Member>
  pendingProposals: Map<number, { resolve: (result: unknown) => void, reject: (err: Error) => void }>
  isAnnounced: boolean
}

/** A replica's part in its group. */
export type Role =
  | { kind: 'outside' }
  | { kind: 'follower' }
  | { kind: 'candidate' }
  | { kind: 'leader', lead: Leadership }

/** A leader counts on its lease for this share of the shortest election timeout: covers differing clock rates. */
const LEASE_SHARE = 0.8
const SNAPSHOT_EVERY = 500
/** Entries kept behind a snapshot for followers that are a little behind. */
const KEEP_BEHIND_SNAPSHOT = 100

/** What the tasks of a replica share. */
export interface Core extends ReturnType<typeof createCore> {}

/**
 * Creates what the tasks of a replica share.
 * @param opts what the replica is built from
 * @returns the shared state and its steps
 */
export function createCore (opts: replicaOptions.ReplicaOptions) {
  const { clock, storage: disk, invariants } = opts
  const log = memoryLog.createMemoryLog()
  const snapshotEvery = opts.snapshotEvery ?? SNAPSHOT_EVERY
  const core = {
    opts,
    timing: opts.timing ?? replicaOptions.DEFAULT_TIMING,
    log,
    meta: { incarnation: '', term: 0, votedFor: null, founding: null } as entries.Meta,
    syncedMeta: undefined as entries.Meta | undefined,
    role: { kind: 'outside' } as Role,
    leader: null as string | null,
    /** When a leader was last heard; votes are refused for a while after it. */
    lastContactOrStartAt: clock.now(),
    /** When entries or a heartbeat last came from a leader; never before the first. */
    lastLeaderContactAt: -Infinity,
    /** When this replica last had a reason to wait before it stands for election. */
    electionTimerStartedAt: clock.now(),
    isRunning: true,
    commitIndex: 0,
    appliedIndex: 0,
    lastAtMs: 0,
    snapshotVoters: [] as entries.Member[],
    snapshotIndex: 0,
    lastSnapshot: undefined as entries.Snapshot | undefined,
    /** Last index handed to the disk. */
    queuedIndex: 0,
    /** Last index known to be synced. */
    syncedIndex: 0,
    /** The latest write of entries; writes are done in order, so it ends after all earlier ones. */
    lastWrite: Promise.resolve() as Promise<void>,

    self: (): entries.Member => ({ name: opts.name, incarnation: core.meta.incarnation }),
    selfId: () => entries.toMemberId(core.self()),
    voters: (): entries.Member[] => log.membership()?.voters ?? core.snapshotVoters,
    isVoter: () => core.voters().some(who => entries.toMemberId(who) === core.selfId()),
    quorum: () => Math.floor(core.voters().length / 2) + 1,

    /** Writes term, vote and founding as they are now; later changes are written later, in order. */
    async saveMeta (): Promise<void> {
      const copy = { ...core.meta }
      await disk.saveMeta(copy)
      core.syncedMeta = copy
    },

    /** Takes a higher term, with no vote given in it yet. */
    async observeTerm (term: number): Promise<void> {
      if (term <= core.meta.term) return
      core.meta = { ...core.meta, term, votedFor: null }
      core.stepDown('a higher term was seen')
      await core.saveMeta()
    },

    /** Ends leadership or candidacy. */
    stepDown (why: string): void {
      const was = core.role
      if (was.kind === 'outside') return
      core.role = { kind: 'follower' }
      if (was.kind !== 'leader') return
      core.leader = null
      core.electionTimerStartedAt = clock.now()
      for (const waiter of was.lead.pendingProposals.values()) waiter.reject(new replicaOptions.ProposalError('unknown', null))
      for (const peer of was.lead.peers.values()) peer.wake()
      opts.log.event('leaderLost', { group: opts.group, replica: opts.name, term: was.lead.term, why })
      if (was.lead.isAnnounced) opts.onLeadershipChange?.(false)
    },

    /** Writes all entries that the disk has not been given yet, and waits until they are synced. */
    async persist (): Promise<void> {
      const list = log.from(core.queuedIndex + 1, Infinity)
      const last = log.lastIndex()
      if (list.length > 0) {
        core.queuedIndex = last
        core.lastWrite = disk.append(list)
      }
      // Entries that another task handed to the disk count only when that write is synced as well.
      await core.lastWrite
      core.syncedIndex = Math.min(Math.max(core.syncedIndex, last), log.lastIndex())
    },

    /** Removes entries that another leader's log contradicts. */
    async truncateFrom (index: number): Promise<void> {
      invariants.check('commitNeverReverts', index > core.commitIndex, () => `truncating at ${index}, committed ${core.commitIndex}`)
      log.truncateFrom(index)
      core.syncedIndex = Math.min(core.syncedIndex, index - 1)
      if (index > core.queuedIndex) return
      core.queuedIndex = index - 1
      await disk.truncateFrom(index)
    },

    /** Commits up to an index and applies what became committed. */
    advanceCommit (index: number): void {
      const to = Math.min(index, log.lastIndex())
      if (to <= core.commitIndex) return
      core.commitIndex = to
      while (core.appliedIndex < core.commitIndex) applyNext()
      // Only what is synced here: after a restart the replica begins from this entry without asking anyone.
      disk.saveCommitIndex?.(Math.min(core.commitIndex, core.syncedIndex))
      core.maybeSnapshot()
    },

    /** As leader: commits what a quorum of voters has synced. */
    commitAcknowledged (): void {
      const { role } = core
      if (role.kind !== 'leader') return
      const matches = core.voters().map(who => {
        const id = entries.toMemberId(who)
        return id === core.selfId() ? core.syncedIndex : role.lead.peers.get(id)?.matchIndex ?? 0
      })
      const index = matches.sort((a, b) => b - a)[core.quorum() - 1] ?? 0
      // An entry of an earlier term may be overwritten even when a quorum holds it, so only one of this term commits it.
      if (log.termAt(index) === role.lead.term) core.advanceCommit(index)
    },

    /** @returns until when no other replica can lead, by the acknowledgements of a quorum */
    leaseEnd (): number {
      return core.lastQuorumContactAt() + core.timing.electionMinMs * LEASE_SHARE
    },

    /** @returns when the latest append was sent that a quorum has acknowledged, as leader */
    lastQuorumContactAt (): number {
      const { role } = core
      if (role.kind !== 'leader') return -Infinity
      const sent = core.voters().map(who => {
        const id = entries.toMemberId(who)
        return id === core.selfId() ? clock.now() : role.lead.peers.get(id)?.lastAckedSentAt ?? -Infinity
      })
      return sent.sort((a, b) => b - a)[core.quorum() - 1] ?? -Infinity
    },

    /** Guards against an isolated leader that still believes: it may answer only while its lease lasts. */
    isReady (): boolean {
      const { role } = core
      if (role.kind !== 'leader') return false
      return core.appliedIndex >= role.lead.termStartIndex && clock.now() < core.leaseEnd()
    },

    /** Takes a snapshot when enough was applied since the last one. */
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
      const keepFrom = Math.max(log.base().index + 1, snapshot.lastIndex - KEEP_BEHIND_SNAPSHOT + 1)
      if (keepFrom - 1 > log.base().index) log.compactTo(keepFrom - 1)
      opts.log.event('snapshotTaken', { group: opts.group, replica: opts.name, index: snapshot.lastIndex })
      disk.saveSnapshot(snapshot, keepFrom).catch(core.fail)
    },

    /** A disk that fails makes the replica useless: better no replica than one that forgets. */
    fail (err: unknown): void {
      if (!core.isRunning) return
      core.stepDown('the disk failed')
      core.isRunning = false
      opts.onFailed?.()
      opts.log.event('uncaught', { group: opts.group, replica: opts.name, detail: err instanceof Error ? err.message : String(err) })
    }
  }

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
    if (item === undefined) throw new Error(`entry ${core.appliedIndex + 1} is committed but not held`)
    core.appliedIndex = item.index
    let result: unknown
    if (item.body.kind === 'command') {
      core.lastAtMs = item.body.atMs
      result = opts.stateMachine.apply(item.body.command, { index: item.index, atMs: item.body.atMs })
    }
    const { role } = core
    if (role.kind !== 'leader') return
    const waiter = role.lead.pendingProposals.get(item.index)
    role.lead.pendingProposals.delete(item.index)
    waiter?.resolve(result)
  }

  return core
}
