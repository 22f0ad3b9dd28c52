/** What a follower acknowledges of entries that were removed and received again while an earlier write of them was in progress. */
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as telemetry from '@kingcupdeck/telemetry'
import * as state from '../src/index.js'
import * as following from '../src/following.js'
import * as replicaCore from '../src/replicaCore.js'

const test = ava.default
const toEntry = (index: number, term: number): state.Entry => ({ index, term, body: { kind: 'command', atMs: 0, command: `${index} of ${term}` } })

/** A storage whose appends wait until they are let through. */
function createHeldStorage () {
  const stored: state.Entry[] = []
  const held: Array<() => void> = []
  const done = async (): Promise<void> => {}
  const storage: state.Storage = {
    load: async () => ({ kind: 'empty' }),
    wipe: done,
    saveMeta: done,
    async append (list) {
      await new Promise<void>(resolve => { held.push(resolve) })
      stored.push(...list)
    },
    async truncateFrom (index) { stored.splice(index - 1) },
    saveSnapshot: done,
    close: done
  }
  return { storage, stored, /** Lets the oldest append through. */ async complete () { held.shift()?.(); await timers.setTimeout(10) } }
}

function createCore (storage: state.Storage): replicaCore.Core {
  const log = telemetry.createLog({ instance: 'test', level: 'silent' })
  const core = replicaCore.createCore({
    group: 'g',
    name: 'a',
    founderNames: ['a', 'b', 'c', 'd', 'e'],
    storage,
    transport: { call: async () => { throw new Error('no other replicas') } },
    stateMachine: { apply: () => {}, save: () => new Uint8Array(), restore: () => {} },
    clock: { now: () => performance.now(), wallNow: () => 0, sleep: async () => {} },
    random: () => 0,
    createIncarnation: () => 'one',
    log,
    invariants: telemetry.createInvariants({ log, isFatal: true })
  })
  core.meta = { ...core.meta, founding: [] }
  core.role = { kind: 'follower' }
  return core
}

// Guards against acknowledging entries that the disk is about to lose: another leader's entries replace them before they are written again.
test('an entry that was removed and received again is acknowledged only after its last write', async t => {
  const { storage, stored, complete } = createHeldStorage()
  const core = createCore(storage)
  const receive = (leader: string, term: number, list: state.Entry[]): void => {
    const from = { name: leader, incarnation: leader }
    // The term of a new leader is written with its first message; the second one need not wait for that.
    following.onHeartbeat(core, { t: 'heartbeat', term, leader: from, commit: 0, quorumAgeMs: 0 }).catch(t.fail)
    following.onAppend(core, { t: 'append', term, leader: from, prevIndex: 1, prevTerm: 1, entries: list, commit: 0, quorumAgeMs: 0 }).catch(t.fail)
  }
  const acknowledged = async (term: number): Promise<number> => {
    const reply = await following.onHeartbeat(core, { t: 'heartbeat', term, leader: { name: 'd', incarnation: 'd' }, commit: 0, quorumAgeMs: 0 })
    return reply.t === 'append' ? reply.match : NaN
  }
  const first = following.onAppend(core, { t: 'append', term: 1, leader: { name: 'b', incarnation: 'b' }, prevIndex: 0, prevTerm: 0, entries: [toEntry(1, 1)], commit: 0, quorumAgeMs: 0 })
  await timers.setTimeout(10)
  await complete()
  await first
  receive('b', 1, [toEntry(2, 1)])
  await timers.setTimeout(10)
  receive('c', 2, [toEntry(2, 2)])
  await timers.setTimeout(10)
  receive('d', 3, [toEntry(2, 1)])
  await timers.setTimeout(10)
  await complete()
  // Its leader repeats the call, which has had no reply.
  receive('d', 3, [toEntry(2, 1)])
  await timers.setTimeout(10)
  t.deepEqual(stored.map(item => item.index), [1])
  t.is(await acknowledged(3), 1)
  await complete()
  t.deepEqual(stored.map(item => item.index), [1, 2])
  t.is(await acknowledged(3), 2)
})
