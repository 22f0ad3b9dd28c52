/** Committed entries that a state machine cannot apply. */
import * as ava from 'ava'
import * as telemetry from '@kingcupdeck/telemetry'
import * as state from '../src/index.js'
import * as replicaCore from '../src/replicaCore.js'

const test = ava.default

function createCore (apply: (command: unknown) => unknown, onFailed: () => void): replicaCore.Core {
  const done = async (): Promise<void> => {}
  const storage: state.Storage = { load: async () => ({ kind: 'empty' }), wipe: done, saveMeta: done, append: done, truncateFrom: done, saveSnapshot: done, close: done }
  const log = telemetry.createLog({ instance: 'test', level: 'silent' })
  return replicaCore.createCore({
    group: 'g',
    name: 'a',
    founderNames: ['a'],
    storage,
    transport: { call: async () => { throw new Error('no other replicas') } },
    stateMachine: { apply, save: () => new Uint8Array(), restore: () => {} },
    clock: { now: () => 0, wallNow: () => 0, sleep: done },
    random: () => 0,
    createIncarnation: () => 'one',
    log,
    invariants: telemetry.createInvariants({ log, isFatal: true }),
    onFailed
  })
}

// Guards against a replica that leaves out an entry and then has another state than the others.
test('a replica that cannot apply an entry stops before the next one', t => {
  const applied: unknown[] = []
  let failures = 0
  const core = createCore(command => {
    if (command === 'bad') throw new Error('cannot be applied')
    applied.push(command)
  }, () => { failures++ })
  core.isLoaded = true
  core.log.append(['good', 'bad', 'later'].map((command, i) => ({ index: i + 1, term: 1, body: { kind: 'command' as const, atMs: i, command } })))
  t.throws(() => { core.advanceCommit(3) }, { message: 'cannot be applied' })
  t.deepEqual(applied, ['good'])
  t.is(core.appliedIndex, 1)
  t.false(core.isRunning)
  t.is(failures, 1)
})
