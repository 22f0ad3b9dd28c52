/** The disk of a replica: torn tails, damage, snapshots, and restarts after many changes. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as ava from 'ava'
import * as state from '../src/index.js'

const test = ava.default

function createFolder (t: ava.ExecutionContext): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcupdeck-state-'))
  t.teardown(() => { fs.rmSync(folder, { recursive: true, force: true }) })
  return folder
}

const META: state.Meta = { incarnation: 'one', term: 3, votedFor: 'a#one', founding: [{ name: 'a', incarnation: 'one' }] }

function toEntries (from: number, to: number): state.Entry[] {
  return Array.from({ length: to - from + 1 }, (_, i) => ({ index: from + i, term: 1, body: { kind: 'command' as const, atMs: from + i, command: { text: 'x'.repeat(50 + i) } } }))
}

async function fill (folder: string, count: number): Promise<void> {
  const disk = await state.createFileStorage(folder)
  await disk.load()
  await disk.saveMeta(META)
  for (let i = 1; i <= count; i++) await disk.append(toEntries(i, i))
  await disk.close()
}

async function load (folder: string): Promise<state.Loaded> {
  const disk = await state.createFileStorage(folder)
  const loaded = await disk.load()
  await disk.close()
  return loaded
}

test('what was written comes back', async t => {
  const folder = createFolder(t)
  t.deepEqual(await load(folder), { kind: 'empty' })
  await fill(folder, 5)
  const loaded = await load(folder)
  t.is(loaded.kind, 'found')
  if (loaded.kind !== 'found') return
  t.deepEqual(loaded.meta, META)
  t.deepEqual(loaded.entries, toEntries(1, 5).map((item, i) => ({ ...item, body: { ...item.body, command: { text: 'x'.repeat(50) } } })))
  t.is(loaded.tornBytes, 0)
})

// The power fails in the middle of a write. The half record was never acknowledged, so it may be cut off, and what is
// appended next must follow the last whole record.
test('a torn tail is cut', async t => {
  const folder = createFolder(t)
  await fill(folder, 5)
  fs.appendFileSync(path.join(folder, 'log'), Buffer.from([0, 0, 0, 90, 1, 2, 3]))
  const disk = await state.createFileStorage(folder)
  const loaded = await disk.load()
  t.is(loaded.kind === 'found' ? loaded.tornBytes : -1, 7)
  await disk.append(toEntries(6, 6))
  await disk.close()
  const again = await load(folder)
  t.is(again.kind === 'found' ? again.entries.length : -1, 6)
})

// A bit flips in a record that was synced and acknowledged long ago. Cutting the log there would forget entries that
// others count on: the replica must be treated as one that lost its disk.
for (const [name, place] of [['the middle', 0.5], ['the last record', 0.99]] as const) {
  test(`damage in ${name} is not taken for a torn tail`, async t => {
    const folder = createFolder(t)
    await fill(folder, 20)
    const file = path.join(folder, 'log')
    const bytes = fs.readFileSync(file)
    bytes[Math.floor(bytes.length * place)] ^= 0x40
    fs.writeFileSync(file, bytes)
    t.is((await load(folder)).kind, 'damaged')
  })
}

test('damaged small files are found', async t => {
  for (const name of ['meta', 'snapshot']) {
    const folder = createFolder(t)
    await fill(folder, 3)
    fs.writeFileSync(path.join(folder, name), Buffer.from('not a record'))
    t.is((await load(folder)).kind, 'damaged', name)
  }
})

test('a missing log beside a synced mark is damage', async t => {
  const folder = createFolder(t)
  await fill(folder, 3)
  fs.rmSync(path.join(folder, 'log'))
  t.is((await load(folder)).kind, 'damaged')
})

test('truncating and snapshots keep the right entries', async t => {
  const folder = createFolder(t)
  const disk = await state.createFileStorage(folder)
  await disk.load()
  await disk.saveMeta(META)
  await disk.append(toEntries(1, 10))
  await disk.truncateFrom(8)
  await disk.append(toEntries(8, 9))
  await disk.saveSnapshot({ lastIndex: 6, lastTerm: 1, lastAtMs: 6, voters: META.founding ?? [], state: Buffer.from('s') }, 5)
  await disk.append(toEntries(10, 11))
  await disk.close()
  const loaded = await load(folder)
  t.is(loaded.kind, 'found')
  if (loaded.kind !== 'found') return
  t.deepEqual(loaded.entries.map(item => item.index), [5, 6, 7, 8, 9, 10, 11])
  t.is(loaded.snapshot?.lastIndex, 6)
})

// All machines lose power at once, and none knows any more what was committed until a leader is elected: for seconds every
// entry instance is without a document. What was committed when the last entry was written is synced together with it.
test('what was committed comes back after a power loss', async t => {
  const folder = createFolder(t)
  const disk = await state.createFileStorage(folder)
  await disk.load()
  await disk.saveMeta(META)
  for (let i = 1; i <= 5; i++) await disk.append(toEntries(i, i))
  disk.saveCommitIndex?.(4)
  await disk.append(toEntries(6, 6))
  await disk.close()
  fs.rmSync(path.join(folder, 'committed'), { force: true })
  const loaded = await load(folder)
  t.is(loaded.kind, 'found')
  if (loaded.kind !== 'found') return
  t.is(loaded.commitIndex, 4)
  t.deepEqual(loaded.entries.map(item => item.index), [1, 2, 3, 4, 5, 6])
})

// The power goes while the log is being made shorter. Had the mark of the synced end not been lowered before, the shorter log
// would look damaged, and the replica would give up its vote over a sound disk.
test('a log that was to become shorter is not taken for damaged', async t => {
  const folder = createFolder(t)
  await fill(folder, 8)
  const disk = await state.createFileStorage(folder)
  await disk.load()
  // The new log cannot be written: the step after the lowered mark fails, as if the power went there.
  fs.mkdirSync(path.join(folder, 'log.new'))
  await t.throwsAsync(disk.saveSnapshot({ lastIndex: 6, lastTerm: 1, lastAtMs: 6, voters: [], state: Buffer.from('s') }, 7))
  await disk.close()
  fs.rmSync(path.join(folder, 'log.new'), { recursive: true })
  fs.truncateSync(path.join(folder, 'log'), 300)
  t.is((await load(folder)).kind, 'found')
})

test('entries keep their places between the notes of what was committed', async t => {
  const folder = createFolder(t)
  const disk = await state.createFileStorage(folder)
  await disk.load()
  await disk.saveMeta(META)
  for (let i = 1; i <= 6; i++) {
    await disk.append(toEntries(i, i))
    disk.saveCommitIndex?.(i)
  }
  await disk.truncateFrom(5)
  await disk.append(toEntries(5, 7))
  await disk.close()
  const loaded = await load(folder)
  if (loaded.kind !== 'found') throw new Error(loaded.kind)
  t.deepEqual(loaded.entries.map(item => item.index), [1, 2, 3, 4, 5, 6, 7])
  t.is(loaded.tornBytes, 0)
})
