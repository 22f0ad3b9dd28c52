/** File storage on a disk that loses power: what was acknowledged is found, whatever became of later writes and names. */
import * as path from 'node:path'
import * as ava from 'ava'
import * as state from '../src/index.js'
import * as powerLossDisks from './helpers/powerLossDisk.js'
import * as seededRandom from './helpers/seededRandom.js'

const test = ava.default
const FOLDER = '/data/document'
const META: state.Meta = { incarnation: 'x', term: 1, votedFor: null, founding: [] }

function toEntry (index: number, command = 'x'.repeat(40)): state.Entry {
  return { index, term: 1, body: { kind: 'command', atMs: index, command } }
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
