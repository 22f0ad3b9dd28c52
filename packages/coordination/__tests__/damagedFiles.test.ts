/** Starts of a control instance with damaged, odd and missing files in its data folder. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as zlib from 'node:zlib'
import * as ava from 'ava'
import * as cbor from 'cbor-x'
import * as fc from 'fast-check'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as coordination from '../src/index.js'

const test = ava.default
const WAIT_MS = 20_000
const HOST = `127.${200 + (process.pid >> 8) % 50}.${process.pid % 256}.1`
let nextPort = 21_000

const record: discovery.EndpointRecord = { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0 }

async function start (folder: string, inner: string, mayFound: boolean, events: string[] = []): Promise<coordination.ControlInstance> {
  const log: telemetry.Log = { event (name) { events.push(name) } }
  return await coordination.startControlInstance({ inner, founders: [inner], mayFound, contacts: () => [inner], maxFailedDisks: 0, dataFolder: folder, secret: 'test', log, invariants: telemetry.createInvariants({ log, isFatal: true }) })
}

async function until (isTrue: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_MS
  while (!isTrue()) {
    if (performance.now() > deadline) throw new Error('timed out')
    await timers.setTimeout(10)
  }
}

/** Creates the data folder of an instance that stored two documents and a record. */
async function createFolder (t: ava.ExecutionContext): Promise<{ sound: string, inner: string }> {
  const inner = `${HOST}:${nextPort++}`
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kcd-'))
  t.teardown(() => { fs.rmSync(folder, { recursive: true, force: true }) })
  const instance = await start(folder, inner, true)
  await until(() => instance.store.isCurrent() && instance.store.isLeader())
  for (const version of [6, 7]) await instance.store.put(contracts.toVersionedText(version, Buffer.from(`version ${version}`)), WAIT_MS)
  await instance.announce(record)
  await until(() => fs.existsSync(path.join(folder, 'records')) && fs.existsSync(path.join(folder, discovery.HANDOUT_FILE)))
  await instance.stop()
  return { sound: folder, inner }
}

/** Values that match no schema, or only in part. */
const oddValue = fc.oneof(fc.anything({ withNullPrototype: false }), fc.constantFrom<unknown>([null], [record, { ...record, id: 7 }], [{ ...record, address: '1.2.3.4:99999' }], { records: 1 }, { index: 1e308, term: -1, body: { kind: 'noop' } }))

type Damage = { kind: 'missing' | 'empty' | 'folder' } | { kind: 'cut' | 'zeros', at: number } | { kind: 'random', bytes: Uint8Array } | { kind: 'odd', value: unknown }

const damage: fc.Arbitrary<Damage> = fc.oneof(
  fc.record({ kind: fc.constantFrom('missing' as const, 'empty' as const, 'folder' as const) }),
  fc.record({ kind: fc.constantFrom('cut' as const, 'zeros' as const), at: fc.double({ min: 0, max: 1, noNaN: true }) }),
  fc.record({ kind: fc.constant('random' as const), bytes: fc.uint8Array({ minLength: 1, maxLength: 300 }) }),
  fc.record({ kind: fc.constant('odd' as const), value: oddValue })
)

const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/** Returns an odd value in the form of a file, with the right digest. */
function toOddContent (file: string, value: unknown): Buffer {
  switch (file) {
    case 'records': {
      const text = JSON.stringify(value, (key, item: unknown) => typeof item === 'bigint' ? String(item) : item) ?? 'null'
      return Buffer.from(`${contracts.sha256(text)}\n${text}`)
    }
    case discovery.HANDOUT_FILE: return discovery.packHandout(codec.encode(value))
    default: {
      const payload = codec.encode(value)
      const head = Buffer.alloc(8)
      head.writeUInt32BE(payload.length, 0)
      head.writeUInt32BE(zlib.crc32(payload), 4)
      return Buffer.concat([head, payload])
    }
  }
}

function damageFile (folder: string, name: string, item: Damage): void {
  const file = path.join(folder, name)
  const bytes = fs.existsSync(file) ? fs.readFileSync(file) : Buffer.alloc(20, 1)
  fs.rmSync(file, { force: true })
  switch (item.kind) {
    case 'missing': return
    case 'folder': fs.mkdirSync(file); return
    case 'empty': fs.writeFileSync(file, ''); return
    case 'cut': fs.writeFileSync(file, bytes.subarray(0, Math.floor(item.at * bytes.length))); return
    case 'zeros': fs.writeFileSync(file, bytes.fill(0, Math.floor(item.at * bytes.length))); return
    case 'random': fs.writeFileSync(file, item.bytes); return
    case 'odd': fs.writeFileSync(file, toOddContent(path.basename(name), item.value))
  }
}

// Guards against instances that end at each start.
test('a control instance starts with damaged files beside its log, and has its document', async t => {
  const { sound, inner } = await createFolder(t)
  await fc.assert(fc.asyncProperty(fc.constantFrom('records', discovery.HANDOUT_FILE, 'records.new', 'handout.new', 'unknown'), damage, async (name, item) => {
    const folder = `${sound}.${crypto.randomUUID()}`
    fs.cpSync(sound, folder, { recursive: true })
    damageFile(folder, name, item)
    const instance = await start(folder, inner, false)
    t.is(instance.store.latest()?.version, 7)
    await instance.stop()
    fs.rmSync(folder, { recursive: true })
  }), { seed: 67, numRuns: 30 })
})

test('a control instance starts with damaged files of its replica', async t => {
  const { sound, inner } = await createFolder(t)
  await fc.assert(fc.asyncProperty(fc.constantFrom('meta', 'log', 'snapshot', 'synced', 'committed'), damage, async (name, item) => {
    const folder = `${sound}.${crypto.randomUUID()}`
    fs.cpSync(sound, folder, { recursive: true })
    damageFile(folder, path.join('document', name), item)
    const events: string[] = []
    const instance = await start(folder, inner, false, events)
    // Either nothing is lost, or the loss is known: the replica asks to be admitted again, or waits for its disk.
    await until(() => instance.store.latest()?.version === 7 || events.some(event => ['logDamaged', 'logTornTail', 'replicaRestarted'].includes(event)))
    t.pass()
    await instance.stop()
    fs.rmSync(folder, { recursive: true })
  }), { seed: 67, numRuns: 60 })
})
