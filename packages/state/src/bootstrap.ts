/** How a replica becomes part of its group: by bootstrapping it with the other founders, from its own disk, or by joining. */
import * as entries from './entries.js'
import * as firstStarts from './firstStart.js'
import * as following from './following.js'
import * as foundings from './founding.js'
import * as replicaCore from './replicaCore.js'
import type * as replicaOptions from './replicaOptions.js'

/** Restores the replica from its storage, or initializes empty storage. */
export async function loadReplica (core: replicaCore.Core): Promise<void> {
  const { storage, log, group, name, founding } = core.opts
  const loaded = await storage.load()
  switch (loaded.kind) {
    case 'found':
      if (loaded.tornBytes > 0) log.event('logTornTail', { group, replica: name, bytes: loaded.tornBytes })
      core.start.told = { founders: loaded.founders ?? null, isFormer: loaded.isFormer === true }
      restoreLoaded(core, loaded.meta, loaded.snapshot, loaded.entries, loaded.commitIndex)
      if (loaded.founders != null && core.meta.founding !== null) forgetFirstStart(core)
      return
    case 'damaged':
      // Entries that this replica acknowledged are lost, so it restarts as a new member.
      log.event('logDamaged', { group, replica: name, detail: loaded.detail })
      await storage.wipe()
      core.start.told.isFormer = true
      break
    case 'empty':
      core.start.told = { founders: loaded.founders ?? null, isFormer: loaded.isFormer === true }
      if (founding?.isFirstStart === true) await noteFirstStart(core)
      break
  }
  const { founders } = core.start.told
  if (founding !== undefined && founders?.includes(name) === true) await foundAsTold(core, founders)
  else {
    core.meta = { incarnation: core.opts.createIncarnation(), term: 0, votedFor: null, founding: null }
    await core.saveMeta()
  }
}

/** Stores what this replica was told before anything else, so that its next process goes on with it whatever it is told. */
async function noteFirstStart (core: replicaCore.Core): Promise<void> {
  if (core.start.told.founders !== null || core.start.told.isFormer) return
  const founders = firstStarts.toFounders(core.opts.founderNames)
  await core.opts.storage.saveFounders?.(founders)
  core.start.told.founders = founders
}

/** Takes the identity that only this founder with this disk has, and stores the founding entry, which each founder writes by itself. */
async function foundAsTold (core: replicaCore.Core, founders: readonly string[]): Promise<void> {
  takeIdentity(core, founders, 0)
  await core.saveMeta()
  await core.persist()
  logFounded(core, founders.length)
  forgetFirstStart(core)
}

/** Removes what this replica was told once it has taken part: left alone in a folder that is cleared, it would found again. */
function forgetFirstStart (core: replicaCore.Core): void {
  // It is ignored beside the metadata, and removed at the next start.
  core.opts.storage.removeFounders?.().catch(() => {})
}

function takeIdentity (core: replicaCore.Core, founders: readonly string[], term: number): void {
  const voters = foundings.toFoundingVoters(founders)
  core.meta = { incarnation: voters[0].incarnation, term, votedFor: null, founding: voters }
  core.log.append([foundings.toFoundingEntry(voters)])
  core.role = { kind: 'follower' }
}

function logFounded (core: replicaCore.Core, voters: number): void {
  core.opts.log.event('replicaFounded', { group: core.opts.group, replica: core.opts.name, voters })
}

function restoreLoaded (core: replicaCore.Core, meta: entries.Meta, snapshot: entries.Snapshot | undefined, list: entries.Entry[], commitIndex: number): void {
  core.meta = { ...meta, founding: meta.founding ?? findFounding(list) }
  if (snapshot !== undefined) {
    core.log.reset(snapshot.lastIndex, snapshot.lastTerm)
    following.restoreSnapshot(core, snapshot)
  }
  core.log.append(findSuffix(list, snapshot))
  core.queuedIndex = core.log.lastIndex()
  core.syncedIndex = core.log.lastIndex()
  // The process ended after it had stored the metadata, but not yet the founding entry.
  if (core.log.lastIndex() === 0 && (core.meta.founding ?? []).length > 0) core.log.append([foundings.toFoundingEntry(core.meta.founding ?? [])])
  // Committed entries stay committed, so they are applied before a leader is elected.
  core.advanceCommit(commitIndex)
  if (core.meta.founding !== null) core.role = { kind: 'follower' }
}

/** Returns the founding voters if the process ended after it had stored the founding entry, but not yet the metadata. */
function findFounding (list: entries.Entry[]): entries.Member[] | null {
  const [first] = list
  return first?.index === 1 && first.term === 0 && first.body.kind === 'membership' ? first.body.voters : null
}

/** Returns the entries that continue a snapshot. The process may have ended before it removed those that the snapshot replaced. */
function findSuffix (list: entries.Entry[], snapshot: entries.Snapshot | undefined): entries.Entry[] {
  if (snapshot === undefined) return list
  const covered = list.find(item => item.index === snapshot.lastIndex)
  if (covered !== undefined && covered.term !== snapshot.lastTerm) return []
  return list.filter(item => item.index > snapshot.lastIndex)
}

/** Number of maximum election timeouts without a leader after which a voter requests to join again, in case it was removed. */
const REJOIN_AFTER_TIMEOUTS = 3

/**
 * Makes this replica a voter: bootstraps the group or requests to join it. With dynamic membership it keeps running, so
 * that a voter that was removed while it was unreachable joins again.
 */
export async function runJoining (core: replicaCore.Core): Promise<void> {
  let hasLostDisk = false
  while (core.isRunning) {
    await reportNotFounded(core)
    if (core.isVoter()) {
      const { isDynamic, founding } = core.opts
      if (isDynamic !== true && (founding === undefined || core.leader !== null)) return
      const mayHaveBeenRemoved = isDynamic === true && core.role.kind !== 'leader' && core.opts.clock.now() - core.lastContactOrStartAt > REJOIN_AFTER_TIMEOUTS * core.timing.electionMaxMs
      if (mayHaveBeenRemoved) await requestJoin(core)
      await core.opts.clock.sleep(core.timing.heartbeatMs)
      continue
    }
    if (core.opts.founding !== undefined) {
      if (core.meta.founding === null) await claimIfNeverFounded(core, core.opts.founding)
      if (!core.isVoter()) await requestJoin(core)
      if (!core.isVoter()) await core.opts.clock.sleep(core.timing.heartbeatMs)
      continue
    }
    if (core.meta.founding === null && !hasLostDisk) hasLostDisk = await discoverGroup(core)
    // A learner repeats the request, so that a new leader receives it too.
    if (core.meta.founding !== null || hasLostDisk) await requestJoin(core)
    if (!core.isVoter()) await core.opts.clock.sleep(core.timing.heartbeatMs)
  }
}

/** Asks all contacts, and the founders that they were told, for what they know of the start of the group. */
async function surveyGroup (core: replicaCore.Core): Promise<void> {
  const names = new Set([...toContacts(core), ...[...core.start.survey.told.values()].flat()])
  names.delete(core.opts.name)
  await Promise.all([...names].map(async name => {
    const reply = await core.opts.transport.call(name, { t: 'hello', from: core.self(), standing: toStanding(core) }).catch(() => undefined)
    if (reply?.t !== 'hello' || reply.from.name !== name) return
    foundings.noteReply(core.start.survey, name, reply.standing, reply.founding !== null, core.opts.clock.now())
  }))
}

/** Claims the identity of this founder if no group was ever founded, and none can be without it. */
async function claimIfNeverFounded (core: replicaCore.Core, { maxFailedDisks }: replicaOptions.FoundingOptions): Promise<void> {
  const hadSeenGroup = core.start.survey.hasSeenGroup
  await surveyGroup(core)
  if (core.start.survey.hasSeenGroup && !hadSeenGroup) core.opts.log.event('replicaAmnesia', { group: core.opts.group, replica: core.opts.name })
  // A leader has made this replica a learner meanwhile.
  if (core.meta.founding !== null || core.log.lastIndex() > 0 || core.leader !== null || toToldFounders(core) !== null) return
  const { seeds, isFormer, mayHaveGroup } = toStanding(core)
  const verdict = foundings.judge({ self: core.opts.name, seeds, survey: core.start.survey, term: core.meta.term, isFormer, mayHaveGroup, maxFailedDisks, now: core.opts.clock.now() })
  core.start.missing = verdict.kind === 'wait' ? verdict.why : ''
  if (verdict.kind === 'wait') return
  // The higher term is durable together with the identity: what an earlier disk of this founder has voted for can no longer lead.
  takeIdentity(core, verdict.founders, verdict.term)
  core.electionTimerStartedAt = core.opts.clock.now()
  await core.saveMeta()
  await core.persist()
  core.opts.log.event('founderClaimed', { group: core.opts.group, replica: core.opts.name, term: verdict.term, founders: verdict.founders.join(' ') })
  logFounded(core, verdict.founders.length)
}

/** Interval of the lines that say why there is no group yet. */
const REPORT_INTERVAL_MS = 5000

/** Logs what is missing while this replica knows no leader of its group. */
async function reportNotFounded (core: replicaCore.Core): Promise<void> {
  const { clock, group, name, founding } = core.opts
  const { start } = core
  if (founding === undefined || core.leader !== null) start.reportedAt = clock.now()
  if (clock.now() - start.reportedAt < REPORT_INTERVAL_MS) return
  start.reportedAt = clock.now()
  const founders = toToldFounders(core)
  if (toStanding(core).isMember) start.missing = `the group has no leader; ${core.quorum()} of its voters must be up: ${core.voters().map(voter => voter.name).join(' ')}`
  else if (founders !== null) {
    // One that was told nothing asks the others all the time.
    await surveyGroup(core)
    start.missing = foundings.describe({ self: name, survey: start.survey, now: clock.now(), ownFounders: founders }, founders)
  }
  if (core.leader === null) core.opts.log.event('groupNotFounded', { group, replica: name, missing: start.missing, lastTerm: core.log.lastTerm(), lastIndex: core.log.lastIndex() })
}

/** @returns whether a group exists that this replica is not part of, which means that its disk was lost */
async function discoverGroup (core: replicaCore.Core): Promise<boolean> {
  const contacts = toContacts(core)
  const replies = await Promise.all(contacts.map(async name => await core.opts.transport.call(name, { t: 'hello', from: core.self() }).catch(() => undefined)))
  const newMembers: entries.Member[] = [core.self()]
  for (const reply of replies) {
    if (reply?.t !== 'hello') continue
    if (reply.founding === null) {
      newMembers.push(reply.from)
      continue
    }
    if (reply.founding.some(voter => entries.toMemberId(voter) === core.selfId())) {
      await adoptFounding(core, reply.founding)
      return false
    }
    core.opts.log.event('replicaAmnesia', { group: core.opts.group, replica: core.opts.name })
    return true
  }
  // Guards against bootstrapping a second group after a lost disk: only the first founder by name bootstraps, and only when
  // every other founder replied that it is new too.
  const isBootstrapper = core.opts.canBootstrap !== false && [...core.opts.founderNames].sort()[0] === core.opts.name
  if (isBootstrapper && newMembers.length === core.opts.founderNames.length && core.meta.founding === null) await adoptFounding(core, newMembers)
  return false
}

/** Appends the founding voters as the first log entry, which is identical on every founder. */
async function adoptFounding (core: replicaCore.Core, founding: entries.Member[]): Promise<void> {
  if (core.log.lastIndex() > 0) return
  core.log.append([{ index: 1, term: 0, body: { kind: 'membership', voters: founding } }])
  await core.persist()
  core.meta = { ...core.meta, founding }
  await core.saveMeta()
  core.role = { kind: 'follower' }
  core.electionTimerStartedAt = core.opts.clock.now()
  core.opts.log.event('replicaFounded', { group: core.opts.group, replica: core.opts.name, voters: founding.length })
}

/**
 * Sends the join request to all contacts in parallel, so that an unreachable one does not delay the others, and to the leaders that
 * they name: only the leader admits replicas.
 */
async function requestJoin (core: replicaCore.Core): Promise<void> {
  const asked = new Set<string>([core.opts.name])
  const leaders = new Set<string>()
  const ask = async (name: string): Promise<void> => {
    if (asked.has(name)) return
    asked.add(name)
    const reply = await core.opts.transport.call(name, { t: 'join', from: core.self() }).catch(() => undefined)
    if (reply?.t !== 'join' || reply.leader === null) return
    leaders.add(reply.leader)
    await ask(reply.leader)
  }
  await Promise.all(toContacts(core).map(ask))
  logPendingJoin(core, [...asked], [...leaders])
}

/** Logs a join request, unless it is a repetition. */
function logPendingJoin (core: replicaCore.Core, asked: string[], leaders: string[]): void {
  const request = `asked: ${asked.filter(name => name !== core.opts.name).sort().join(' ')}, leaders: ${leaders.sort().join(' ')}`
  if (request === core.start.lastJoinRequest) return
  core.start.lastJoinRequest = request
  core.opts.log.event('joinPending', { group: core.opts.group, replica: core.opts.name, request })
}

function toContacts (core: replicaCore.Core): string[] {
  const names = new Set([...(core.opts.contacts?.() ?? core.opts.founderNames), ...core.voters().map(voter => voter.name)])
  names.delete(core.opts.name)
  return [...names]
}

/** Handles the hello of a starting replica: replies with the founding voters, if this replica is part of a group. */
export function onHello (core: replicaCore.Core, msg: Extract<entries.Rpc, { t: 'hello' }>): entries.RpcReply {
  if (msg.standing !== undefined) foundings.noteStanding(core.start.survey, msg.standing)
  return { t: 'hello', from: core.self(), founding: core.meta.founding, standing: toStanding(core) }
}

function toStanding (core: replicaCore.Core): entries.Standing {
  const { founding } = core.meta
  const hasIdentity = founding !== null && foundings.isDerived(founding)
  const isLearnerOrEarlier = founding !== null && !hasIdentity
  return {
    founders: toToldFounders(core),
    seeds: firstStarts.toFounders(core.opts.contacts?.() ?? core.opts.founderNames),
    term: core.meta.term,
    isMember: core.leader !== null || isLearnerOrEarlier || core.log.lastIndex() > (hasIdentity ? 1 : 0),
    isFormer: core.start.told.isFormer && !hasIdentity,
    mayHaveGroup: core.opts.founding?.mayHaveGroup?.() === true
  }
}

/** Returns the founders that this replica was told or that it claimed to be one of; null if there are none. */
function toToldFounders (core: replicaCore.Core): string[] | null {
  const { founding } = core.meta
  if (founding !== null && founding.length > 0) return firstStarts.toFounders(founding.map(voter => voter.name))
  const { founders } = core.start.told
  // A founder that was told has the identity of one, unless its process was told otherwise while the founders were stored.
  return founders === null || founders.includes(core.opts.name) ? null : founders
}
