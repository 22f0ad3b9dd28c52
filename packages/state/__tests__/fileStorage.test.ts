/** File storage of a replica: torn tails, damage, snapshots and restarts. */
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

async function writeEntries (folder: string, count: number): Promise<void> {
  const disk = await state.createFileStorage(folder)
  await disk.load()
  await disk.saveMeta(META)
  for (let i = 1; i <= count; i++) await disk.append(toEntries(i, i))
  await disk.close()
}

async function load (folder: string): Promise<state.LoadResult> {
  const disk = await state.createFileStorage(folder)
  const loaded = await disk.load()
  await disk.close()
  return loaded
}

test('stored entries and metadata are loaded again', async t => {
  const folder = createFolder(t)
  t.deepEqual(await load(folder), { kind: 'empty' })
  await writeEntries(folder, 5)
  const loaded = await load(folder)
  t.is(loaded.kind, 'found')
  if (loaded.kind !== 'found') return
  t.deepEqual(loaded.meta, META)
  t.deepEqual(loaded.entries, toEntries(1, 5).map((item, i) => ({ ...item, body: { ...item.body, command: { text: 'x'.repeat(50) } } })))
  t.is(loaded.tornBytes, 0)
})

// After a power loss during a write, the next append must follow the last complete record.
test('a torn tail is truncated', async t => {
  const folder = createFolder(t)
  await writeEntries(folder, 5)
  fs.appendFileSync(path.join(folder, 'log'), Buffer.from([0, 0, 0, 90, 1, 2, 3]))
  const disk = await state.createFileStorage(folder)
  const loaded = await disk.load()
  t.is(loaded.kind === 'found' ? loaded.tornBytes : -1, 7)
  await disk.append(toEntries(6, 6))
  await disk.close()
  const again = await load(folder)
  t.is(again.kind === 'found' ? again.entries.length : -1, 6)
})

// Guards against truncating acknowledged entries after a bit flip.
for (const [name, place] of [['the middle', 0.5], ['the last record', 0.99]] as const) {
  test(`damage in ${name} is not treated as a torn tail`, async t => {
    const folder = createFolder(t)
    await writeEntries(folder, 20)
    const file = path.join(folder, 'log')
    const bytes = fs.readFileSync(file)
    bytes[Math.floor(bytes.length * place)] ^= 0x40
    fs.writeFileSync(file, bytes)
    t.is((await load(folder)).kind, 'damaged')
  })
}

test('damaged meta and snapshot files are detected', async t => {
  for (const name of ['meta', 'snapshot']) {
    const folder = createFolder(t)
    await writeEntries(folder, 3)
    fs.writeFileSync(path.join(folder, name), Buffer.from('not a record'))
    t.is((await load(folder)).kind, 'damaged', name)
  }
})

test('a missing log with a synced mark is damage', async t => {
  const folder = createFolder(t)
  await writeEntries(folder, 3)
  fs.rmSync(path.join(folder, 'log'))
  t.is((await load(folder)).kind, 'damaged')
})

test('truncation and snapshots retain the right entries', async t => {
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

// Guards against replicas without a commit index, and so without a document, until a leader is elected after a power loss.
test('the commit index is synced with the next append', async t => {
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

// Guards against a replica that gives up its vote after a power loss while its log was being shortened.
test('a log shortened during a power loss is not treated as damaged', async t => {
  const folder = createFolder(t)
  await writeEntries(folder, 8)
  const disk = await state.createFileStorage(folder)
  await disk.load()
  // Makes the write of the new log fail, after the synced mark was lowered.
  fs.mkdirSync(path.join(folder, 'log.new'))
  await t.throwsAsync(disk.saveSnapshot({ lastIndex: 6, lastTerm: 1, lastAtMs: 6, voters: [], state: Buffer.from('s') }, 7))
  await disk.close()
  fs.rmSync(path.join(folder, 'log.new'), { recursive: true })
  fs.truncateSync(path.join(folder, 'log'), 300)
  t.is((await load(folder)).kind, 'found')
})

test('entries stay at their offsets between commit records', async t => {
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

const SNAPSHOT: state.Snapshot = { lastIndex: 150, lastTerm: 2, lastAtMs: 150, voters: [{ name: 'a', incarnation: 'one' }], state: Buffer.from('state') }

/** Leaves what a process leaves that is killed after it has replaced the snapshot of a lagging replica, and before it has replaced the log. */
async function interruptSnapshot (t: ava.ExecutionContext, folder: string): Promise<void> {
  const source = createFolder(t)
  const disk = await state.createFileStorage(source)
  await disk.load()
  await disk.saveMeta(META)
  await disk.saveSnapshot(SNAPSHOT, SNAPSHOT.lastIndex + 1)
  await disk.close()
  fs.copyFileSync(path.join(source, 'snapshot'), path.join(folder, 'snapshot'))
}

for (const [name, count] of [['ends before the snapshot', 5], ['has another term at its end', 152]] as const) {
  // Guards against taking a log for damaged because it still holds entries that a snapshot had replaced.
  test(`a log that ${name} is replaced after an interrupted snapshot`, async t => {
    const folder = createFolder(t)
    await writeEntries(folder, count)
    await interruptSnapshot(t, folder)
    const next = { index: SNAPSHOT.lastIndex + 1, term: 2, body: { kind: 'command' as const, atMs: 151, command: 'next' } }
    const disk = await state.createFileStorage(folder)
    const loaded = await disk.load()
    t.deepEqual(loaded.kind === 'found' ? loaded.entries : undefined, [])
    await disk.append([next])
    await disk.close()
    const again = await load(folder)
    t.deepEqual(again.kind === 'found' ? again.entries : again, [next])
  })
}

// Guards against an upgrade that gives up the folders of a version that kept no mark of what is synced.
test('a log without a mark is read', async t => {
  const folder = createFolder(t)
  await writeEntries(folder, 5)
  fs.rmSync(path.join(folder, 'synced'))
  const loaded = await load(folder)
  t.deepEqual(loaded.kind === 'found' ? loaded.entries.map(item => item.index) : loaded, [1, 2, 3, 4, 5])
})
