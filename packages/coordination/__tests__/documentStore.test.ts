/** Document stores of one group in one process, with links that the test can cut. */
import * as ava from 'ava'
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import type * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as coordination from '../src/index.js'

const test = ava.default
const log = telemetry.createLog({ instance: 'test', level: 'silent' })
const WAIT_MS = 20_000

interface TestGroup {
  stores: Map<string, coordination.DocumentStore>
  folderOf: (name: string) => string
  /** Partitions a store from all others, in both directions. */
  partition: (name: string) => void
  leader: () => Promise<string>
  /** Stops a store and starts it on its disk while a fault is in place. @param begin puts it in place, and returns what ends it */
  restart: (name: string, begin: (folder: string) => Promise<() => Promise<void>>) => Promise<void>
  close: () => Promise<void>
}

async function startGroup (names: string[]): Promise<TestGroup> {
  const base = await fs.mkdtemp(path.join(os.tmpdir(), 'kcd-'))
  const stores = new Map<string, coordination.DocumentStore>()
  const partitioned = new Set<string>()
  const folderOf = (name: string): string => path.join(base, name)
  const getPeerLink = (from: string) => async (to: string): Promise<links.Link> => {
    const call = async (body: unknown): Promise<unknown> => {
      const store = stores.get(to)
      if (store === undefined || partitioned.has(from) || partitioned.has(to)) throw new Error(`${to} is unreachable`)
      return await store.onCall(coordination.documentCall.parse(body))
    }
    return { call } as unknown as links.Link
  }
  const start = async (name: string): Promise<void> => {
    stores.set(name, await coordination.startDocumentStore({
      self: name,
      founders: names,
      mayFound: true,
      contacts: () => names,
      maxFailedDisks: 1,
      dataFolder: folderOf(name),
      getPeerLink: getPeerLink(name),
      onChange: () => {},
      onEvacuations: () => {},
      log,
      invariants: telemetry.createInvariants({ log, isFatal: true })
    }))
  }
  for (const name of names) {
    await fs.mkdir(folderOf(name))
    await start(name)
  }
  return {
    stores,
    folderOf,
    partition: name => { partitioned.add(name) },
    async restart (name, begin) {
      await stores.get(name)?.stop()
      const end = await begin(folderOf(name))
      await start(name).finally(end)
    },
    async leader () {
      const deadline = performance.now() + WAIT_MS
      while (performance.now() < deadline) {
        const leader = names.find(name => !partitioned.has(name) && stores.get(name)?.isLeader() === true && stores.get(name)?.isCurrent() === true)
        if (leader !== undefined) return leader
        await timers.setTimeout(20)
      }
      throw new Error(`no leader within ${WAIT_MS} ms`)
    },
    async close () {
      await Promise.all([...stores.values()].map(async store => { await store.stop() }))
      await fs.rm(base, { recursive: true, force: true })
    }
  }
}

function get (group: TestGroup, name: string): coordination.DocumentStore {
  const store = group.stores.get(name)
  if (store === undefined) throw new Error(`no store ${name}`)
  return store
}

function toDocument (version: number, entries = 3): contracts.VersionedText {
  return contracts.toVersionedText(version, Buffer.from(JSON.stringify({ version, routes: Array.from({ length: entries }, (_, i) => ({ name: `r${i}`, timeoutMs: i === version ? 1 : 600 })) })))
}

async function putUntilStored (store: coordination.DocumentStore, document: contracts.VersionedText): Promise<void> {
  const deadline = performance.now() + WAIT_MS
  while (performance.now() < deadline) {
    const result = await store.put(document, 2000).catch(() => undefined)
    if (result?.kind === 'stored' || result?.kind === 'held') return
  }
  throw new Error(`document not stored within ${WAIT_MS} ms`)
}

// A partitioned leader may have been replaced, and a newer document stored: a read without a quorum could be stale.
test('a partitioned leader rejects reads', async t => {
  const group = await startGroup(['a', 'b', 'c'])
  const leader = await group.leader()
  await putUntilStored(get(group, leader), toDocument(1))
  t.is((await get(group, leader).read(2000))?.version, 1)
  group.partition(leader)
  t.true(get(group, leader).isLeader(), 'it has not noticed the partition')
  await t.throwsAsync(get(group, leader).read(400))
  await group.close()
})

// An operator repeats a put whose acknowledgement was lost while there is no leader.
test('a repeated or older put is answered without a quorum', async t => {
  const group = await startGroup(['a', 'b', 'c'])
  const leader = await group.leader()
  await putUntilStored(get(group, leader), toDocument(5))
  group.partition(leader)
  t.is((await get(group, leader).put(toDocument(5), 300)).kind, 'held')
  t.is((await get(group, leader).put(toDocument(4), 300)).kind, 'behind')
  t.is((await get(group, leader).put(toDocument(5, 4), 300)).kind, 'conflict')
  await t.throwsAsync(get(group, leader).put(toDocument(6), 300), undefined, 'a newer document needs a quorum')
  await group.close()
})

// Concurrent puts arrive out of order, so the base of a delta that the leader proposes is not always stored.
test('concurrent puts at all instances converge to the highest version', async t => {
  const group = await startGroup(['a', 'b', 'c'])
  await group.leader()
  const versions = [3, 1, 9, 4, 12, 7, 2, 15, 11, 14, 5, 16]
  const results = await Promise.all(versions.map(async (version, i) => await get(group, 'abc'[i % 3]).put(toDocument(version, 200), 8000)))
  t.true(results.every(item => item.kind === 'stored' || item.kind === 'behind'))
  for (const name of ['a', 'b', 'c']) {
    const read = await get(group, name).read(4000)
    t.deepEqual(read, toDocument(16, 200))
  }
  await group.close()
})

/** Puts a folder in place of a file, once a write of it that is in progress has ended. */
async function blockFile (file: string): Promise<void> {
  const deadline = performance.now() + WAIT_MS
  while (true) {
    try {
      await fs.mkdir(file)
      return
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code !== 'EEXIST' || performance.now() > deadline) throw err
    }
    await timers.setTimeout(1)
  }
}

// After a temporary disk failure a replica must restart by itself: its vote may be needed for the next election.
test('a replica restarts after a temporary disk failure', async t => {
  const group = await startGroup(['a', 'b', 'c'])
  const leader = await group.leader()
  await putUntilStored(get(group, leader), toDocument(1))
  const others = ['a', 'b', 'c'].filter(name => name !== leader)
  // A folder in place of the temporary file makes each write of a term or a vote fail.
  const blocked = others.map(name => path.join(group.folderOf(name), 'document', 'meta.new'))
  for (const folder of blocked) await blockFile(folder)
  group.partition(leader)
  await timers.setTimeout(2500)
  t.false(others.some(name => get(group, name).isLeader()), 'no leader without working disks')
  for (const folder of blocked) await fs.rmdir(folder)
  const next = await group.leader()
  t.not(next, leader)
  await putUntilStored(get(group, next), toDocument(2))
  t.is((await get(group, others[0]).read(3000))?.version, 2)
  await group.close()
})

// Guards against a control instance that exits, or wipes its log, because its disk is full at the start.
test.serial('a replica whose disk is full at the start begins once there is room', async t => {
  const group = await startGroup(['a', 'b', 'c'])
  await group.leader()
  await putUntilStored(get(group, 'a'), toDocument(1))
  await group.restart('b', async folder => {
    // An incomplete record, which the start removes by writing the log again.
    await fs.appendFile(path.join(folder, 'document', 'log'), Buffer.from([0, 0, 0, 9, 1]))
    const handle = await fs.open(folder, 'r')
    const prototype = Object.getPrototypeOf(handle) as { writeFile: unknown }
    const { writeFile } = prototype
    prototype.writeFile = async () => { throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' }) }
    return async () => {
      prototype.writeFile = writeFile
      await handle.close()
    }
  })
  t.is((await get(group, 'b').read(WAIT_MS))?.version, 1)
  t.deepEqual(get(group, 'b').status()?.voters.length, 3)
  await group.close()
})

test('an evacuation is committed before it is acknowledged, and does not change the document', async t => {
  const group = await startGroup(['a', 'b', 'c'])
  await group.leader()
  await putUntilStored(get(group, 'a'), toDocument(1))
  t.deepEqual(await get(group, 'b').evacuate({ zone: 'z1', isEvacuated: true }, () => true, WAIT_MS), { revision: 1, zones: ['z1'] })
  t.deepEqual(await get(group, 'c').evacuate({ zone: 'z1', isEvacuated: true }, () => true, WAIT_MS), { revision: 1, zones: ['z1'] }, 'a repeated order')
  t.deepEqual(await get(group, 'a').evacuate({ zone: 'z2', isEvacuated: true }, () => true, WAIT_MS), { revision: 2, zones: ['z1', 'z2'] })
  t.deepEqual(await get(group, 'c').evacuate({ zone: 'z1', isEvacuated: false }, () => true, WAIT_MS), { revision: 3, zones: ['z2'] })
  t.is((await get(group, 'b').read(WAIT_MS))?.version, 1)
  await group.close()
})

test('an evacuation is not acknowledged without a quorum', async t => {
  const group = await startGroup(['a', 'b', 'c'])
  const leader = await group.leader()
  group.partition(leader)
  await t.throwsAsync(get(group, leader).evacuate({ zone: 'z1', isEvacuated: true }, () => true, 400))
  await group.close()
})

// A delayed order that its sender has repeated elsewhere must not undo an order that followed.
test('an order whose sender has given up does not revert a later one', async t => {
  const group = await startGroup(['a', 'b', 'c'])
  await group.leader()
  await get(group, 'a').evacuate({ zone: 'z1', isEvacuated: true }, () => true, WAIT_MS)
  await get(group, 'a').evacuate({ zone: 'z1', isEvacuated: false }, () => true, WAIT_MS)
  await t.throwsAsync(get(group, 'b').evacuate({ zone: 'z1', isEvacuated: true }, () => false, WAIT_MS))
  // A repeated order reads the committed zones; a follower may not have applied them yet.
  t.deepEqual(await get(group, 'a').evacuate({ zone: 'z1', isEvacuated: false }, () => true, WAIT_MS), { revision: 2, zones: [] })
  while (get(group, 'a').evacuations().revision < 2) await timers.setTimeout(10)
  t.deepEqual(get(group, 'a').evacuations().zones, [])
  await group.close()
})

test('concurrent orders for different zones are all stored', async t => {
  const group = await startGroup(['a', 'b', 'c'])
  await group.leader()
  const zones = ['z1', 'z2', 'z3', 'z4']
  await Promise.all(zones.map(async (zone, i) => await get(group, ['a', 'b', 'c'][i % 3]).evacuate({ zone, isEvacuated: true }, () => true, WAIT_MS)))
  t.deepEqual(await get(group, 'a').evacuate({ zone: 'z1', isEvacuated: true }, () => true, WAIT_MS), { revision: 4, zones })
  await group.close()
})
