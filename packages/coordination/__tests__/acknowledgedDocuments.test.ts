/** Documents after a loss of all processes, as control instances hand them out before there is a leader. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
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
  return await coordination.startControlInstance({ inner, founders, mayFound, contacts: () => founders, maxFailedDisks: 1, dataFolder: folder, secret: SECRET, log, invariants: telemetry.createInvariants({ log, isFatal: true }) })
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
  await controls[0].store.put(toDocument(7), 5000)
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
