/** Control instances over loopback, with real folders. */
import * as ava from 'ava'
import * as fs from 'node:fs/promises'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import type * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as coordination from '../src/index.js'

const test = ava.default
const WAIT_MS = 20_000

async function freeAddress (): Promise<string> {
  const server = net.createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  await new Promise(resolve => { server.close(resolve) })
  return `127.0.0.1:${port}`
}

interface TestNode { inner: string, folder: string, node: coordination.ControlInstance }

async function start (inner: string, founders: string[], folder: string, mayFound: boolean): Promise<TestNode> {
  const log = telemetry.createLog({ instance: inner, level: 'silent' })
  const node = await coordination.startControlInstance({
    inner,
    founders,
    mayFound,
    contacts: () => founders,
    maxFailedDisks: 1,
    dataFolder: folder,
    secret: 'test',
    log,
    invariants: telemetry.createInvariants({ log, isFatal: true })
  })
  return { inner, folder, node }
}

async function startFleet (count: number): Promise<TestNode[]> {
  const addresses = await Promise.all(Array.from({ length: count }, freeAddress))
  return await Promise.all(addresses.map(async inner => await start(inner, addresses.slice(0, 3), await fs.mkdtemp(path.join(os.tmpdir(), 'kcd-')), true)))
}

async function until (what: string, holds: () => boolean): Promise<void> {
  const end = performance.now() + WAIT_MS
  while (!holds()) {
    if (performance.now() > end) throw new Error(`waited in vain until ${what}`)
    await timers.setTimeout(20)
  }
}

function toDocument (version: number, text: string): contracts.VersionedText {
  return contracts.toVersionedText(version, Buffer.from(text))
}

function toText (held: contracts.VersionedText | null): string | undefined {
  return held?.text.toString()
}

async function stopAll (nodes: TestNode[], isLast = true): Promise<void> {
  await Promise.all(nodes.map(async item => { await item.node.stop() }))
  if (isLast) await Promise.all(nodes.map(async item => { await fs.rm(item.folder, { recursive: true, force: true }) }))
}

test('the highest version wins, a resend is taken again, other content under a held version is a conflict', async t => {
  const nodes = await startFleet(4)
  await until('all are current', () => nodes.every(item => item.node.store.isCurrent()))
  t.is((await nodes[3].node.store.put(toDocument(5, 'five'), 5000)).kind, 'stored')
  t.is((await nodes[0].node.store.put(toDocument(5, 'five'), 5000)).kind, 'held')
  t.is((await nodes[1].node.store.put(toDocument(3, 'three'), 5000)).kind, 'behind')
  t.is((await nodes[2].node.store.put(toDocument(5, 'other'), 5000)).kind, 'conflict')
  for (const item of nodes) t.is(toText(await item.node.store.read(5000)), 'five')
  await stopAll(nodes)
})

// An operator is told "accepted" and reads the configuration back at another instance at once.
test('a read after an acknowledgement finds it, at whichever instance', async t => {
  const nodes = await startFleet(3)
  await until('all are current', () => nodes.every(item => item.node.store.isCurrent()))
  for (let version = 1; version <= 12; version++) {
    await nodes[version % 3].node.store.put(toDocument(version, `v${version}`), 5000)
    t.is(toText(await nodes[(version + 1) % 3].node.store.read(5000)), `v${version}`)
  }
  await stopAll(nodes)
})

// All control instances are killed at once. Entry instances that ask the first one that is back must get the document and the
// endpoints from it, before there is a leader again.
test('restarted instances know the document and the records at once', async t => {
  const nodes = await startFleet(3)
  await until('all are current', () => nodes.every(item => item.node.store.isCurrent()))
  await nodes[0].node.store.put(toDocument(7, 'seven'), 5000)
  const record: discovery.EndpointRecord = { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0 }
  await nodes[0].node.announce(record)
  await until('all have it', () => nodes.every(item => item.node.store.latest()?.version === 7 && item.node.table.get('e1') !== undefined))
  await timers.setTimeout(200)
  await stopAll(nodes, false)
  const founders = nodes.map(item => item.inner)
  const alone = await start(nodes[1].inner, founders, nodes[1].folder, false)
  t.is(toText(alone.node.store.latest()), 'seven')
  t.is(alone.node.table.get('e1')?.record.state, 'ready')
  t.false(alone.node.store.isCurrent())
  await t.throwsAsync(alone.node.store.read(300), undefined, 'a read needs a quorum')
  await stopAll([alone], false)
  for (const item of nodes) await fs.rm(item.folder, { recursive: true, force: true })
})

// An endpoint is told that it may leave by one instance; the others must know it then.
test('a change is known to all control instances when it is acknowledged', async t => {
  const nodes = await startFleet(3)
  await until('all are current', () => nodes.every(item => item.node.store.isCurrent()))
  const record: discovery.EndpointRecord = { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0 }
  await nodes[0].node.announce(record)
  await nodes[2].node.announce({ ...record, seq: 2, state: 'leaving' })
  for (const item of nodes) t.is(item.node.table.get('e1')?.record.state, 'leaving')
  await stopAll(nodes)
})
