/** File storage on a disk that refuses writes, cuts them short or fails to sync. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as state from '../src/index.js'
import * as faultyFiles from './helpers/faultyFiles.js'

const test = ava.default
const RUNS = 60
const META: state.Meta = { incarnation: 'x', term: 1, votedFor: null, founding: [] }

/** State that a storage has acknowledged. */
interface Acknowledged { term: number, lastIndex: number, /** No entry up to it may be missing. */ snapshotIndex: number }

type Operation = 'append' | 'truncate' | 'meta' | 'snapshot'

function createFolder (t: ava.ExecutionContext): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'faulty-'))
  t.teardown(() => { fs.rmSync(folder, { recursive: true, force: true }) })
  return folder
}

function toEntry (index: number, command = 'x'.repeat(40)): state.Entry {
  return { index, term: 1, body: { kind: 'command', atMs: index, command } }
}

async function open (folder: string): Promise<{ disk: state.Storage, loaded: Extract<state.LoadResult, { kind: 'found' }> }> {
  const disk = await state.createFileStorage(folder)
  try {
    const loaded = await disk.load()
    if (loaded.kind !== 'found') throw new Error(`the stored state is ${loaded.kind}: ${'detail' in loaded ? loaded.detail : ''}`)
    return { disk, loaded }
  } catch (err) {
    await disk.close()
    throw err
  }
}

async function perform (disk: state.Storage, operation: Operation, lastIndex: number, acknowledged: Acknowledged): Promise<void> {
  switch (operation) {
    case 'append':
      await disk.append([toEntry(lastIndex + 1), toEntry(lastIndex + 2)])
      acknowledged.lastIndex = lastIndex + 2
      return
    case 'truncate':
      if (lastIndex <= acknowledged.snapshotIndex + 1) return
      // While the outcome is open, either end is right.
      acknowledged.lastIndex = Math.min(acknowledged.lastIndex, lastIndex - 1)
      await disk.truncateFrom(lastIndex)
      return
    case 'meta':
      await disk.saveMeta({ ...META, term: acknowledged.term + 1 })
      acknowledged.term++
      return
    case 'snapshot':
      await disk.saveSnapshot({ lastIndex, lastTerm: 1, lastAtMs: 0, voters: [], state: Buffer.from('s') }, Math.max(1, lastIndex - 3))
      acknowledged.snapshotIndex = lastIndex
  }
}

// Guards against a log that is taken for damaged, or lacks acknowledged entries, after a failed write.
test.serial('what was acknowledged is found after any failed write', async t => {
  const step = fc.record({ operation: fc.constantFrom<Operation>('append', 'append', 'truncate', 'meta', 'snapshot'), faultyCall: fc.integer({ min: 0, max: 12 }), isPartial: fc.boolean() })
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 4, maxLength: 14 }), async steps => {
    const folder = createFolder(t)
    let callsBeforeFault = Infinity
    let fault: faultyFiles.Fault = 'none'
    const files = await faultyFiles.createFaultyFiles(() => callsBeforeFault-- <= 0 ? fault : 'none')
    try {
      const empty = await state.createFileStorage(folder)
      await empty.load()
      await empty.saveMeta(META)
      await empty.close()
      const acknowledged: Acknowledged = { term: 1, lastIndex: 0, snapshotIndex: 0 }
      let { disk } = await open(folder)
      let lastIndex = 0
      for (const { operation, faultyCall, isPartial } of steps) {
        fault = isPartial ? 'partial' : 'refused'
        callsBeforeFault = faultyCall
        const hasFailed = await perform(disk, operation, lastIndex, acknowledged).then(() => false, () => true)
        callsBeforeFault = Infinity
        // A replica never goes on with a storage that has failed.
        if (hasFailed) {
          await disk.close()
          const reopened = await open(folder)
          disk = reopened.disk
          const { loaded } = reopened
          lastIndex = loaded.entries.at(-1)?.index ?? loaded.snapshot?.lastIndex ?? 0
          t.true(lastIndex >= acknowledged.lastIndex, `found entries up to ${lastIndex}, acknowledged up to ${acknowledged.lastIndex}`)
          t.true(loaded.meta.term >= acknowledged.term)
          t.true((loaded.snapshot?.lastIndex ?? 0) >= acknowledged.snapshotIndex)
          t.false(await files.isUnreliable(path.join(folder, 'log')), 'entries are acknowledged from a file whose sync has failed')
          acknowledged.lastIndex = lastIndex
          acknowledged.term = loaded.meta.term
          acknowledged.snapshotIndex = loaded.snapshot?.lastIndex ?? 0
        } else lastIndex = acknowledged.lastIndex
      }
      await disk.close()
      const { disk: last, loaded } = await open(folder)
      await last.close()
      t.is(loaded.entries.at(-1)?.index ?? loaded.snapshot?.lastIndex ?? 0, lastIndex)
    } finally {
      files.restore()
    }
  }), { seed: 20261207, numRuns: RUNS, endOnFailure: true })
})

// Guards against wiping an intact log because the disk is full or fails at the start.
test.serial('a log that cannot be read or repaired now is not treated as damaged', async t => {
  const folder = createFolder(t)
  const disk = await state.createFileStorage(folder)
  await disk.load()
  await disk.saveMeta(META)
  await disk.append([toEntry(1), toEntry(2), toEntry(3)])
  await disk.close()
  fs.appendFileSync(path.join(folder, 'log'), Buffer.from([0, 0, 0, 9, 1]))
  const files = await faultyFiles.createFaultyFiles(() => 'refused')
  try {
    await t.throwsAsync(open(folder), { code: 'ENOSPC' })
  } finally {
    files.restore()
  }
  fs.renameSync(path.join(folder, 'meta'), path.join(folder, 'kept'))
  fs.mkdirSync(path.join(folder, 'meta'))
  await t.throwsAsync(open(folder), { code: 'EISDIR' })
  fs.rmdirSync(path.join(folder, 'meta'))
  fs.renameSync(path.join(folder, 'kept'), path.join(folder, 'meta'))
  const { disk: reopened, loaded } = await open(folder)
  await reopened.close()
  t.deepEqual(loaded.entries.map(item => item.index), [1, 2, 3])
})

// Guards against acknowledging entries that a killed process had written but not yet synced.
test.serial('entries that were not synced before the start are written again', async t => {
  const folder = createFolder(t)
  const disk = await state.createFileStorage(folder)
  await disk.load()
  await disk.saveMeta(META)
  await disk.append([toEntry(1)])
  const files = await faultyFiles.createFaultyFiles((() => {
    let calls = 0
    // The entries are written, and their sync fails.
    return () => calls++ === 1 ? 'refused' : 'none'
  })())
  try {
    await t.throwsAsync(disk.append([toEntry(2)]))
    await disk.close()
    t.true(await files.isUnreliable(path.join(folder, 'log')))
    const { disk: reopened, loaded } = await open(folder)
    await reopened.close()
    t.deepEqual(loaded.entries.map(item => item.index), [1, 2])
    t.false(await files.isUnreliable(path.join(folder, 'log')))
  } finally {
    files.restore()
  }
})
