/** File storage on a disk that loses power: what was acknowledged is found, whatever became of later writes and names. */
import * as path from 'node:path'
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as state from '../src/index.js'
import * as powerLossDisks from './helpers/powerLossDisk.js'
import * as seededRandom from './helpers/seededRandom.js'

const test = ava.default
const RUNS = 400
const SEED = 20261208
const FOLDER = '/data/document'
const META: state.Meta = { incarnation: 'x', term: 1, votedFor: null, founding: [] }

function toEntry (index: number, command = 'x'.repeat(40), term = 1): state.Entry {
  return { index, term, body: { kind: 'command', atMs: index, command } }
}

/** A machine whose process uses the storage until the power is lost before one of its file operations. */
class Machine {
  private operationsLeft = Infinity
  private onLost = (): void => {}
  readonly disk: powerLossDisks.PowerLossDisk

  constructor (random: () => number) { this.disk = powerLossDisks.createPowerLossDisk(random) }

  /** Runs work until it ends or the power is lost before a file operation. @returns whether it has ended */
  async run (work: () => Promise<void>, operations: number): Promise<boolean> {
    const lost = new Promise<boolean>(resolve => { this.onLost = () => { resolve(false) } })
    this.operationsLeft = operations
    return await Promise.race([work().then(() => true), lost])
  }

  async open (): Promise<{ storage: state.Storage, loaded: state.LoadResult }> {
    const fs = this.disk.connect(async () => {
      if (this.operationsLeft-- > 0) return
      this.onLost()
      await new Promise(() => {})
    })
    const storage = await state.createFileStorage(FOLDER, fs)
    return { storage, loaded: await storage.load() }
  }
}

/** State that a storage has acknowledged. */
interface Acknowledged { meta: state.Meta | undefined, lastIndex: number, snapshotIndex: number, /** The highest commit index that was passed to the storage. */ commitIndex: number }

/** Position of the last entry of a log. */
interface Position { lastIndex: number, term: number }

/** Snapshots that a leader sends: far beyond the own log, inside it, or with a later term at the index of an own entry. */
type LeaderSnapshot = 'snapshotBeyond' | 'laterSnapshotBeyond' | 'snapshotInside' | 'conflictingSnapshot'

type Operation = 'append' | 'appendMany' | 'truncate' | 'meta' | 'snapshot' | LeaderSnapshot | 'commit' | 'wipe'

/** Entries that a replica has missed when it gets a snapshot of its leader. */
const MISSED_ENTRIES = 50
/** Own entries behind the end of a snapshot that lies inside the log. */
const BEFORE_END = 2

/** Returns the position at the end of a snapshot of the leader, undefined if the leader would not send it. */
function toSnapshotEnd (operation: LeaderSnapshot, { lastIndex, term }: Position, acknowledged: Acknowledged): Position | undefined {
  switch (operation) {
    case 'snapshotBeyond': return { lastIndex: lastIndex + MISSED_ENTRIES, term }
    case 'laterSnapshotBeyond': return { lastIndex: lastIndex + MISSED_ENTRIES, term: term + 1 }
    case 'snapshotInside':
    case 'conflictingSnapshot': {
      const end = { lastIndex: lastIndex - BEFORE_END, term: operation === 'snapshotInside' ? term : term + 1 }
      return end.lastIndex > Math.max(acknowledged.snapshotIndex, acknowledged.commitIndex) ? end : undefined
    }
  }
}

/** Stores a snapshot of the leader, as a replica does. @returns the end of the log */
async function storeLeaderSnapshot (storage: state.Storage, operation: LeaderSnapshot, position: Position, acknowledged: Acknowledged): Promise<Position> {
  const end = toSnapshotEnd(operation, position, acknowledged)
  if (end === undefined) return position
  const hasSuffix = operation === 'snapshotInside'
  // While the outcome is open, either end is right.
  acknowledged.lastIndex = Math.min(acknowledged.lastIndex, end.lastIndex)
  await storage.saveSnapshot({ lastIndex: end.lastIndex, lastTerm: end.term, lastAtMs: 0, voters: [], state: Buffer.alloc(200, 's') }, hasSuffix ? end.lastIndex + 1 : Number.MAX_SAFE_INTEGER)
  const last = hasSuffix ? position : end
  Object.assign(acknowledged, { lastIndex: last.lastIndex, snapshotIndex: end.lastIndex })
  return last
}

async function perform (storage: state.Storage, operation: Operation, position: Position, acknowledged: Acknowledged): Promise<Position> {
  const { lastIndex, term } = position
  switch (operation) {
    case 'append':
    case 'appendMany': {
      const list = Array.from({ length: operation === 'append' ? 1 : 6 }, (_, i) => toEntry(lastIndex + 1 + i, 'x'.repeat(30 + 20 * i), term))
      await storage.append(list)
      acknowledged.lastIndex = lastIndex + list.length
      return { lastIndex: lastIndex + list.length, term }
    }
    case 'truncate':
      if (lastIndex <= acknowledged.snapshotIndex + 1) return position
      // While the outcome is open, either end is right.
      acknowledged.lastIndex = Math.min(acknowledged.lastIndex, lastIndex - 1)
      await storage.truncateFrom(lastIndex)
      return { lastIndex: lastIndex - 1, term }
    case 'meta': {
      const meta = { ...META, term: (acknowledged.meta?.term ?? 0) + 1, votedFor: `x#${lastIndex}` }
      await storage.saveMeta(meta)
      acknowledged.meta = meta
      return position
    }
    case 'snapshot':
      if (lastIndex === 0) return position
      await storage.saveSnapshot({ lastIndex, lastTerm: term, lastAtMs: 0, voters: [], state: Buffer.alloc(200, 's') }, Math.max(1, lastIndex - 3))
      acknowledged.snapshotIndex = lastIndex
      return position
    case 'snapshotBeyond':
    case 'laterSnapshotBeyond':
    case 'snapshotInside':
    case 'conflictingSnapshot':
      return await storeLeaderSnapshot(storage, operation, position, acknowledged)
    case 'commit':
      acknowledged.commitIndex = Math.max(acknowledged.commitIndex, lastIndex)
      storage.saveCommitIndex?.(lastIndex)
      return position
    case 'wipe':
      // While the outcome is open, either state is right.
      Object.assign(acknowledged, { meta: undefined, lastIndex: 0, snapshotIndex: 0 })
      await storage.wipe()
      await storage.saveMeta(META)
      Object.assign(acknowledged, { meta: META, commitIndex: 0 })
      return { lastIndex: 0, term: 1 }
  }
}

/** Returns what a start lacks of the acknowledged state. */
function findMissing (loaded: state.LoadResult, acknowledged: Acknowledged): string | undefined {
  if (loaded.kind === 'found' && loaded.commitIndex > acknowledged.commitIndex) return `commit index ${loaded.commitIndex}, but only entries up to ${acknowledged.commitIndex} were committed`
  if (acknowledged.meta === undefined) return undefined
  if (loaded.kind !== 'found') return `the stored state is ${loaded.kind}${loaded.kind === 'damaged' ? `: ${loaded.detail}` : ''}`
  const lastIndex = Math.max(loaded.entries.at(-1)?.index ?? 0, loaded.snapshot?.lastIndex ?? 0)
  if (lastIndex < acknowledged.lastIndex) return `entries up to ${lastIndex}, acknowledged up to ${acknowledged.lastIndex}`
  if ((loaded.snapshot?.lastIndex ?? 0) < acknowledged.snapshotIndex) return `a snapshot up to ${loaded.snapshot?.lastIndex ?? 0}, acknowledged up to ${acknowledged.snapshotIndex}`
  const replaced = loaded.entries.find(item => loaded.snapshot !== undefined && item.index > loaded.snapshot.lastIndex && item.term < loaded.snapshot.lastTerm)
  if (replaced !== undefined) return `entry ${replaced.index} of term ${replaced.term}, which a snapshot has replaced`
  const { term, votedFor, incarnation } = loaded.meta
  if (term < acknowledged.meta.term) return `term ${term}, acknowledged ${acknowledged.meta.term}`
  if (term === acknowledged.meta.term && votedFor !== acknowledged.meta.votedFor) return `a vote for ${votedFor}, acknowledged for ${acknowledged.meta.votedFor}`
  return incarnation === acknowledged.meta.incarnation ? undefined : `incarnation ${incarnation}`
}

/** Creates a machine with three entries and their commit index on its disk, all synced. */
async function createMachine (): Promise<Machine> {
  const machine = new Machine(seededRandom.createRandom(1))
  const { storage } = await machine.open()
  await storage.saveMeta(META)
  for (const index of [1, 2, 3]) await storage.append([toEntry(index)])
  storage.saveCommitIndex?.(2)
  await storage.close()
  return machine
}

// Guards against a replica that never starts again after a power loss because its log ends with zeros.
test('zeros in place of the last write are not an entry', async t => {
  for (const bytes of [8, 64, 1000]) {
    const machine = await createMachine()
    const log = await machine.disk.connect().readFile(`${FOLDER}/log`)
    machine.disk.put(`${FOLDER}/log`, Buffer.concat([log, Buffer.alloc(bytes)]))
    const { loaded } = await machine.open()
    t.deepEqual(loaded.kind === 'found' ? loaded.entries.map(item => item.index) : loaded, [1, 2, 3])
  }
})

// Guards against a replica that gives up its log and its vote because of a file that is never synced.
test('zeros in the mark or the commit index are not damage', async t => {
  for (const name of ['synced', 'committed']) {
    const machine = await createMachine()
    machine.disk.put(`${FOLDER}/${name}`, Buffer.alloc(16))
    const { loaded } = await machine.open()
    t.deepEqual(loaded.kind === 'found' ? loaded.entries.map(item => item.index) : loaded, [1, 2, 3], name)
  }
})

// Guards against a new replica that loses all that it acknowledged, as if its disk were lost.
test('the folder of a new replica survives a power loss', async t => {
  const machine = new Machine(seededRandom.createRandom(1))
  const fs = machine.disk.connect()
  await fs.mkdir(path.dirname(FOLDER), { recursive: true })
  await (await fs.open('/', 'r')).sync()
  // An earlier process has ended before it synced the name of the folder.
  await fs.mkdir(FOLDER, { recursive: true })
  const { storage } = await machine.open()
  await storage.saveMeta(META)
  await storage.append([toEntry(1)])
  machine.disk.losePower('syncedOnly')
  const { loaded } = await machine.open()
  t.deepEqual(loaded.kind === 'found' ? loaded.entries.map(item => item.index) : loaded, [1])
})

// Guards against a wiped replica that takes its former mark for damage, or its former commit index for that of its new log.
test('what an interrupted removal left is removed at the next start', async t => {
  for (const name of ['synced', 'committed']) {
    const machine = await createMachine()
    for (const removed of ['meta', 'log', 'synced', 'committed'].filter(item => item !== name)) await machine.disk.connect().rm(`${FOLDER}/${removed}`, { force: true })
    const { loaded } = await machine.open()
    t.is(loaded.kind, 'damaged', name)
  }
})

/** Returns the end of the stored log. */
function toPosition (loaded: state.LoadResult): Position {
  if (loaded.kind !== 'found') return { lastIndex: 0, term: 1 }
  const last = loaded.entries.at(-1)
  const { snapshot } = loaded
  if (last !== undefined && last.index >= (snapshot?.lastIndex ?? 0)) return { lastIndex: last.index, term: last.term }
  return { lastIndex: snapshot?.lastIndex ?? 0, term: snapshot?.lastTerm ?? 1 }
}

// Guards against a replica that does not start any more, or gives up its log and its vote, after a power loss.
test('what was acknowledged is found after any power loss', async t => {
  const step = fc.record({
    operation: fc.constantFrom<Operation>('append', 'append', 'appendMany', 'truncate', 'meta', 'snapshot', 'snapshotBeyond', 'laterSnapshotBeyond', 'snapshotInside', 'conflictingSnapshot', 'commit', 'wipe'),
    operationsBeforeLoss: fc.oneof({ weight: 2, arbitrary: fc.constant(Infinity) }, { weight: 1, arbitrary: fc.integer({ min: 0, max: 25 }) }),
    loss: fc.constantFrom<powerLossDisks.PowerLoss>('drawn', 'drawn', 'syncedOnly')
  })
  await fc.assert(fc.asyncProperty(fc.integer(), fc.array(step, { minLength: 3, maxLength: 14 }), async (seed, steps) => {
    const machine = new Machine(seededRandom.createRandom(seed))
    const acknowledged: Acknowledged = { meta: undefined, lastIndex: 0, snapshotIndex: 0, commitIndex: 0 }
    let storage: state.Storage | undefined
    let position: Position = { lastIndex: 0, term: 1 }
    for (const { operation, operationsBeforeLoss, loss } of steps) {
      const hasEnded = await machine.run(async () => {
        if (storage === undefined) {
          const opened = await machine.open()
          const missing = findMissing(opened.loaded, acknowledged)
          if (missing !== undefined) throw new Error(missing)
          if (opened.loaded.kind === 'damaged') await opened.storage.wipe()
          position = toPosition(opened.loaded)
          Object.assign(acknowledged, { lastIndex: position.lastIndex, snapshotIndex: opened.loaded.kind === 'found' ? opened.loaded.snapshot?.lastIndex ?? 0 : 0 })
          // A replica writes what it has found again before it acknowledges anything.
          const meta = opened.loaded.kind === 'found' ? opened.loaded.meta : META
          await opened.storage.saveMeta(meta)
          acknowledged.meta = meta
          if (opened.loaded.kind !== 'found') acknowledged.commitIndex = 0
          storage = opened.storage
        }
        position = await perform(storage, operation, position, acknowledged)
      }, operationsBeforeLoss)
      if (hasEnded && operationsBeforeLoss === Infinity) continue
      machine.disk.losePower(loss)
      storage = undefined
    }
    await machine.run(async () => {
      const { loaded } = await machine.open()
      t.is(findMissing(loaded, acknowledged), undefined)
    }, Infinity)
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true, includeErrorInReport: true })
})
