/** What the folder of a replica says about the first start of its group, on a disk that loses power. */
import * as ava from 'ava'
import * as state from '../src/index.js'
import * as firstStarts from '../src/firstStart.js'
import * as powerLossDisks from './helpers/powerLossDisk.js'
import * as seededRandom from './helpers/seededRandom.js'

const test = ava.default
const FOLDER = '/data'
const META: state.Meta = { incarnation: 'x', term: 1, votedFor: null, founding: [] }

/** Runs work on a file system whose power is lost before one of its operations. @returns whether it has ended */
async function runUntilLoss (disk: powerLossDisks.PowerLossDisk, operations: number, work: (fs: state.FileSystem) => Promise<void>): Promise<boolean> {
  let left = operations
  let lose = (): void => {}
  const lost = new Promise<boolean>(resolve => { lose = () => { resolve(false) } })
  const fs = disk.connect(async () => {
    if (left-- > 0) return
    lose()
    await new Promise(() => {})
  })
  return await Promise.race([work(fs).then(() => true), lost])
}

async function load (disk: powerLossDisks.PowerLossDisk): Promise<state.LoadResult> {
  return await (await state.createFileStorage(FOLDER, disk.connect())).load()
}

// Guards against a founder that was told so, and forgets it, or takes half of it for the whole, when its machine loses power.
test('what was told is found after any power loss once it is stored, and never in part', async t => {
  let isStored = false
  for (let operations = 0; !isStored; operations++) {
    for (let seed = 1; seed <= 20; seed++) {
      const disk = powerLossDisks.createPowerLossDisk(seededRandom.createRandom(seed))
      isStored = await runUntilLoss(disk, operations, async fs => { await firstStarts.saveFirstStart(FOLDER, ['b', 'a', 'b'], fs) })
      disk.losePower('drawn')
      const loaded = await load(disk)
      t.is(loaded.kind, 'empty')
      const { founders } = loaded as { founders?: string[] }
      if (isStored || founders !== undefined) t.deepEqual(founders, ['a', 'b'], `power lost before operation ${operations}, seed ${seed}`)
    }
  }
})

// Guards against a replica that is told other founders at its next start, or that has a log or a damaged past and passes for a new one.
test('what was told is stored only in a folder without any state', async t => {
  const disk = powerLossDisks.createPowerLossDisk(seededRandom.createRandom(1))
  await firstStarts.saveFirstStart(FOLDER, ['a', 'b'], disk.connect())
  await firstStarts.saveFirstStart(FOLDER, ['c', 'd'], disk.connect())
  t.like(await load(disk), { kind: 'empty', founders: ['a', 'b'] })
  const used = powerLossDisks.createPowerLossDisk(seededRandom.createRandom(1))
  await (await state.createFileStorage(FOLDER, used.connect())).saveMeta(META)
  await firstStarts.saveFirstStart(FOLDER, ['a', 'b'], used.connect())
  t.is((await load(used) as { founders?: string[] }).founders, undefined)
})

// Guards against a replica that claims the identity of a founder after its damaged state was removed.
test('a replica whose state is being removed is no longer told anything, whenever the power is lost', async t => {
  let isWiped = false
  for (let operations = 0; !isWiped; operations++) {
    for (let seed = 1; seed <= 20; seed++) {
      const disk = powerLossDisks.createPowerLossDisk(seededRandom.createRandom(seed))
      await firstStarts.saveFirstStart(FOLDER, ['a', 'b'], disk.connect())
      const storage = await state.createFileStorage(FOLDER, disk.connect())
      await storage.saveMeta(META)
      await storage.append([{ index: 1, term: 0, body: { kind: 'noop' } }])
      await storage.close()
      isWiped = await runUntilLoss(disk, operations, async fs => { await (await state.createFileStorage(FOLDER, fs)).wipe() })
      disk.losePower('drawn')
      const loaded = await load(disk)
      const { founders, isFormer } = { founders: undefined, isFormer: undefined, ...loaded }
      if (loaded.kind === 'empty') t.deepEqual({ founders, isFormer }, { founders: undefined, isFormer: true }, `power lost before operation ${operations}, seed ${seed}`)
      if (isWiped) t.is(loaded.kind, 'empty')
    }
  }
})

// Guards against a start that fails, or founds with other names, because the file is damaged.
test('a damaged list of founders counts as none', async t => {
  for (const text of ['', '[', '{}', '[]', '[1]', 'null']) {
    const disk = powerLossDisks.createPowerLossDisk(seededRandom.createRandom(1))
    await disk.connect().mkdir(FOLDER, { recursive: true })
    disk.put(`${FOLDER}/founders`, Buffer.from(text))
    t.deepEqual(await load(disk), { kind: 'empty' }, text)
  }
})
