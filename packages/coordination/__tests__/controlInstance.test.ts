/** Control instances over loopback, with data folders on disk. */
import * as ava from 'ava'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs/promises'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as coordination from '../src/index.js'
import * as freeAddresses from './helpers/freeAddress.js'

const test = ava.default
const WAIT_MS = 20_000

interface TestInstance { inner: string, folder: string, control: coordination.ControlInstance }

async function start (inner: string, founders: string[], folder: string, mayFound: boolean): Promise<TestInstance> {
  const log = telemetry.createLog({ instance: inner, level: 'silent' })
  const control = await coordination.startControlInstance({
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
  return { inner, folder, control }
}

async function startFleet (count: number): Promise<TestInstance[]> {
  const addresses = await Promise.all(Array.from({ length: count }, freeAddresses.findFreeAddress))
  return await Promise.all(addresses.map(async inner => await start(inner, addresses.slice(0, 3), await fs.mkdtemp(path.join(os.tmpdir(), 'kcd-')), true)))
}

async function until (description: string, isTrue: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_MS
  while (!isTrue()) {
    if (performance.now() > deadline) throw new Error(`timed out after ${WAIT_MS} ms waiting until ${description}`)
    await timers.setTimeout(20)
  }
}

function toDocument (version: number, text: string): contracts.VersionedText {
  return contracts.toVersionedText(version, Buffer.from(text))
}

function toText (document: contracts.VersionedText | null): string | undefined {
  return document?.text.toString()
}

async function stopAll (instances: TestInstance[], isLast = true): Promise<void> {
  await Promise.all(instances.map(async item => { await item.control.stop() }))
  if (isLast) await Promise.all(instances.map(async item => { await fs.rm(item.folder, { recursive: true, force: true }) }))
}

test('the highest version wins, a repeated put is acknowledged, other content of the same version is a conflict', async t => {
  const instances = await startFleet(4)
  await until('all are current', () => instances.every(item => item.control.store.isCurrent()))
  t.is((await instances[3].control.store.put(toDocument(5, 'five'), 5000)).kind, 'stored')
  t.is((await instances[0].control.store.put(toDocument(5, 'five'), 5000)).kind, 'held')
  t.is((await instances[1].control.store.put(toDocument(3, 'three'), 5000)).kind, 'behind')
  t.is((await instances[2].control.store.put(toDocument(5, 'other'), 5000)).kind, 'conflict')
  for (const item of instances) t.is(toText(await item.control.store.read(5000)), 'five')
  await stopAll(instances)
})

// An operator may read the document at another instance directly after a put.
test('a read at any instance includes acknowledged puts', async t => {
  const instances = await startFleet(3)
  await until('all are current', () => instances.every(item => item.control.store.isCurrent()))
  for (let version = 1; version <= 12; version++) {
    await instances[version % 3].control.store.put(toDocument(version, `v${version}`), 5000)
    t.is(toText(await instances[(version + 1) % 3].control.store.read(5000)), `v${version}`)
  }
  await stopAll(instances)
})

// Entry instances depend on the first control instance that restarts, before there is a leader.
test('a restarted instance has the document and the records without a quorum', async t => {
  const instances = await startFleet(3)
  await until('all are current', () => instances.every(item => item.control.store.isCurrent()))
  await instances[0].control.store.put(toDocument(7, 'seven'), 5000)
  const record: discovery.EndpointRecord = { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0 }
  await instances[0].control.announce(record)
  await until('all have both', () => instances.every(item => item.control.store.latest()?.version === 7 && item.control.table.get('e1') !== undefined))
  await timers.setTimeout(200)
  await stopAll(instances, false)
  const founders = instances.map(item => item.inner)
  const alone = await start(instances[1].inner, founders, instances[1].folder, false)
  t.is(toText(alone.control.store.latest()), 'seven')
  t.is(alone.control.table.get('e1')?.record.state, 'ready')
  t.false(alone.control.store.isCurrent())
  await t.throwsAsync(alone.control.store.read(300), undefined, 'a read needs a quorum')
  await stopAll([alone], false)
  for (const item of instances) await fs.rm(item.folder, { recursive: true, force: true })
})

// An endpoint may stop after one instance acknowledged "leaving".
test('an acknowledged change is known to all control instances', async t => {
  const instances = await startFleet(3)
  await until('all are current', () => instances.every(item => item.control.store.isCurrent()))
  const record: discovery.EndpointRecord = { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0 }
  await instances[0].control.announce(record)
  await instances[2].control.announce({ ...record, seq: 2, state: 'leaving' })
  for (const item of instances) t.is(item.control.table.get('e1')?.record.state, 'leaving')
  await stopAll(instances)
})

// After a loss of power, entry instances take the evacuated zones from control instances that restart.
test('acknowledged evacuations survive a restart of all instances, and are handed out before there is a leader', async t => {
  const instances = await startFleet(3)
  await until('all are current', () => instances.every(item => item.control.store.isCurrent()))
  await instances[0].control.store.put(toDocument(7, 'seven'), 5000)
  await instances[1].control.store.evacuate({ zone: 'z1', isEvacuated: true }, () => true, 5000)
  await until('all have it', () => instances.every(item => item.control.store.evacuations().revision === 1))
  await timers.setTimeout(500)
  await stopAll(instances, false)
  const founders = instances.map(item => item.inner)
  const handout = discovery.readHandout(instances[2].folder)
  t.deepEqual(handout === undefined ? undefined : discovery.decodeReply(handout).evacuations, { revision: 1, zones: ['z1'] })
  const alone = await start(instances[1].inner, founders, instances[1].folder, false)
  t.deepEqual(alone.control.store.evacuations(), { revision: 1, zones: ['z1'] })
  await stopAll([alone], false)
  for (const item of instances) await fs.rm(item.folder, { recursive: true, force: true })
})

// Two processes must not write to one data folder, and a restart must not fail because it is quicker than the end of the process before.
test('a start waits for the address of the process before, and then opens the data folder', async t => {
  const inner = await freeAddresses.findFreeAddress()
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'kcd-'))
  const before = net.createServer()
  await new Promise<void>(resolve => { before.listen({ ...links.parseAddress(inner) }, resolve) })
  const starting = start(inner, [inner], folder, true)
  starting.catch(() => {})
  await timers.setTimeout(300)
  t.deepEqual(await fs.readdir(folder), [])
  before.close()
  const instance = await starting
  await stopAll([instance])
})

// Guards against "Cannot access 'publisher' before initialization".
test('calls and events of other instances during the start break nothing', async t => {
  const [inner, other] = await Promise.all([freeAddresses.findFreeAddress(), freeAddresses.findFreeAddress()])
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'kcd-'))
  const records = path.join(folder, 'records')
  childProcess.execFileSync('mkfifo', [records])
  const log = telemetry.createLog({ instance: other, level: 'silent' })
  const replies: Array<Promise<unknown>> = []
  const lost: links.CloseReason[] = []
  const cfg: links.LinkSettings = { identity: { role: 'control', id: other }, secret: 'test', log, handlers: { onEvent () {}, async onCall () { throw new Error('not a member yet') }, onClose: (link, reason) => { lost.push(reason) } } }
  const talk = (link: links.Link): void => {
    replies.push(link.call({ t: 'fetch', version: 0 } satisfies discovery.DiscoveryCall, WAIT_MS))
    link.send({ t: 'signs', signs: [] } satisfies discovery.DiscoveryEvent)
  }
  const peer = await links.listen(other, cfg, talk)
  const starting = start(inner, [inner, other], folder, false)
  await links.dial(inner, cfg).then(talk, () => {})
  await timers.setTimeout(300)
  await fs.writeFile(records, '')
  const instance = await starting
  await until('the other instance was called', () => replies.length > 0)
  for (const reply of await Promise.all(replies)) t.is(discovery.discoveryReply.parse(reply).version, 0)
  t.deepEqual(lost, [])
  await stopAll([instance])
  await peer.close()
})
