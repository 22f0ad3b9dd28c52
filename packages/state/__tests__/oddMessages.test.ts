/** Odd messages of a damaged or other version's replica: each costs itself, and changes no state. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as telemetry from '@kingcupdeck/telemetry'
import * as state from '../src/index.js'

const test = ava.default
const a: state.Member = { name: 'a', incarnation: 'one' }
const b: state.Member = { name: 'b', incarnation: 'two' }
const voters = [a, b, { name: 'c', incarnation: 'three' }]

interface Subject { replica: state.Replica, applied: unknown[] }

/** Starts a follower with three committed entries, whose state is the list of its commands. */
async function startFollower (t: ava.ExecutionContext): Promise<Subject> {
  let applied: unknown[] = []
  const done = async (): Promise<void> => {}
  const list: state.Entry[] = [{ index: 1, term: 0, body: { kind: 'membership', voters } }, { index: 2, term: 1, body: { kind: 'command', atMs: 1, command: 'x' } }, { index: 3, term: 1, body: { kind: 'command', atMs: 1, command: 'y' } }]
  const storage: state.Storage = { load: async () => ({ kind: 'found', meta: { incarnation: 'one', term: 1, votedFor: null, founding: voters }, snapshot: undefined, entries: list, tornBytes: 0, commitIndex: 3 }), wipe: done, saveMeta: done, append: done, truncateFrom: done, saveSnapshot: done, close: done }
  const log = telemetry.createLog({ instance: 'test', level: 'silent' })
  const replica = await state.createReplica({
    group: 'g',
    name: 'a',
    founderNames: ['a', 'b', 'c'],
    storage,
    transport: { call: async () => { throw new Error('no other replica') } },
    stateMachine: {
      apply (command) { applied.push(command) },
      save: () => Buffer.from(JSON.stringify(applied)),
      restore (bytes) { applied = JSON.parse(Buffer.from(bytes).toString()) as unknown[] }
    },
    clock: { now: () => 0, wallNow: () => 0, sleep: async () => { await new Promise(() => {}) } },
    random: () => 0.5,
    createIncarnation: () => 'new',
    log,
    invariants: telemetry.createInvariants({ log })
  })
  t.teardown(async () => { await replica.stop() })
  return { replica, get applied () { return applied } }
}

/** Hands over a message as it is received from a link. */
async function deliver (replica: state.Replica, msg: unknown): Promise<state.RpcReply | undefined> {
  const parsed = state.rpc.safeParse(msg)
  return parsed.success ? await replica.handle(parsed.data).catch(() => undefined) : undefined
}

const command = (index: number, term: number, text: string): state.Entry => ({ index, term, body: { kind: 'command', atMs: 1, command: text } })
const append = { t: 'append', term: 2, leader: b, prevIndex: 3, prevTerm: 1, entries: [] as unknown[], commit: 3 }

// Each of these reverted committed entries, acknowledged entries that do not exist, or left a group without further terms.
const cases: Record<string, unknown> = {
  'the same entry twice': { ...append, entries: [command(4, 2, 'z'), command(4, 2, 'z')], commit: 5 },
  'entries that do not continue the one before': { ...append, prevIndex: 1, prevTerm: 0, entries: [command(2, 1, 'x'), command(5, 2, 'z')] },
  'entries of a later term than the leader': { ...append, entries: [command(4, 9, 'z')] },
  'other entries in place of committed ones': { ...append, prevIndex: 1, prevTerm: 0, entries: [command(2, 2, 'z')] },
  'a term after which there is none': { ...append, term: 2 ** 52 },
  'a vote in a term after which there is none': { t: 'vote', term: 2 ** 52, candidate: b, lastIndex: 9, lastTerm: 9, isTransfer: true },
  'a snapshot that cannot be read': { t: 'snapshot', term: 2, leader: b, lastIndex: 50, lastTerm: 2, lastAtMs: 1, voters, offset: 0, total: 3, data: Buffer.from('{[x') },
  'a snapshot without end': { t: 'snapshot', term: 2, leader: b, lastIndex: 50, lastTerm: 2, lastAtMs: 1, voters, offset: 0, total: 2 ** 50, data: Buffer.alloc(10) }
}
for (const [name, msg] of Object.entries(cases)) {
  test(`${name}: nothing changes, and a sound message is followed`, async t => {
    const subject = await startFollower(t)
    const reply = await deliver(subject.replica, msg)
    t.false((reply?.t === 'append' && reply.isOk) || (reply?.t === 'ballot' && reply.isGranted), JSON.stringify(reply))
    const { commit, lastIndex, term } = subject.replica.status()
    t.deepEqual({ commit, lastIndex, applied: subject.applied }, { commit: 3, lastIndex: 3, applied: ['x', 'y'] })
    t.true(term <= 2)
    const sound = await deliver(subject.replica, { ...append, entries: [command(4, 2, 'z')], commit: 4 })
    t.deepEqual(sound, { t: 'append', from: a, term: 2, isOk: true, match: 4, tryNext: 5 })
    t.deepEqual(subject.applied, ['x', 'y', 'z'])
  })
}

test('drawn messages with odd fields end no replica and revert nothing', async t => {
  const odd = fc.oneof(fc.constantFrom<unknown>(-1, 0, 1, 1e308, 2 ** 53, 2 ** 53 - 1, Number.NaN, Infinity, '3', null, undefined, {}, []), fc.anything())
  const sound = fc.constantFrom<object>(append, { ...append, entries: [command(4, 2, 'z')], commit: 4 }, { t: 'heartbeat', term: 2, leader: b, commit: 3, quorumAgeMs: 5 }, { t: 'vote', term: 3, candidate: b, lastIndex: 3, lastTerm: 1, isTransfer: false }, { t: 'snapshot', term: 2, leader: b, lastIndex: 3, lastTerm: 1, lastAtMs: 1, voters, offset: 0, total: 9, data: Buffer.from('["x","y"]') }, { t: 'takeOver', term: 1, leader: b }, { t: 'join', from: b })
  await fc.assert(fc.asyncProperty(fc.array(fc.tuple(sound, fc.nat(), odd), { minLength: 1, maxLength: 6 }), async list => {
    const subject = await startFollower(t)
    for (const [msg, at, value] of list) {
      const fields = Object.keys(msg)
      await deliver(subject.replica, { ...msg, [fields[at % fields.length]]: value })
      const { commit, lastIndex } = subject.replica.status()
      t.true(commit >= 3 && lastIndex >= commit)
      t.deepEqual(subject.applied.slice(0, 2), ['x', 'y'])
      t.true(subject.replica.lastCurrentAt() <= 0)
    }
  }), { seed: 67, numRuns: 300 })
})
