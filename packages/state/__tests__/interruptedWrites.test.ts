/** A process that ends in the middle of a write, and a machine that loses power at the start after it. */
import * as ava from 'ava'
import * as state from '../src/index.js'
import * as powerLossDisks from './helpers/powerLossDisk.js'
import * as seededRandom from './helpers/seededRandom.js'

const test = ava.default
const FOLDER = '/data'
const META: state.Meta = { incarnation: 'x', term: 1, votedFor: null, founding: [] }
const SEEDS = 8

/** Runs work until it has ended, or its process ends before one of its file operations. @returns whether it has ended */
async function runUntilEnd (disk: powerLossDisks.PowerLossDisk, operations: number, work: (fs: state.FileSystem) => Promise<void>): Promise<boolean> {
  let left = operations
  let end = (): void => {}
  const ended = new Promise<boolean>(resolve => { end = () => { resolve(false) } })
  const fs = disk.connect(async () => {
    if (left-- > 0) return
    end()
    await new Promise(() => {})
  })
  return await Promise.race([work(fs).then(() => true), ended])
}

async function load (fs: state.FileSystem): Promise<state.LoadResult> {
  return await (await state.createFileStorage(FOLDER, fs)).load()
}

/** Ends a process before each operation of a write, and the power before each one of the next start. */
async function tryAll (prepare: (storage: state.Storage) => Promise<void>, write: (storage: state.Storage) => Promise<void>, judge: (loaded: state.LoadResult, when: string) => void): Promise<void> {
  let isWritten = false
  for (let written = 0; !isWritten; written++) {
    let isLoaded = false
    for (let operations = 0; !isLoaded; operations++) {
      for (let seed = 1; seed <= SEEDS; seed++) {
        const disk = powerLossDisks.createPowerLossDisk(seededRandom.createRandom(seed))
        const first = await state.createFileStorage(FOLDER, disk.connect())
        await first.load()
        await prepare(first)
        isWritten = await runUntilEnd(disk, written, async fs => {
          const storage = await state.createFileStorage(FOLDER, fs)
          await storage.load()
          await write(storage)
        })
        isLoaded = await runUntilEnd(disk, operations, async fs => { await load(fs) })
        disk.losePower('drawn')
        judge(await load(disk.connect()), `process ended before operation ${written}, power before operation ${operations}, seed ${seed}`)
      }
    }
  }
}

// Guards against a founder that counts as damaged, and is removed for good, although it had acknowledged nothing.
test('first metadata that an ended process has left is durable before the log is', async t => {
  await tryAll(async () => {}, async storage => { await storage.saveMeta(META) }, (loaded, when) => { t.not(loaded.kind, 'damaged', when) })
})

// Guards against acknowledged entries that neither the log nor the snapshot holds.
test('a snapshot that an ended process has left is durable before the log is shortened', async t => {
  await tryAll(async storage => {
    await storage.saveMeta(META)
    await storage.append([1, 2, 3].map(index => ({ index, term: 1, body: { kind: 'noop' } })))
  }, async storage => {
    await storage.saveSnapshot({ lastIndex: 9, lastTerm: 2, lastAtMs: 0, voters: [], state: Buffer.alloc(200, 's') }, Number.MAX_SAFE_INTEGER)
  }, (loaded, when) => {
    const last = loaded.kind === 'found' ? Math.max(loaded.entries.at(-1)?.index ?? 0, loaded.snapshot?.lastIndex ?? 0) : 0
    t.true(last >= 3, `${when}: ${JSON.stringify(loaded)}`)
  })
})
