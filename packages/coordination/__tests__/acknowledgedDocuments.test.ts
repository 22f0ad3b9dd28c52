/** Documents after a loss of all processes, as control instances hand them out before there is a leader. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as documentKeepings from '../src/documentKeeping.js'
import * as coordination from '../src/index.js'
import * as freeAddresses from './helpers/freeAddress.js'

const test = ava.default
const SECRET = 'test'
const WAIT_MS = 20_000
/** Several times the delay of the handout file. */
const REWRITE_MS = 1000

function makeFolder (t: ava.ExecutionContext): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'documents-'))
  t.teardown(() => { fs.rmSync(folder, { recursive: true, force: true }) })
  return folder
}

async function start (inner: string, founders: string[], folder: string, mayFound: boolean): Promise<coordination.ControlInstance> {
  const log = telemetry.createLog({ instance: inner, level: 'silent' })
  return await coordination.startControlInstance({ inner, founders, mayFound, contacts: () => founders, maxFailedDisks: 1, dataFolder: folder, keepTimeoutMs: WAIT_MS, secret: SECRET, log, invariants: telemetry.createInvariants({ log, isFatal: true }) })
}

async function until (isTrue: () => boolean): Promise<boolean> {
  for (const deadline = performance.now() + WAIT_MS; performance.now() < deadline;) {
    if (isTrue()) return true
    await timers.setTimeout(20)
  }
  return isTrue()
}

function toDocument (version: number): contracts.VersionedText {
  return contracts.toVersionedText(version, Buffer.from(`{"version":${version}}`))
}

function readHandoutVersion (folder: string): number {
  const body = discovery.readHandout(folder)
  return body === undefined ? 0 : discovery.decodeReply(body).version
}

/** A fleet whose disks are copied at one moment, as a loss of power at that moment leaves them. */
interface Fleet { addresses: string[], controls: coordination.ControlInstance[], copyDisks: () => string[], stop: () => Promise<void> }

async function startFleet (t: ava.ExecutionContext): Promise<Fleet> {
  const addresses = await Promise.all([1, 2, 3].map(freeAddresses.findFreeAddress))
  const folders = addresses.map(() => makeFolder(t))
  const controls = await Promise.all(addresses.map(async (inner, i) => await start(inner, addresses, folders[i], true)))
  t.true(await until(() => controls.every(item => item.store.isCurrent())))
  await controls[0].store.put(toDocument(7), WAIT_MS)
  t.true(await until(() => controls.every(item => item.store.latest()?.version === 7)))
  return {
    addresses,
    controls,
    copyDisks: () => folders.map(folder => {
      const copy = makeFolder(t)
      fs.cpSync(folder, copy, { recursive: true })
      return copy
    }),
    stop: async () => { await Promise.all(controls.map(async item => { await item.stop() })) }
  }
}

// Instances whose handout had missed the document served by it until a majority had started.
test('an acknowledged document is in the handout files of all control instances that can be reached', async t => {
  const fleet = await startFleet(t)
  for (let i = 0; i < 9; i++) {
    const document = toDocument(8 + Math.floor(i / 3))
    // Each version is sent three times, to other instances: repeats are acknowledgements too.
    await fleet.controls[i % 3].store.put(document, WAIT_MS)
    t.deepEqual(fleet.copyDisks().map(readHandoutVersion), [1, 2, 3].map(() => document.version))
  }
  await fleet.stop()
})

// Without a leader, the replica does not know that the last entry of its log is committed, and its older document replaced the handout.
test('a control instance that starts alone has the document of its handout file, and keeps it', async t => {
  const fleet = await startFleet(t)
  const copies = fleet.copyDisks()
  await fleet.stop()
  for (const [i, folder] of copies.entries()) {
    const reply: discovery.DiscoveryReply = { records: null, controls: [], version: 8, document: contracts.packFull(toDocument(8)) }
    fs.writeFileSync(path.join(folder, discovery.HANDOUT_FILE), discovery.packHandout(discovery.encodeReply(reply)))
    const control = await start(fleet.addresses[i], fleet.addresses, folder, false)
    t.is(control.store.latest()?.version, 8)
    await control.announce({ kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '127.0.0.1:80', slots: 8, coldMs: 0 })
    await timers.setTimeout(REWRITE_MS)
    t.is(readHandoutVersion(folder), 8)
    await control.stop()
  }
})

// The next document is sent as a delta from the document that the log has.
test('a fleet whose logs are behind its handout files goes on with the next document', async t => {
  const fleet = await startFleet(t)
  await fleet.controls[0].store.put(toDocument(8), WAIT_MS)
  const copies = fleet.copyDisks()
  await fleet.stop()
  const controls = await Promise.all(copies.map(async (folder, i) => await start(fleet.addresses[i], fleet.addresses, folder, false)))
  t.deepEqual(controls.map(item => item.store.latest()?.version), [8, 8, 8])
  t.true(await until(() => controls.every(item => item.store.isCurrent())))
  t.is((await controls[1].store.put(toDocument(9), WAIT_MS)).kind, 'stored')
  t.is((await controls[2].store.read(WAIT_MS))?.version, 9)
  t.true(await until(() => controls.every(item => item.store.latest()?.version === 9)))
  await Promise.all(controls.map(async item => { await item.stop() }))
})

async function listen (t: ava.ExecutionContext, onCall: links.LinkHandlers['onCall']): Promise<string> {
  const log = telemetry.createLog({ instance: 'peer', level: 'silent' })
  const opened: links.Link[] = []
  const server = await links.listen('127.0.0.1:0', { identity: { role: 'control', id: 'peer' }, secret: SECRET, log, handlers: { onEvent () {}, onCall } }, link => { opened.push(link) })
  t.teardown(async () => {
    for (const link of opened) link.close()
    await server.close()
  })
  return `127.0.0.1:${server.port}`
}

function createKeeping (t: ava.ExecutionContext, addresses: string[]): ReturnType<typeof documentKeepings.createFleetKeeping> {
  const log = telemetry.createLog({ instance: 'self', level: 'silent' })
  const dial = async (address: string): Promise<links.Link> => {
    const link = await links.dial(address, { identity: { role: 'control', id: 'self' }, secret: SECRET, log, handlers: { onEvent () {}, async onCall () {} } })
    t.teardown(() => { link.close() })
    return link
  }
  return documentKeepings.createFleetKeeping({ keep: async version => ({ version }), peerAddresses: () => addresses, getPeerLink: dial, timeoutMs: WAIT_MS })
}

// Earlier versions do not know the call.
test('an instance that is down or rejects the call does not fail an acknowledgement, and is asked again', async t => {
  const calls: unknown[] = []
  const rejecting = await listen(t, async body => {
    calls.push(body)
    throw new Error('unknown call')
  })
  const keepEverywhere = createKeeping(t, [rejecting, await freeAddresses.findFreeAddress()])
  for (let i = 0; i < 2; i++) await keepEverywhere(8, WAIT_MS)
  t.true(await until(() => calls.length === 2))
})

test('an instance that does not answer delays the acknowledgement for no longer than the given time', async t => {
  const calls: unknown[] = []
  const silent = await listen(t, async body => {
    calls.push(body)
    return await new Promise(() => {})
  })
  const keepEverywhere = createKeeping(t, [silent])
  t.is(await Promise.race([keepEverywhere(8, 50).then(() => 'over'), timers.setTimeout(WAIT_MS, 'late')]), 'over')
  t.true(await until(() => calls.length === 1))
  t.deepEqual(calls, [{ t: 'keep', version: 8 }])
})

// Guards against each acknowledgement being late while one instance is frozen.
test('an instance that did not answer is not waited for until it has answered again', async t => {
  const calls: unknown[] = []
  let answer = (): void => {}
  const peer = await listen(t, async body => {
    calls.push(body)
    if (calls.length === 1) throw new Error('not now')
    await new Promise<void>(resolve => { answer = resolve })
    return { version: 7 + calls.length } satisfies documentKeepings.KeepReply
  })
  const keepEverywhere = createKeeping(t, [peer])
  await keepEverywhere(8, WAIT_MS)
  t.is(await Promise.race([keepEverywhere(9, WAIT_MS).then(() => 'over'), timers.setTimeout(WAIT_MS / 2, 'late')]), 'over')
  t.true(await until(() => calls.length === 2))
  answer()
  let isWaitedFor = false
  for (let version = 10; !isWaitedFor && version < 100; version++) {
    let isOver = false
    const kept = keepEverywhere(version, WAIT_MS).then(() => { isOver = true })
    t.true(await until(() => calls.length === version - 7))
    isWaitedFor = !isOver
    answer()
    await kept
  }
  t.true(isWaitedFor)
})

test('what an instance is known to keep is not asked again', async t => {
  const calls: unknown[] = []
  const peer = await listen(t, async body => {
    calls.push(body)
    return { version: 9 } satisfies documentKeepings.KeepReply
  })
  const keepEverywhere = createKeeping(t, [peer])
  for (const version of [8, 9, 8, 10]) await keepEverywhere(version, WAIT_MS)
  t.deepEqual(calls, [{ t: 'keep', version: 8 }, { t: 'keep', version: 10 }])
})

test('a document is kept once its file is written, and not if the instance does not get it', async t => {
  let held = 7
  let written = 7
  const keep = documentKeepings.createKeepDocument({ version: () => held, file: { writtenVersion: () => written, async saveNow () { written = held } }, timeoutMs: 100 })
  t.deepEqual(await keep(7), { version: 7 })
  await t.throwsAsync(async () => await keep(8), { message: /version 8 is not in the handout file/ })
  const kept = keep(9)
  held = 9
  t.deepEqual(await kept, { version: 9 })
})

// A loop that does not wait would keep the process from everything else.
test('an instance whose disk refuses the file goes on with other work', async t => {
  let attempts = 0
  const keep = documentKeepings.createKeepDocument({ version: () => 8, file: { writtenVersion: () => 7, async saveNow () { attempts++ } }, timeoutMs: 100 })
  let turns = 0
  const timer = setInterval(() => { turns++ }, 1)
  await t.throwsAsync(async () => await keep(8))
  clearInterval(timer)
  t.true(turns > 0)
  t.true(attempts > 0)
})
