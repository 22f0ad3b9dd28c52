/**
 * Elections: standing for leader after silence, with a pre-vote first, and voting. docs/STATE.md lists the rules with the
 * failure that each guards against.
 */
import * as entries from './entries.js'
import * as replicaCore from './replicaCore.js'

type Ballot = Extract<entries.Rpc, { t: 'preVote' | 'vote' }>

/**
 * Waits for the leader to fall silent, then stands for election; ends with the replica.
 * @param core the replica
 * @param lead starts leadership after an election is won
 */
export async function runElections (core: replicaCore.Core, lead: () => Promise<void>): Promise<void> {
  const { clock, random } = core.opts
  while (core.isRunning) {
    const { electionMinMs, electionMaxMs } = core.timing
    const patience = electionMinMs + random() * (electionMaxMs - electionMinMs)
    await clock.sleep(Math.max(10, quietSince(core) + patience - clock.now()))
    if (!core.isRunning || core.role.kind === 'leader' || !core.isVoter()) {
      if (core.role.kind === 'leader' || !core.isVoter()) core.electionTimerStartedAt = clock.now()
      continue
    }
    if (clock.now() - quietSince(core) < patience) continue
    await campaign(core, false, lead)
    // Its own wait begins anew, but it goes on voting: a replica that stood in vain must not be deaf to the next one.
    core.electionTimerStartedAt = clock.now()
  }
}

/**
 * Stands for election once.
 * @param core the replica
 * @param isTransfer whether the leader asked for it and has given up its lease
 * @param lead starts leadership after an election is won
 */
export async function campaign (core: replicaCore.Core, isTransfer: boolean, lead: () => Promise<void>): Promise<void> {
  core.role = { kind: 'candidate' }
  const term = core.meta.term + 1
  // Without the pre-vote, a replica that was cut off would come back with a high term and depose a healthy leader.
  if (!isTransfer && !await collect(core, { t: 'preVote', ...toBallot(core, term, isTransfer) })) return
  if (!isStillCandidate(core, term - 1)) return
  core.meta = { ...core.meta, term, votedFor: core.selfId() }
  await core.saveMeta()
  checkVoteSynced(core, term, core.selfId())
  if (!isStillCandidate(core, term)) return
  if (!await collect(core, { t: 'vote', ...toBallot(core, term, isTransfer) })) return
  if (!isStillCandidate(core, term)) return
  await lead()
}

function isStillCandidate (core: replicaCore.Core, term: number): boolean {
  return core.isRunning && core.role.kind === 'candidate' && core.meta.term === term && core.isVoter()
}

function toBallot (core: replicaCore.Core, term: number, isTransfer: boolean): Omit<Ballot, 't'> {
  return { term, candidate: core.self(), lastIndex: core.log.lastIndex(), lastTerm: core.log.lastTerm(), isTransfer }
}

/** Asks all voters at once and resolves as soon as the outcome is certain. */
async function collect (core: replicaCore.Core, msg: Ballot): Promise<boolean> {
  const voters = core.voters()
  const quorum = core.quorum()
  let granted = 1
  let open = voters.length - 1
  if (granted >= quorum) return true
  return await new Promise<boolean>(resolve => {
    const settle = (isGranted: boolean): void => {
      open--
      if (isGranted) granted++
      if (granted >= quorum) resolve(true)
      else if (granted + open < quorum) resolve(false)
    }
    for (const voter of voters) {
      if (entries.toMemberId(voter) === core.selfId()) continue
      ask(core, voter, msg).then(settle, () => { settle(false) })
    }
  })
}

async function ask (core: replicaCore.Core, voter: entries.Member, msg: Ballot): Promise<boolean> {
  const reply = await core.opts.transport.call(voter.name, msg)
  if (reply.t !== 'ballot') return false
  if (reply.term > msg.term) await core.observeTerm(reply.term)
  // Guards against amnesia: a replica that lost its disk answers under the same name but is another member.
  return reply.isGranted && reply.term === msg.term && entries.toMemberId(reply.from) === entries.toMemberId(voter)
}

/**
 * Answers a request for a vote.
 * @param core the replica
 * @param msg the request
 * @returns the answer, given only after the vote is synced
 */
export async function onVoteRequest (core: replicaCore.Core, msg: Ballot): Promise<entries.RpcReply> {
  const refuse = (): entries.RpcReply => ({ t: 'ballot', from: core.self(), term: core.meta.term, isGranted: false })
  // Guards against amnesia: a replica that lost its disk could vote twice in a term, or elect a leader that lacks
  // committed entries which it had acknowledged. It gets its vote back only by a committed change.
  if (!core.isVoter()) return refuse()
  // Guards the leader's lease: nobody may win while a quorum may still have acknowledged the old leader. A replica that
  // just started does not know whom it heard last, so it waits as long.
  if (!msg.isTransfer && isLeaderAlive(core)) return refuse()
  if (msg.term < core.meta.term) return refuse()
  const isUpToDate = msg.lastTerm > core.log.lastTerm() || (msg.lastTerm === core.log.lastTerm() && msg.lastIndex >= core.log.lastIndex())
  if (msg.t === 'preVote') return { t: 'ballot', from: core.self(), term: msg.term, isGranted: isUpToDate && msg.term > core.meta.term }
  await core.observeTerm(msg.term)
  const candidate = entries.toMemberId(msg.candidate)
  const isFree = core.meta.term === msg.term && (core.meta.votedFor === null || core.meta.votedFor === candidate)
  if (!isFree || !isUpToDate) return refuse()
  core.meta = { ...core.meta, votedFor: candidate }
  core.electionTimerStartedAt = core.opts.clock.now()
  await core.saveMeta()
  checkVoteSynced(core, msg.term, candidate)
  return { t: 'ballot', from: core.self(), term: msg.term, isGranted: true }
}

/** @returns since when nothing has spoken against standing for election */
function quietSince (core: replicaCore.Core): number {
  return Math.max(core.lastContactOrStartAt, core.electionTimerStartedAt)
}

function isLeaderAlive (core: replicaCore.Core): boolean {
  if (core.role.kind === 'leader') return core.opts.clock.now() < core.leaseEnd()
  return core.opts.clock.now() - core.lastContactOrStartAt < core.timing.electionMinMs
}

/** Guards against a second vote after a crash: the vote leaves this process only when the disk has it. */
function checkVoteSynced (core: replicaCore.Core, term: number, candidate: string): void {
  const synced = core.syncedMeta
  const holds = synced !== undefined && (synced.term > term || (synced.term === term && synced.votedFor === candidate))
  core.opts.invariants.check('voteSyncedBeforeSent', holds, () => `vote for ${candidate} in term ${term} is not on disk`)
}
