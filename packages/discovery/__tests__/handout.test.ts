/** Handouts that control instances serve while they start. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as ava from 'ava'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '../src/index.js'
import * as helper from './helpers/testControl.js'

const test = ava.default
const SECRET = 'test-secret-of-16'

/** Returns an inner address whose handout port is free. */
async function findInnerAddress (): Promise<string> {
  const server = net.createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  await new Promise<void>(resolve => { server.close(() => { resolve() }) })
  return `127.0.0.1:${port - 1}`
}

async function serve (t: ava.ExecutionContext, inner: string, body: Buffer, maxTotalBytes = Infinity, evacuations = Buffer.alloc(0)): Promise<discovery.HandoutServer> {
  return await new Promise((resolve, reject) => {
    const server = discovery.startHandoutServer({ address: discovery.toHandoutAddress(inner), secret: SECRET, handout: { body, evacuations }, maxTotalBytes }, () => { resolve(server) }, reject)
    t.teardown(() => { server.close() })
  })
}

function toReply (version: number): discovery.DiscoveryReply {
  const document = contracts.packFull(contracts.toVersionedText(version, Buffer.from(`{"version":${version}}`)))
  const record: discovery.Record = { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0 }
  return { records: discovery.packRecords([record]), controls: ['127.0.0.1:1'], version, document }
}

test('a handout is sent completely, and only to clients that prove the secret', async t => {
  const inner = await findInnerAddress()
  const body = crypto.randomBytes(300_000)
  const server = await serve(t, inner, body)
  t.true((await discovery.fetchHandout(discovery.toHandoutAddress(inner), SECRET)).body.equals(body))
  await t.throwsAsync(discovery.fetchHandout(discovery.toHandoutAddress(inner), 'another-secret-of'))
  await helper.until('all connections are closed', () => !server.activity().isBusy)
})

// Guards against descriptors that a process loses at each start to connections that say nothing.
test('a connection without a proof is closed, also after the server was', async t => {
  const inner = await findInnerAddress()
  const server = await serve(t, inner, crypto.randomBytes(1000))
  const { host, port } = discovery.toHandoutAddress(inner)
  for (const bytes of [0, 10]) {
    await new Promise<void>(resolve => {
      const socket = net.connect({ host, port }, () => { socket.write(Buffer.alloc(bytes), () => { resolve() }) })
      socket.on('error', () => {})
      t.teardown(() => { socket.destroy() })
    })
  }
  await helper.until('both are accepted', () => server.activity().isBusy)
  server.close()
  await helper.until('all connections are closed', () => !server.activity().isBusy)
  t.false(server.activity().isBusy)
})

// Serving a large document to all instances of a fleet would saturate a slow link while control instances need it to connect.
test('the total bytes of handouts are limited', async t => {
  const inner = await findInnerAddress()
  await serve(t, inner, crypto.randomBytes(1000), 3500)
  const fetches = Array.from({ length: 8 }, async () => await discovery.fetchHandout(discovery.toHandoutAddress(inner), SECRET))
  const results = await Promise.allSettled(fetches)
  t.is(results.filter(item => item.status === 'fulfilled').length, 3)
})

// An unauthenticated server at the address of a control instance that is down must not be able to redirect requests.
test('a handout without a proof of the secret is rejected', async t => {
  const impostor = net.createServer(socket => {
    socket.write(crypto.randomBytes(16))
    socket.on('data', () => { socket.end(Buffer.concat([crypto.randomBytes(32), Buffer.from('document')])) })
    socket.on('error', () => {})
  })
  await new Promise<void>(resolve => { impostor.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { impostor.close() })
  const { port } = impostor.address() as net.AddressInfo
  await t.throwsAsync(discovery.fetchHandout({ host: '127.0.0.1', port }, SECRET), { message: /proof/ })
})

test('a damaged handout file is ignored', t => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'handout-'))
  t.teardown(() => { fs.rmSync(folder, { recursive: true }) })
  t.is(discovery.readHandout(folder), undefined)
  const body = Buffer.from('handout body')
  const packed = discovery.packHandout(body)
  fs.writeFileSync(path.join(folder, discovery.HANDOUT_FILE), packed)
  t.true(discovery.readHandout(folder)?.equals(body))
  fs.writeFileSync(path.join(folder, discovery.HANDOUT_FILE), packed.subarray(0, packed.length - 3))
  t.is(discovery.readHandout(folder), undefined)
})

// After a restart of the fleet, entry instances are ready before control instances and have no document until then.
test('an entry instance uses the handout while control instances start, then the newer document', async t => {
  const inner = await findInnerAddress()
  await serve(t, inner, Buffer.from(discovery.encodeReply(toReply(4))))
  const control = await helper.startControl({ isTicking: true })
  const seeds = [inner]
  const entry = helper.startEntry('i1', seeds, undefined, async (address, part) => await discovery.fetchHandout(discovery.toHandoutAddress(address), SECRET, part))
  t.teardown(async () => {
    entry.stop()
    await control.close()
  })
  await helper.until('the entry instance has the document', () => entry.documents.length === 1)
  t.is(entry.documents[0].version, 4)
  control.put(contracts.toVersionedText(5, Buffer.from('{"version":5}')))
  seeds.push(control.address)
  await helper.until('the entry instance has the newer document', () => entry.documents.at(-1)?.version === 5)
  t.deepEqual(entry.documents.map(item => item.version), [4, 5])
})

// The handout of a control instance that was down for a while is older than the current document.
test('an older document in a handout is ignored', async t => {
  const inner = await findInnerAddress()
  await serve(t, inner, Buffer.from(discovery.encodeReply(toReply(4))))
  const control = await helper.startControl({ isTicking: true })
  control.put(contracts.toVersionedText(5, Buffer.from('{"version":5}')))
  let release: () => void = () => {}
  const released = new Promise<void>(resolve => { release = resolve })
  const entry = helper.startEntry('i1', [control.address], undefined, async () => {
    await released
    return await discovery.fetchHandout(discovery.toHandoutAddress(inner), SECRET)
  })
  t.teardown(async () => {
    entry.stop()
    await control.close()
  })
  await helper.until('the entry instance has the document', () => entry.documents.length === 1)
  release()
  await helper.until('the entry instance is subscribed', () => entry.quorumSince() > 0)
  t.deepEqual(entry.documents.map(item => item.version), [5])
})

// An instance served by the handout of a control instance that had missed the document until it was subscribed to another one.
test('a newer document in a second handout is used', async t => {
  let first: string | undefined
  let release: () => void = () => {}
  const released = new Promise<void>(resolve => { release = resolve })
  const entry = helper.startEntry('i1', ['127.0.0.1:1', '127.0.0.1:2'], undefined, async address => {
    first ??= address
    if (address !== first) await released
    return { body: Buffer.from(discovery.encodeReply(toReply(address === first ? 4 : 5))), evacuations: Buffer.alloc(0), version: 0 }
  })
  t.teardown(entry.stop)
  await helper.until('the first handout is used', () => entry.documents.length === 1)
  release()
  await helper.until('the newer document is used', () => entry.documents.at(-1)?.version === 5)
  t.deepEqual(entry.documents.map(item => item.version), [4, 5])
})

// An instance asked other control instances that were starting for their evacuations only.
test('a newer document of a control instance that starts later is used', async t => {
  const [stale, knowing, down] = [await findInnerAddress(), await findInnerAddress(), await findInnerAddress()]
  const controls = [stale, knowing, down]
  await serve(t, stale, Buffer.from(discovery.encodeReply({ ...toReply(4), controls })))
  const entry = helper.startEntry('i1', [stale], undefined, async (address, part) => await discovery.fetchHandout(discovery.toHandoutAddress(address), SECRET, part))
  t.teardown(entry.stop)
  await helper.until('the first handout is used', () => entry.documents.length === 1)
  await serve(t, knowing, Buffer.from(discovery.encodeReply({ ...toReply(5), controls })))
  await helper.until('the newer document is used', () => entry.documents.at(-1)?.version === 5)
  t.deepEqual(entry.documents.map(item => item.version), [4, 5])
})

test('the version of a handout is read without decoding it', t => {
  const versions = [0, 1, 23, 24, 255, 256, 65_535, 65_536, 2 ** 32 - 1, 2 ** 32, Number.MAX_SAFE_INTEGER]
  for (const version of versions) t.is(discovery.readVersion(Buffer.from(discovery.encodeReply({ ...toReply(1), version }))), version)
  const encoded = Buffer.from(discovery.encodeReply(toReply(300)))
  for (let length = 0; length < 20; length++) t.is(discovery.readVersion(encoded.subarray(0, length)), 0)
  t.is(discovery.readVersion(Buffer.from(encoded.subarray(20))), 0)
})

test('the version of the document comes with the evacuations, and not from an earlier version', async t => {
  const [inner, earlier] = [await findInnerAddress(), await findInnerAddress()]
  await serve(t, inner, Buffer.from(discovery.encodeReply(toReply(4))))
  const { body, version } = await discovery.fetchHandout(discovery.toHandoutAddress(inner), SECRET, 'evacuations')
  t.deepEqual({ bytes: body.length, version }, { bytes: 0, version: 4 })
  // An earlier version wrote the version behind the records.
  await serve(t, earlier, Buffer.from(new Uint8Array([0xb9, 0, 1, 0x67, ...Buffer.from('records'), 0xf6])))
  t.is((await discovery.fetchHandout(discovery.toHandoutAddress(earlier), SECRET, 'evacuations')).version, 0)
})

// An instance served by the first handout, that of a control instance which had missed the order.
test('an instance serves once the evacuations of a majority of the control instances are known', async t => {
  const [stale, knowing, down] = [await findInnerAddress(), await findInnerAddress(), await findInnerAddress()]
  const body = Buffer.from(discovery.encodeReply({ ...toReply(4), controls: [stale, knowing, down] }))
  await serve(t, stale, body)
  let clockMs = 0
  const entry = helper.startEntry('i1', [stale], () => clockMs, async (address, part) => await discovery.fetchHandout(discovery.toHandoutAddress(address), SECRET, part))
  t.teardown(entry.stop)
  await helper.until('the entry instance has the document', () => entry.documents.length === 1)
  t.false(entry.areEvacuationsKnown())
  await serve(t, knowing, body, 0, Buffer.from(discovery.encodeEvacuations({ revision: 2, zones: ['z1'], pending: ['z2'] })))
  await helper.until('the evacuations are known', () => {
    // Those that did not answer are asked again before the limit.
    clockMs = Math.min(clockMs + 10, 590)
    return entry.evacuatedZones().join() === 'z1,z2'
  })
  t.true(entry.areEvacuationsKnown())
})

// While most control instances are lost, an instance that restarts must serve some time.
test('an instance serves although too few control instances report', async t => {
  const [inner, down, lost] = [await findInnerAddress(), await findInnerAddress(), await findInnerAddress()]
  await serve(t, inner, Buffer.from(discovery.encodeReply({ ...toReply(4), controls: [inner, down, lost] })))
  const entry = helper.startEntry('i1', [inner], undefined, async (address, part) => await discovery.fetchHandout(discovery.toHandoutAddress(address), SECRET, part))
  t.teardown(entry.stop)
  await helper.until('it serves', entry.areEvacuationsKnown)
  t.is(entry.documents.length, 1)
})

test('an instance that reaches a control instance with a quorum serves at once', async t => {
  const control = await helper.startControl({ peerAddresses: [await findInnerAddress(), await findInnerAddress()] })
  control.put(contracts.toVersionedText(5, Buffer.from('{}')))
  const entry = helper.startEntry('i1', [control.address])
  t.teardown(async () => {
    entry.stop()
    await control.close()
  })
  // The control instance does not tick.
  await helper.until('it serves', entry.areEvacuationsKnown)
  t.is(entry.quorumSince(), -Infinity)
})
