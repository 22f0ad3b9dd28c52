/**
 * How a replica becomes part of its group: by founding it together with all others, by coming back with its disk, or by
 * rejoining after its disk was lost.
 */
import * as entries from './entries.js'
import * as replicaCore from './replicaCore.js'
import * as replication from './replication.js'

/**
 * Reads the data folder and takes up what is there.
 * @param core the replica
 */
export async function loadReplica (core: replicaCore.Core): Promise<void> {
  const { storage, log, group, name } = core.opts
  const found = await storage.load()
  switch (found.kind) {
    case 'found':
      if (found.tornBytes > 0) log.event('logTornTail', { group, replica: name, bytes: found.tornBytes })
      takeUp(core, found.meta, found.snapshot, found.entries, found.commitIndex)
      return
    case 'damaged':
      // Damage before the synced end is a lost disk: entries that this replica acknowledged are gone.
      log.event('logDamaged', { group, replica: name, detail: found.detail })
      await storage.wipe()
      break
    case 'empty':
      break
  }
  core.meta = { incarnation: core.opts.createIncarnation(), term: 0, votedFor: null, founding: null }
  await core.saveMeta()
}

function takeUp (core: replicaCore.Core, meta: entries.Meta, snapshot: entries.Snapshot | undefined, list: entries.Entry[], committed: number): void {
  core.meta = meta
  core.syncedMeta = meta
  if (snapshot !== undefined) {
    core.log.reset(snapshot.lastIndex, snapshot.lastTerm)
    replication.restoreSnapshot(core, snapshot)
  }
  core.log.append(list.filter(item => item.index > core.log.base().index))
  core.queuedIndex = core.log.lastIndex()
  core.syncedIndex = core.log.lastIndex()
  // What was committed before stays committed: it can be told at once, before there is a leader again.
  core.advanceCommit(committed)
  if (meta.founding !== null) core.role = { kind: 'follower' }
}

/** A voter that hears no leader for so many of the longest election times asks whether it was retired. */
const ASK_AGAIN_ELECTIONS = 3

/**
 * Makes this replica part of the group: founds it, takes the founding over from a peer, or asks for admission. In an open
 * group it runs for good: a voter that was cut off long enough to be retired would otherwise wait for a leader that no
 * longer knows it.
 * @param core the replica
 */
export async function runJoining (core: replicaCore.Core): Promise<void> {
  let isAmnesiac = false
  while (core.isRunning) {
    if (core.isVoter()) {
      if (core.opts.isDynamic !== true) return
      const isForgotten = core.role.kind !== 'leader' && core.opts.clock.now() - core.lastContactOrStartAt > ASK_AGAIN_ELECTIONS * core.timing.electionMaxMs
      if (isForgotten) await askForAdmission(core)
      await core.opts.clock.sleep(core.timing.heartbeatMs)
      continue
    }
    if (core.meta.founding === null && !isAmnesiac) isAmnesiac = await greetPeers(core)
    // A learner that already gets entries asks on, so that a new leader learns of it as well.
    if (core.meta.founding !== null || isAmnesiac) await askForAdmission(core)
    if (!core.isVoter()) await core.opts.clock.sleep(core.timing.heartbeatMs)
  }
}

/** @returns whether the peers know a group that this replica is not part of */
async function greetPeers (core: replicaCore.Core): Promise<boolean> {
  const others = toContacts(core)
  const replies = await Promise.all(others.map(async name => await core.opts.transport.call(name, { t: 'hello', from: core.self() }).catch(() => undefined)))
  const known: entries.Member[] = [core.self()]
  for (const reply of replies) {
    if (reply?.t !== 'hello') continue
    if (reply.founding === null) {
      known.push(reply.from)
      continue
    }
    if (reply.founding.some(who => entries.toMemberId(who) === core.selfId())) {
      await adopt(core, reply.founding)
      return false
    }
    core.opts.log.event('replicaAmnesia', { group: core.opts.group, replica: core.opts.name })
    return true
  }
  // Guards against founding a second group over a lost disk: only one replica founds, and only when every other one of
  // the settings says in person that it is new as well.
  const isFounder = core.opts.canBootstrap !== false && [...core.opts.founderNames].sort()[0] === core.opts.name
  if (isFounder && known.length === core.opts.founderNames.length && core.meta.founding === null) await adopt(core, known)
  return false
}

/** Takes the founding voters as the first entry of the log; the same on every founding replica. */
async function adopt (core: replicaCore.Core, founding: entries.Member[]): Promise<void> {
  if (core.log.lastIndex() > 0) return
  core.log.append([{ index: 1, term: 0, body: { kind: 'membership', voters: founding } }])
  await core.persist()
  core.meta = { ...core.meta, founding }
  await core.saveMeta()
  core.role = { kind: 'follower' }
  core.electionTimerStartedAt = core.opts.clock.now()
  core.opts.log.event('replicaFounded', { group: core.opts.group, replica: core.opts.name, voters: founding.length })
}

/** Asks all at once: one that is gone must not hold up the others. */
async function askForAdmission (core: replicaCore.Core): Promise<void> {
  const asked = toContacts(core).map(async name => await core.opts.transport.call(name, { t: 'join', from: core.self() }).catch(() => undefined))
  await Promise.all(asked)
}

function toContacts (core: replicaCore.Core): string[] {
  const names = new Set([...(core.opts.contacts?.() ?? core.opts.founderNames), ...core.voters().map(who => who.name)])
  names.delete(core.opts.name)
  return [...names]
}

/**
 * Answers a replica that looks for its group.
 * @param core the replica
 * @returns the founding voters, if this replica is part of a group
 */
export function onHello (core: replicaCore.Core): entries.RpcReply {
  return { t: 'hello', from: core.self(), founding: core.meta.founding }
}
