/** Leader election with pre-vote. docs/STATE.md lists the rules and the failure that each guards against. */
import * as entries from './entries.js'
import * as replicaCore from './replicaCore.js'

type VoteRequest = Extract<entries.Rpc, { t: 'preVote' | 'vote' }>

const MIN_SLEEP_MS = 10
/** Pause before a voter that did not reply is asked again. */
const VOTE_RETRY_MS = 50
/** Bounds of the pause after a lost election, as fractions of the minimum election timeout. Wide, so that candidates do not meet again. */
const RETRY_MIN_FRACTION = 0.1
const RETRY_MAX_FRACTION = 0.6
/** How long a candidate waits for pre-votes, in minimum election timeouts. */
const PRE_VOTE_TIMEOUTS = 2
/** How long a candidate repeats its request to a voter that does not reply, in maximum election timeouts. */
const VOTE_TIMEOUTS = 2

/**
 * Starts an election after each election timeout without contact to a leader, until the replica stops. The first election after the
 * start and those that follow a lost one come sooner, since no leader is known to be alive.
 * @param onElected called when an election is won
 */
export async function runElections (core: replicaCore.Core, onElected: () => Promise<void>): Promise<void> {
  const { clock } = core.opts
  let hasLeader = false
  while (core.isRunning) {
    const startedAt = timerStartedAt(core)
    await clock.sleep(Math.max(MIN_SLEEP_MS, startedAt + drawTimeout(core, hasLeader) - clock.now()))
    if (!core.isRunning) return
    if (core.role.kind === 'leader' || !core.isVoter()) {
      core.electionTimerStartedAt = clock.now()
      hasLeader = true
      continue
    }
    // The timer was restarted meanwhile: by a leader, or by a vote for a candidate that is about to lead.
    hasLeader = timerStartedAt(core) !== startedAt
    if (hasLeader) continue
    await campaign(core, false, onElected)
    // Restarts only the election timer: after a lost election this replica still grants votes to other candidates.
    core.electionTimerStartedAt = clock.now()
  }
}

function drawTimeout (core: replicaCore.Core, hasLeader: boolean): number {
  const { electionMinMs, electionMaxMs } = core.timing
  const [minMs, maxMs] = hasLeader ? [electionMinMs, electionMaxMs] : [RETRY_MIN_FRACTION * electionMinMs, RETRY_MAX_FRACTION * electionMinMs]
  return minMs + core.opts.random() * (maxMs - minMs)
}

/**
 * Runs one election as candidate.
 * @param isTransfer whether the leader requested it and has given up its lease
 * @param onElected called when the election is won
 */
export async function campaign (core: replicaCore.Core, isTransfer: boolean, onElected: () => Promise<void>): Promise<void> {
  core.role = { kind: 'candidate' }
  if (await isElected(core, isTransfer)) await onElected()
  else if (core.role.kind === 'candidate') core.role = { kind: 'follower' }
}

async function isElected (core: replicaCore.Core, isTransfer: boolean): Promise<boolean> {
  // Guards the leader's lease: the vote for itself follows the same rule as that for others.
  if (!isTransfer && isLeaderAlive(core)) return false
  const term = core.meta.term + 1
  // Guards against a partitioned replica that returns with a higher term and deposes a working leader.
  if (!isTransfer && !await collectVotes(core, { t: 'preVote', ...toVoteRequest(core, term, isTransfer) })) return false
  if (!isStillCandidate(core, term - 1)) return false
  core.votedAt = core.opts.clock.now()
  const [, isWon] = await Promise.all([
    // Guards against leading one term twice: whatever the others vote, this replica leads only once its own vote is on disk.
    core.saveVote(term, core.selfId()).then(() => { checkVoteSynced(core, term, core.selfId()) }),
    collectVotes(core, { t: 'vote', ...toVoteRequest(core, term, isTransfer) })
  ])
  return isWon && isStillCandidate(core, term)
}

function isStillCandidate (core: replicaCore.Core, term: number): boolean {
  return core.isRunning && core.role.kind === 'candidate' && core.meta.term === term && core.isVoter()
}

function toVoteRequest (core: replicaCore.Core, term: number, isTransfer: boolean): Omit<VoteRequest, 't'> {
  return { term, candidate: core.self(), lastIndex: core.log.lastIndex(), lastTerm: core.log.lastTerm(), isTransfer }
}

/** Requests votes from all voters in parallel and resolves as soon as the result is decided. */
async function collectVotes (core: replicaCore.Core, msg: VoteRequest): Promise<boolean> {
  // Guards against yielding to its own request, which is sent to an earlier incarnation of this replica.
  const others = core.voters().filter(voter => voter.name !== core.opts.name)
  const quorum = core.quorum()
  const results = new Map(others.map(voter => [entries.toMemberId(voter), 'no reply yet']))
  let granted = 1
  let outstanding = others.length
  if (granted >= quorum) return true
  if (granted + outstanding < quorum) return false
  return await new Promise<boolean>(resolve => {
    let isDecided = false
    const lose = (): void => {
      if (isDecided) return
      isDecided = true
      resolve(false)
      logLostElection(core, msg, results)
    }
    const settle = (id: string, result: VoteResult): void => {
      outstanding--
      results.set(id, result)
      if (result === 'granted') granted++
      if (granted >= quorum) {
        isDecided = true
        resolve(true)
      } else if (granted + outstanding < quorum) lose()
    }
    // A voter that is starting or gone must not delay the next pre-vote.
    if (msg.t === 'preVote') void core.opts.clock.sleep(PRE_VOTE_TIMEOUTS * core.timing.electionMinMs).then(lose)
    for (const voter of others) {
      const id = entries.toMemberId(voter)
      const request = msg.t === 'preVote' ? requestVote(core, voter, msg) : requestVoteRepeatedly(core, voter, msg, () => isDecided)
      request.then(result => { settle(id, result) }, () => { settle(id, 'no reply') })
    }
  })
}

type VoteResult = 'granted' | 'rejected' | 'lost its disk' | 'no reply'

async function requestVote (core: replicaCore.Core, voter: entries.Member, msg: VoteRequest): Promise<VoteResult> {
  const reply = await core.opts.transport.call(voter.name, msg)
  if (reply.t !== 'ballot') return 'rejected'
  if (!reply.isGranted && reply.term > core.meta.term) await core.observeTerm(reply.term)
  // Guards against counting the vote of a replica that lost its disk: it has the same name, but is a new member.
  if (entries.toMemberId(reply.from) !== entries.toMemberId(voter)) return 'lost its disk'
  return reply.isGranted && reply.term === msg.term ? 'granted' : 'rejected'
}

/**
 * Repeats the request while there is no reply: a vote that was given but whose reply came too late is of use to no other candidate in this
 * term. The voter gives it again.
 */
async function requestVoteRepeatedly (core: replicaCore.Core, voter: entries.Member, msg: VoteRequest, isDecided: () => boolean): Promise<VoteResult> {
  const { clock } = core.opts
  const until = clock.now() + VOTE_TIMEOUTS * core.timing.electionMaxMs
  while (true) {
    try {
      return await requestVote(core, voter, msg)
    } catch (err) {
      if (isDecided() || !isStillCandidate(core, msg.term) || clock.now() > until) throw err
      // A refused connection fails at once.
      await clock.sleep(VOTE_RETRY_MS)
    }
  }
}

/** Logs the votes of a lost election, unless they are those of the previous one. */
function logLostElection (core: replicaCore.Core, msg: VoteRequest, results: ReadonlyMap<string, string>): void {
  const votes = [...results].map(([id, result]) => `${id}: ${result}`).join(', ')
  if (votes === core.lastLostVotes) return
  core.lastLostVotes = votes
  core.opts.log.event('electionLost', { group: core.opts.group, replica: core.opts.name, step: msg.t, term: msg.term, quorum: core.quorum(), lastIndex: msg.lastIndex, lastTerm: msg.lastTerm, votes })
}

/**
 * Handles a vote or pre-vote request; replies only after a granted vote is synced. Whether this replica is a voter is for the candidate
 * to judge, by incarnation: a new voter that the quorum needs may not have received the entry that makes it one.
 */
export async function onVoteRequest (core: replicaCore.Core, msg: VoteRequest): Promise<entries.RpcReply> {
  // Guards against a vote that is counted for a founder whose identity this replica claims while the vote is written.
  const from = core.self()
  const reject = (): entries.RpcReply => ({ t: 'ballot', from, term: core.meta.term, isGranted: false })
  // Guards the leader's lease: no other candidate may win while the lease can be valid. A replica whose process just started may
  // have acknowledged a leader before, so it waits as long.
  if (!msg.isTransfer && isLeaderAlive(core)) return reject()
  if (msg.term < core.meta.term || msg.term - core.meta.term > replicaCore.MAX_TERM_GAP) return reject()
  const isUpToDate = msg.lastTerm > core.log.lastTerm() || (msg.lastTerm === core.log.lastTerm() && msg.lastIndex >= core.log.lastIndex())
  if (msg.t === 'preVote') {
    // Its sender is in the term before. One that is behind it could neither win, asking for votes in a term that others are in, nor support
    // the sender if it has more entries. A failure ends the replica.
    core.observeTerm(msg.term - 1).catch(() => {})
    const isGranted = isUpToDate && msg.term > core.meta.term && !hasJustVotedForAnother(core, msg.candidate) && yieldsTo(core, msg)
    // The candidate learns a term that it must exceed, also one that equals the one it asks for.
    return isGranted ? { t: 'ballot', from, term: msg.term, isGranted } : reject()
  }
  const candidate = entries.toMemberId(msg.candidate)
  const votedFor = msg.term > core.meta.term ? null : core.meta.votedFor
  const canVote = votedFor === null || votedFor === candidate
  if (!canVote || !isUpToDate) {
    await core.observeTerm(msg.term)
    return reject()
  }
  core.electionTimerStartedAt = core.opts.clock.now()
  // A repeated request is answered without another write.
  if (!isVoteSynced(core, msg.term, candidate)) {
    // The candidate may win only once this vote is written, which takes long on a slow disk.
    core.votedAt = Infinity
    await core.saveVote(msg.term, candidate)
    core.electionTimerStartedAt = core.opts.clock.now()
  }
  core.votedAt = core.opts.clock.now()
  checkVoteSynced(core, msg.term, candidate)
  return { t: 'ballot', from, term: msg.term, isGranted: true }
}

/**
 * Decides between two candidates that meet before either has voted, so that they do not split the votes.
 * @returns whether this replica does not precede the other candidate; it then gives up its own election
 */
function yieldsTo (core: replicaCore.Core, msg: VoteRequest): boolean {
  if (core.role.kind !== 'candidate') return true
  const hasSameLog = msg.lastTerm === core.log.lastTerm() && msg.lastIndex === core.log.lastIndex()
  if (hasSameLog && core.selfId() < entries.toMemberId(msg.candidate)) return false
  core.role = { kind: 'follower' }
  return true
}

/** Guards against an election that deposes the winner of the previous one before its first message arrives. */
function hasJustVotedForAnother (core: replicaCore.Core, candidate: entries.Member): boolean {
  const isRecent = core.opts.clock.now() - core.votedAt < core.timing.electionMinMs
  return isRecent && core.meta.votedFor !== null && core.meta.votedFor !== entries.toMemberId(candidate)
}

/** @returns when the election timer was last reset */
function timerStartedAt (core: replicaCore.Core): number {
  return Math.max(core.lastContactOrStartAt, core.electionTimerStartedAt)
}

function isLeaderAlive (core: replicaCore.Core): boolean {
  if (core.role.kind === 'leader') return core.opts.clock.now() < core.leaseEnd()
  return core.opts.clock.now() - core.lastContactOrStartAt < core.timing.electionMinMs
}

/** Guards against a second vote after a crash: the vote is sent only once it is on disk. */
function checkVoteSynced (core: replicaCore.Core, term: number, candidate: string): void {
  const isSynced = isVoteSynced(core, term, candidate) || (core.syncedMeta?.term ?? 0) > term
  core.opts.invariants.check('voteSyncedBeforeSent', isSynced, () => `vote for ${candidate} in term ${term} is not synced to disk`)
}

function isVoteSynced (core: replicaCore.Core, term: number, candidate: string): boolean {
  return core.syncedMeta?.term === term && core.syncedMeta.votedFor === candidate
}
