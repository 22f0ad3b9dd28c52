/** Evacuations after a loss of all processes, as entry instances learn of them before there is a leader. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as coordination from '../src/index.js'
import * as freeAddresses from './helpers/freeAddress.js'

const test = ava.default
const SECRET = 'test'
const WAIT_MS = 20_000
/** How long an entry instance asks a control instance that may not know. */
const ASK_MS = 3000

function makeFolder (t: ava.ExecutionContext): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'evacuations-'))
  t.teardown(() => { fs.rmSync(folder, { recursive: true, force: true }) })
  return folder
}

async function start (inner: string, founders: string[], folder: string, mayFound: boolean): Promise<coordination.ControlInstance> {
  const log = telemetry.createLog({ instance: inner, level: 'silent' })
  return await coordination.startControlInstance({ inner, founders, mayFound, contacts: () => founders, maxFailedDisks: 1, dataFolder: folder, secret: SECRET, log, invariants: telemetry.createInvariants({ log, isFatal: true }) })
}

async function until (isTrue: () => boolean, timeoutMs: number): Promise<boolean> {
  for (const deadline = performance.now() + timeoutMs; performance.now() < deadline;) {
    if (isTrue()) return true
    await timers.setTimeout(20)
  }
  return isTrue()
}

/** A fleet whose disks are copied at one moment, as a loss of power at that moment leaves them. */
interface Fleet { addresses: string[], controls: coordination.ControlInstance[], copyDisks: () => string[], stop: () => Promise<void> }

async function startFleet (t: ava.ExecutionContext): Promise<Fleet> {
  const addresses = await Promise.all([1, 2, 3].map(freeAddresses.findFreeAddress))
  const folders = addresses.map(() => makeFolder(t))
  const controls = await Promise.all(addresses.map(async (inner, i) => await start(inner, addresses, folders[i], true)))
  t.true(await until(() => controls.every(item => item.store.isCurrent()), WAIT_MS))
  await controls[0].store.put(contracts.toVersionedText(7, Buffer.from('{}')), 5000)
  t.true(await until(() => controls.every(item => item.store.latest()?.version === 7), WAIT_MS))
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

/** Returns whether an entry instance that reaches one control instance only, without a leader, treats a zone as evacuated. */
async function isKnownAlone (fleet: Fleet, i: number, folder: string, zone: string): Promise<boolean> {
  const control = await start(fleet.addresses[i], fleet.addresses, folder, false)
  const log = telemetry.createLog({ instance: 'entry', level: 'silent' })
  let zones: string[] = []
  const handlers: links.LinkHandlers = {
    onEvent (body, link) { subscriber.onEvent(discovery.discoveryEvent.parse(body), link) },
    async onCall () { throw new Error('unexpected call to an entry instance') }
  }
  const subscriber = discovery.createSubscriber({
    id: 'entry',
    seeds: () => [fleet.addresses[i]],
    table: discovery.createRecordTable(),
    dial: async address => await links.dial(address, { identity: { role: 'router', id: 'entry' }, secret: SECRET, log, handlers }),
    self: () => ({ kind: 'entry', id: 'entry', startedAt: 1, seq: 1, zone: 'z', region: 'r', front: '127.0.0.1:1', inner: '127.0.0.1:2', state: 'ready' }),
    onDocument () {},
    onEvacuations (received) { zones = received.zones },
    onRecords () {},
    log
  })
  subscriber.start()
  const isKnown = await until(() => zones.includes(zone), ASK_MS)
  subscriber.stop()
  await control.stop()
  return isKnown
}

// All power may be lost right after the acknowledgment, before any follower knows that the order is committed.
test('an acknowledged evacuation is known to a majority of the control instances that start again', async t => {
  const fleet = await startFleet(t)
  await fleet.controls[1].store.evacuate({ zone: 'z1', isEvacuated: true }, () => true, 5000)
  const copies = fleet.copyDisks()
  await fleet.stop()
  let known = 0
  for (const [i, copy] of copies.entries()) if (await isKnownAlone(fleet, i, copy, 'z1')) known++
  t.true(known >= 2, `known to ${known} of 3`)
})

// What is served before the log is read was written a quarter of a second after the acknowledgment.
test('an acknowledged evacuation is in the files that a majority of the control instances serve at once', async t => {
  const fleet = await startFleet(t)
  for (const [i, zone] of ['z1', 'z2', 'z3'].entries()) {
    await fleet.controls[i].store.evacuate({ zone, isEvacuated: true }, () => true, 5000)
    const reports = fleet.copyDisks().map(folder => discovery.decodeEvacuations(discovery.readHandout(folder, discovery.EVACUATIONS_FILE) ?? new Uint8Array()))
    t.true(reports.filter(item => [...item.zones, ...item.pending ?? []].includes(zone)).length >= 2, JSON.stringify(reports))
  }
  await fleet.stop()
})

// An evacuation that has ended must not come back from the log of an instance that was down meanwhile.
test('orders that were decided are no longer pending', async t => {
  const fleet = await startFleet(t)
  for (const isEvacuated of [true, false, true, false]) await fleet.controls[0].store.evacuate({ zone: 'z1', isEvacuated }, () => true, 5000)
  t.true(await until(() => fleet.controls.every(item => item.store.evacuations().revision === 4), WAIT_MS))
  for (const item of fleet.controls) t.deepEqual(item.store.evacuationReport(), { revision: 4, zones: [] })
  await fleet.stop()
})

// With a majority alone, the first reports after a loss of all processes may come from the others.
test('an evacuation is acknowledged once all control instances have it, if they are reachable', async t => {
  const fleet = await startFleet(t)
  for (let i = 0; i < 10; i++) {
    const zone = `z${i}`
    await fleet.controls[i % 3].store.evacuate({ zone, isEvacuated: true }, () => true, 5000)
    for (const item of fleet.controls) {
      const { zones, pending = [] } = item.store.evacuationReport()
      t.true([...zones, ...pending].includes(zone))
    }
  }
  await fleet.stop()
})
