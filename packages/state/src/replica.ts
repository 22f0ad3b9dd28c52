/**
 * A replica of a group: a leader-based replicated log that drives a state machine. docs/STATE.md lists the rules and the
 * failure that each guards against.
 */
import * as entries from './entries.js'
import * as election from './election.js'
import * as bootstrap from './bootstrap.js'
import * as following from './following.js'
import * as membershipChanges from './membershipChanges.js'
import * as replicaCore from './replicaCore.js'
import * as replicaOptions from './replicaOptions.js'
import * as replication from './replication.js'

/** Status of a replica, for operators. */
export interface ReplicaStatus {
  group: string
  name: string
  role: string
  term: number
  /** Latest committed and applied entry. */
  commit: number
  /** Latest commit index received from a leader. */
  leaderCommit: number
  /** Latest entry of the log. */
  lastIndex: number
  leader: string | null
  voters: string[]
  learners: string[]
  /** What is missing until this replica knows a leader of its group; null if it knows one, or is not told how the group is founded. */
  missing: string | null
}

/** Interval at which a pending confirmation checks for acknowledgements. */
const CONFIRM_POLL_MS = 3

export interface Replica {
  /** Handles a call of another replica. */
  handle (msg: entries.Rpc): Promise<entries.RpcReply>
  /**
   * Appends a command and waits until it is committed and applied.
   * @returns the result of the state machine
   * @throws ProposalError when this replica is not the leader or loses leadership before the commit
   */
  propose (command: unknown): Promise<unknown>
  /**
   * Confirms leadership by a quorum round that starts after the call, for linearizable reads. Unlike the lease, it
   * stays correct when a clock jumps or the process is suspended.
   * @throws ProposalError when this replica is not the leader or no quorum replies within the timeout
   */
  confirmLeadership (timeoutMs: number): Promise<void>
  /**
   * Waits until all voters have synced all entries of this leader's log, or the timeout expires. What a quorum has is committed; this is for
   * readers that ask fewer replicas.
   */
  awaitAllVoters (timeoutMs: number): Promise<void>
  /** Tells the other replicas how far entries are committed, if this replica is the leader, instead of with the next heartbeat. */
  announceCommit (): void
  /** @returns whether this replica is the leader, has applied all entries of earlier terms, and its lease is valid */
  isReady (): boolean
  leaderName (): string | null
  /** @returns the latest monotonic time as of which this voter is known to have applied all committed entries; -Infinity if there is none */
  lastCurrentAt (): number
  status (): ReplicaStatus
  /** Transfers leadership to the most up-to-date voter, if this replica is the leader, then stops. */
  stop (): Promise<void>
}

/** Loads a replica from its storage and starts its tasks. */
export async function createReplica (opts: replicaOptions.ReplicaOptions): Promise<Replica> {
  const core = replicaCore.createCore(opts)
  const assembly: following.SnapshotAssembly = { lastIndex: 0, lastTerm: 0, chunks: [], bytes: 0 }
  let isFlushing = false

  try {
    await bootstrap.loadReplica(core)
  } catch (err) {
    core.isRunning = false
    await opts.storage.close().catch(closeErr => { opts.log.event('replicaFailed', { group: opts.group, replica: opts.name, step: 'close', detail: String(closeErr) }) })
    throw err
  }
  core.isLoaded = true
  core.electionTimerStartedAt = opts.clock.now()

  /** Persists the leader's appended entries; proposals that arrive during a sync share the next one. */
  const flush = async (): Promise<void> => {
    if (isFlushing) return
    isFlushing = true
    try {
      while (core.isRunning && core.queuedIndex < core.log.lastIndex()) {
        await core.persist()
        core.commitAcknowledged()
      }
    } catch (err) {
      core.fail(err)
    } finally {
      isFlushing = false
    }
  }

  const appendAsLeader = async (body: entries.Entry['body']): Promise<unknown> => {
    const { role } = core
    if (role.kind !== 'leader') throw new replicaOptions.ProposalError('notLeader', core.leader)
    const index = core.log.lastIndex() + 1
    const outcome = new Promise((resolve, reject) => { role.leadership.pendingProposals.set(index, { resolve, reject }) })
    core.log.append([{ index, term: role.leadership.term, body }])
    for (const peer of role.leadership.peers.values()) peer.wake()
    void flush()
    return await outcome
  }

  const onElected = async (): Promise<void> => {
    const leadership = replication.becomeLeader(core)
    void replication.watchLease(core, leadership).catch(core.fail)
    void membershipChanges.runMembershipChanges(core, leadership, async voters => {
      const committed = appendAsLeader({ kind: 'membership', voters })
      replication.replicateToPeers(core, leadership)
      await committed
    }).catch(core.fail)
    await flush()
  }

  void bootstrap.runJoining(core).catch(core.fail)
  void election.runElections(core, onElected).catch(core.fail)

  const isVoter = (member: entries.Member): boolean => core.voters().some(voter => entries.toMemberId(voter) === entries.toMemberId(member))

  const transferLeadership = async (): Promise<void> => {
    const { role } = core
    if (role.kind !== 'leader') return
    const successor = [...role.leadership.peers.values()]
      .filter(peer => isVoter(peer.member))
      .sort((a, b) => b.matchIndex - a.matchIndex)[0]
    // Guards against two leaders: the lease is given up before the successor starts its election.
    core.stepDown('graceful shutdown')
    if (successor === undefined) return
    await opts.transport.call(successor.member.name, { t: 'takeOver', term: core.meta.term, leader: core.self() }).catch(() => undefined)
  }

  return {
    async handle (msg) {
      if (!core.isRunning) throw new Error(`replica ${opts.name} has stopped: call it again after its restart`)
      switch (msg.t) {
        case 'hello': return bootstrap.onHello(core, msg)
        case 'join': return membershipChanges.onJoinRequest(core, msg.from)
        case 'preVote':
        case 'vote': return await election.onVoteRequest(core, msg)
        case 'append': return await following.onAppend(core, msg)
        case 'heartbeat': return await following.onHeartbeat(core, msg)
        case 'snapshot': return await following.onSnapshotChunk(core, assembly, msg)
        case 'takeOver':
          if (core.isVoter() && msg.term === core.meta.term && core.role.kind !== 'leader') election.campaign(core, true, onElected).catch(core.fail)
          return { t: 'takeOver', from: core.self() }
      }
    },
    async propose (command) {
      if (!core.isRunning || !core.isReady()) throw new replicaOptions.ProposalError('notLeader', core.role.kind === 'leader' ? null : core.leader)
      const atMs = Math.max(core.lastAtMs, opts.clock.wallNow())
      return await appendAsLeader({ kind: 'command', atMs, command })
    },
    async confirmLeadership (timeoutMs) {
      const startedAt = opts.clock.now()
      const { role } = core
      if (role.kind !== 'leader') throw new replicaOptions.ProposalError('notLeader', core.leader)
      for (const peer of role.leadership.peers.values()) peer.wake()
      while (core.lastQuorumContactAt() < startedAt || core.appliedIndex < role.leadership.termStartIndex) {
        if (opts.clock.now() - startedAt > timeoutMs) throw new replicaOptions.ProposalError('unknown', null)
        await opts.clock.sleep(CONFIRM_POLL_MS)
        if (!replication.isLeading(core, role.leadership)) throw new replicaOptions.ProposalError('notLeader', core.leader)
      }
    },
    async awaitAllVoters (timeoutMs) {
      const startedAt = opts.clock.now()
      const { role } = core
      if (role.kind !== 'leader') return
      const index = core.log.lastIndex()
      const hasAll = (): boolean => [...role.leadership.peers.values()].filter(peer => isVoter(peer.member)).every(peer => peer.matchIndex >= index)
      while (!hasAll() && replication.isLeading(core, role.leadership) && opts.clock.now() - startedAt < timeoutMs) await opts.clock.sleep(CONFIRM_POLL_MS)
    },
    announceCommit () {
      if (core.role.kind !== 'leader') return
      for (const peer of core.role.leadership.peers.values()) peer.wake()
    },
    isReady: core.isReady,
    lastCurrentAt: core.lastCurrentAt,
    leaderName: () => core.leader,
    status: () => ({
      group: opts.group,
      name: opts.name,
      role: core.role.kind === 'follower' && !core.isVoter() ? 'learner' : core.role.kind,
      term: core.meta.term,
      commit: core.commitIndex,
      leaderCommit: core.leaderCommitIndex,
      lastIndex: core.log.lastIndex(),
      leader: core.leader,
      voters: core.voters().map(entries.toMemberId),
      learners: core.role.kind === 'leader' ? [...core.role.leadership.learners.keys()] : [],
      missing: opts.founding === undefined || core.leader !== null ? null : core.start.missing
    }),
    async stop () {
      await transferLeadership()
      core.isRunning = false
      await opts.storage.close()
    }
  }
}
