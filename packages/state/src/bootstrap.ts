/** How a replica becomes part of its group: by bootstrapping it with the other founders, from its own disk, or by joining. */
import * as entries from './entries.js'
import * as replicaCore from './replicaCore.js'
import * as replication from './replication.js'

/** Restores the replica from its storage, or initializes empty storage. */
export async function loadReplica (core: replicaCore.Core): Promise<void> {
  const { storage, log, group, name } = core.opts
  const loaded = await storage.load()
  switch (loaded.kind) {
    case 'found':
      if (loaded.tornBytes > 0) log.event('logTornTail', { group, replica: name, bytes: loaded.tornBytes })
      restoreLoaded(core, loaded.meta, loaded.snapshot, loaded.entries, loaded.commitIndex)
      return
    case 'damaged':
      // Entries that this replica acknowledged are lost, so it restarts as a new member.
      log.event('logDamaged', { group, replica: name, detail: loaded.detail })
      await storage.wipe()
      break
    case 'empty':
      break
  }
  core.meta = { incarnation: core.opts.createIncarnation(), term: 0, votedFor: null, founding: null }
  await core.saveMeta()
}

function restoreLoaded (core: replicaCore.Core, meta: entries.Meta, snapshot: entries.Snapshot | undefined, list: entries.Entry[], commitIndex: number): void {
  core.meta = { ...meta, founding: meta.founding ?? findFounding(list) }
  if (snapshot !== undefined) {
    core.log.reset(snapshot.lastIndex, snapshot.lastTerm)
    replication.restoreSnapshot(core, snapshot)
  }
  core.log.append(findSuffix(list, snapshot))
  core.queuedIndex = core.log.lastIndex()
  core.syncedIndex = core.log.lastIndex()
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
    if (core.isVoter()) {
      if (core.opts.isDynamic !== true) return
      const mayHaveBeenRemoved = core.role.kind !== 'leader' && core.opts.clock.now() - core.lastContactOrStartAt > REJOIN_AFTER_TIMEOUTS * core.timing.electionMaxMs
      if (mayHaveBeenRemoved) await requestJoin(core)
      await core.opts.clock.sleep(core.timing.heartbeatMs)
      continue
    }
    if (core.meta.founding === null && !hasLostDisk) hasLostDisk = await discoverGroup(core)
    // A learner repeats the request, so that a new leader receives it too.
    if (core.meta.founding !== null || hasLostDisk) await requestJoin(core)
    if (!core.isVoter()) await core.opts.clock.sleep(core.timing.heartbeatMs)
  }
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
  if (request === core.lastJoinRequest) return
  core.lastJoinRequest = request
  core.opts.log.event('joinPending', { group: core.opts.group, replica: core.opts.name, request })
}

function toContacts (core: replicaCore.Core): string[] {
  const names = new Set([...(core.opts.contacts?.() ?? core.opts.founderNames), ...core.voters().map(voter => voter.name)])
  names.delete(core.opts.name)
  return [...names]
}

/** Handles the hello of a starting replica: replies with the founding voters, if this replica is part of a group. */
export function onHello (core: replicaCore.Core): entries.RpcReply {
  return { t: 'hello', from: core.self(), founding: core.meta.founding }
}
