/** The stores of a group in one process, whose links the test cuts. */
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
  /** Cuts a store off from all others, both ways. */
  cut: (name: string) => void
  leader: () => Promise<string>
  close: () => Promise<void>
}

async function startGroup (names: string[]): Promise<TestGroup> {
  const base = await fs.mkdtemp(path.join(os.tmpdir(), 'kcd-'))
  const stores = new Map<string, coordination.DocumentStore>()
  const cut = new Set<string>()
  const folderOf = (name: string): string => path.join(base, name)
  const reach = (from: string) => async (to: string): Promise<links.Link> => {
    const call = async (body: unknown): Promise<unknown> => {
      const store = stores.get(to)
      if (store === undefined || cut.has(from) || cut.has(to)) throw new Error(`${to} cannot be reached`)
      return await store.onCall(coordination.documentCall.parse(body))
    }
    return { call } as unknown as links.Link
  }
  for (const name of names) {
    await fs.mkdir(folderOf(name))
    stores.set(name, await coordination.startDocumentStore({
      self: name,
      founders: names,
      mayFound: true,
      contacts: () => names,
      maxFailedDisks: 1,
      dataFolder: folderOf(name),
      getPeerLink: reach(name),
      onChange: () => {},
      log,
      invariants: telemetry.createInvariants({ log, isFatal: true })
    }))
  }
  return {
    stores,
    folderOf,
    cut: name => { cut.add(name) },
    async leader () {
      const end = performance.now() + WAIT_MS
      while (performance.now() < end) {
        const led = names.find(name => !cut.has(name) && stores.get(name)?.isLeader() === true && stores.get(name)?.isCurrent() === true)
        if (led !== undefined) return led
        await timers.setTimeout(20)
      }
      throw new Error('waited in vain for a leader')
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
  const end = performance.now() + WAIT_MS
  while (performance.now() < end) {
    const result = await store.put(document, 2000).catch(() => undefined)
    if (result?.kind === 'stored' || result?.kind === 'held') return
  }
  throw new Error('waited in vain for a document to be stored')
}

// A leader that froze thaws behind a partition and still believes that it leads. Others may have accepted a newer document
// meanwhile, so an operator who reads there must not be told the old one: with no quorum to ask there is no answer.
test('a leader that is cut off answers no read', async t => {
  const group = await startGroup(['a', 'b', 'c'])
  const leader = await group.leader()
  await putUntilStored(get(group, leader), toDocument(1))
  t.is((await get(group, leader).read(2000))?.version, 1)
  group.cut(leader)
  t.true(get(group, leader).isLeader(), 'it still believes that it leads')
  await t.throwsAsync(get(group, leader).read(400))
  await group.close()
})

// An operator's acknowledgement is lost, and the same document is sent again while the control instances have no leader. It
// is held already: there is nothing to decide, and refusing it would leave the operator in doubt.
test('a document that is held is acknowledged again without a quorum', async t => {
  const group = await startGroup(['a', 'b', 'c'])
  const leader = await group.leader()
  await putUntilStored(get(group, leader), toDocument(5))
  group.cut(leader)
  t.is((await get(group, leader).put(toDocument(5), 300)).kind, 'held')
  t.is((await get(group, leader).put(toDocument(4), 300)).kind, 'behind')
  t.is((await get(group, leader).put(toDocument(5, 4), 300)).kind, 'conflict')
  await t.throwsAsync(get(group, leader).put(toDocument(6), 300), undefined, 'a newer one needs a quorum')
  await group.close()
})

// Two operators race: versions arrive out of order at several instances at once. The leader proposes each as the difference
// from the one before, which did not always come to be held.
test('documents that race at all instances end at the highest version, whole', async t => {
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

// The disk of a control instance takes no writes for some seconds. Its replica cannot go on, but it must come back by itself:
// when the leader is lost afterwards, its vote is needed.
test('a replica whose disk failed is there again when the disk is', async t => {
  const group = await startGroup(['a', 'b', 'c'])
  const leader = await group.leader()
  await putUntilStored(get(group, leader), toDocument(1))
  const others = ['a', 'b', 'c'].filter(name => name !== leader)
  // A folder where the file is to be written: each write of a term or a vote fails.
  const blocked = others.map(name => path.join(group.folderOf(name), 'document', 'meta.new'))
  for (const folder of blocked) await fs.mkdir(folder)
  group.cut(leader)
  await timers.setTimeout(2500)
  t.false(others.some(name => get(group, name).isLeader()), 'nobody leads without a disk')
  for (const folder of blocked) await fs.rmdir(folder)
  const next = await group.leader()
  t.not(next, leader)
  await putUntilStored(get(group, next), toDocument(2))
  t.is((await get(group, others[0]).read(3000))?.version, 2)
  await group.close()
})
