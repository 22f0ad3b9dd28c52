/**
 * One replica of a group: a replicated log with a state machine on top. Own work, after the published descriptions of
 * leader-based replicated logs; docs/STATE.md gives the rules and the failure each guards against.
 */
import * as entries from './entries.js'
import * as election from './election.js'
import * as bootstrap from './bootstrap.js'
import * as membershipChanges from './membershipChanges.js'
import * as replicaCore from './replicaCore.js'
import * as replicaOptions from './replicaOptions.js'
import * as replication from './replication.js'

/** How a replica stands, for operators. */
export interface ReplicaStatus { group: string, name: string, role: string, term: number, commit: number, leader: string | null, voters: string[], learners: string[] }

/** How often a waiting confirmation looks for the acknowledgements of its round. */
const CONFIRM_LOOK_MS = 3

/** One replica of a group. */
export interface Replica {
  /** Answers another replica. */
  handle (msg: entries.Rpc): Promise<entries.RpcReply>
  /**
   * Appends a command and waits until it is committed and applied.
   * @returns what the machine gave
   * @throws ProposalError
   */
  propose (command: unknown): Promise<unknown>
  /**
   * Confirms by a round to a quorum, begun after the call, that this replica still leads. What the machine holds then is
   * no older than anything acknowledged before the call, whatever froze or jumped: no clock is trusted.
   * @param timeoutMs how long to wait for the round
   * @throws ProposalError when this replica does not lead or the round does not end in time
   */
  confirmLeadership (timeoutMs: number): Promise<void>
  /** @returns whether this replica leads, has applied all that was committed before, and its lease lasts */
  isReady (): boolean
  leaderName (): string | null
  /** @returns when the group was last known to be alive here: a quorum heard as leader, or the leader heard as voter */
  lastContactAt (): number
  status (): ReplicaStatus
  /** Hands leadership to the replica that is furthest, if this one leads, then ends all tasks. */
  stop (): Promise<void>
}

/**
 * Reads the data folder and starts a replica's tasks.
 * @param opts what the replica is built from
 * @returns the replica
 */
export async function createReplica (opts: replicaOptions.ReplicaOptions): Promise<Replica> {
  const core = replicaCore.createCore(opts)
  const inbox: replication.SnapshotAssembly = { lastIndex: 0, lastTerm: 0, parts: [], bytes: 0 }
  let isFlushing = false

  await bootstrap.loadReplica(core)
  core.lastContactOrStartAt = opts.clock.now()

  /** Writes the leader's own entries, many proposals in one sync. */
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
    const outcome = new Promise((resolve, reject) => { role.lead.pendingProposals.set(index, { resolve, reject }) })
    core.log.append([{ index, term: role.lead.term, body }])
    for (const peer of role.lead.peers.values()) peer.wake()
    void flush()
    return await outcome
  }

  const lead = async (): Promise<void> => {
    const leadership = replication.becomeLeader(core)
    void replication.watchLease(core, leadership)
    void membershipChanges.runMembershipChanges(core, leadership, async voters => {
      const done = appendAsLeader({ kind: 'membership', voters })
      replication.replicateToPeers(core, leadership)
      await done
    })
    await flush()
  }

  void bootstrap.runJoining(core).catch(core.fail)
  void election.runElections(core, lead).catch(core.fail)

  const handOver = async (): Promise<void> => {
    const { role } = core
    if (role.kind !== 'leader') return
    const furthest = [...role.lead.peers.values()]
      .filter(peer => core.voters().some(who => entries.toMemberId(who) === entries.toMemberId(peer.member)))
      .sort((a, b) => b.matchIndex - a.matchIndex)[0]
    // The lease must be given up before anyone is asked to take over: two leaders could answer otherwise.
    core.stepDown('graceful shutdown')
    if (furthest === undefined) return
    await opts.transport.call(furthest.member.name, { t: 'takeOver', term: core.meta.term, leader: core.self() }).catch(() => undefined)
  }

  return {
    async handle (msg) {
      switch (msg.t) {
        case 'hello': return bootstrap.onHello(core)
        case 'join': return membershipChanges.onJoinRequest(core, msg.from)
        case 'preVote':
        case 'vote': return await election.onVoteRequest(core, msg)
        case 'append': return await replication.onAppend(core, msg)
        case 'snapshot': return await replication.onSnapshotChunk(core, inbox, msg)
        case 'takeOver':
          if (core.isVoter() && msg.term === core.meta.term && core.role.kind !== 'leader') void election.campaign(core, true, lead)
          return { t: 'takeOver', from: core.self() }
      }
    },
    async propose (command) {
      if (!core.isRunning || !core.isReady()) throw new replicaOptions.ProposalError('notLeader', core.role.kind === 'leader' ? null : core.leader)
      const atMs = Math.max(core.lastAtMs, opts.clock.wallNow())
      return await appendAsLeader({ kind: 'command', atMs, command })
    },
    async confirmLeadership (timeoutMs) {
      const since = opts.clock.now()
      const { role } = core
      if (role.kind !== 'leader') throw new replicaOptions.ProposalError('notLeader', core.leader)
      for (const peer of role.lead.peers.values()) peer.wake()
      while (core.lastQuorumContactAt() < since || core.appliedIndex < role.lead.termStartIndex) {
        if (opts.clock.now() - since > timeoutMs) throw new replicaOptions.ProposalError('unknown', null)
        await opts.clock.sleep(CONFIRM_LOOK_MS)
        if (!replication.isLeading(core, role.lead)) throw new replicaOptions.ProposalError('notLeader', core.leader)
      }
    },
    isReady: core.isReady,
    lastContactAt: () => core.role.kind === 'leader' ? core.lastQuorumContactAt() : core.isVoter() ? core.lastLeaderContactAt : -Infinity,
    leaderName: () => core.leader,
    status: () => ({
      group: opts.group,
      name: opts.name,
      role: core.role.kind === 'follower' && !core.isVoter() ? 'learner' : core.role.kind,
      term: core.meta.term,
      commit: core.commitIndex,
      leader: core.leader,
      voters: core.voters().map(entries.toMemberId),
      learners: core.role.kind === 'leader' ? [...core.role.lead.learners.keys()] : []
    }),
    async stop () {
      await handOver()
      core.isRunning = false
      await opts.storage.close()
    }
  }
}
