/** What control instances hand out before they have started. */
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

/** @returns an inner address whose handout port, the one beside it, is free */
async function findInner (): Promise<string> {
  const server = net.createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  await new Promise<void>(resolve => { server.close(() => { resolve() }) })
  return `127.0.0.1:${port - 1}`
}

async function serve (t: ava.ExecutionContext, inner: string, body: Buffer, mostBytes = Infinity): Promise<discovery.HandoutServer> {
  return await new Promise((resolve, reject) => {
    const server = discovery.startHandoutServer({ address: discovery.toHandoutAddress(inner), secret: SECRET, body, maxTotalBytes: mostBytes }, () => { resolve(server) }, reject)
    t.teardown(() => { server.close() })
  })
}

function toReply (version: number): discovery.DiscoveryReply {
  const document = contracts.packFull(contracts.toVersionedText(version, Buffer.from(`{"version":${version}}`)))
  const record: discovery.Record = { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0 }
  return { records: discovery.packRecords([record]), controls: ['127.0.0.1:1'], version, document }
}

test('what is handed out arrives whole, and only at who proves the secret', async t => {
  const inner = await findInner()
  const body = crypto.randomBytes(300_000)
  const server = await serve(t, inner, body)
  t.true((await discovery.fetchHandout(discovery.toHandoutAddress(inner), SECRET)).equals(body))
  await t.throwsAsync(discovery.fetchHandout(discovery.toHandoutAddress(inner), 'another-secret-of'))
  await helper.until('nobody is served', () => !server.activity().isBusy)
})

// A large fleet loses its power. Were all instances handed a large document, a link of a few Mbit/s would be full of them for
// seconds, in which the control instances could not even find each other.
test('no more is handed out than the link takes meanwhile', async t => {
  const inner = await findInner()
  await serve(t, inner, crypto.randomBytes(1000), 3500)
  const asked = Array.from({ length: 8 }, async () => await discovery.fetchHandout(discovery.toHandoutAddress(inner), SECRET))
  const ends = await Promise.allSettled(asked)
  t.is(ends.filter(item => item.status === 'fulfilled').length, 3)
})

// A stranger listens at the address of an instance that is down. An entry instance that took its document would send requests
// wherever the stranger likes.
test('what a stranger hands out is not taken', async t => {
  const stranger = net.createServer(socket => {
    socket.write(crypto.randomBytes(16))
    socket.on('data', () => { socket.end(Buffer.concat([crypto.randomBytes(32), Buffer.from('document')])) })
    socket.on('error', () => {})
  })
  await new Promise<void>(resolve => { stranger.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { stranger.close() })
  const { port } = stranger.address() as net.AddressInfo
  await t.throwsAsync(discovery.fetchHandout({ host: '127.0.0.1', port }, SECRET), { message: /proof/ })
})

test('a file that a loss of power has spoilt is not handed out', t => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'handout-'))
  t.teardown(() => { fs.rmSync(folder, { recursive: true }) })
  t.is(discovery.readHandout(folder), undefined)
  const body = Buffer.from('what is handed out')
  const packed = discovery.packHandout(body)
  fs.writeFileSync(path.join(folder, discovery.HANDOUT_FILE), packed)
  t.true(discovery.readHandout(folder)?.equals(body))
  fs.writeFileSync(path.join(folder, discovery.HANDOUT_FILE), packed.subarray(0, packed.length - 3))
  t.is(discovery.readHandout(folder), undefined)
})

// All processes are killed. Entry instances are back a second before a control instance is, and all requests of that second
// found no document, although it lay on five disks.
test('an entry instance has the document while control instances still start, and the newer one after that', async t => {
  const inner = await findInner()
  await serve(t, inner, Buffer.from(discovery.encodeReply(toReply(4))))
  const control = await helper.startControl({ isTicking: true })
  const seeds = [inner]
  const entry = helper.startEntry('i1', seeds, undefined, async address => await discovery.fetchHandout(discovery.toHandoutAddress(address), SECRET))
  t.teardown(async () => {
    entry.stop()
    await control.close()
  })
  await helper.until('it has the document', () => entry.documents.length === 1)
  t.is(entry.documents[0].version, 4)
  control.put(contracts.toVersionedText(5, Buffer.from('{"version":5}')))
  seeds.push(control.address)
  await helper.until('it has the newer one', () => entry.documents.at(-1)?.version === 5)
  t.deepEqual(entry.documents.map(item => item.version), [4, 5])
})

// One of the control instances was down for a while and hands out what it held before. An instance that has a newer document
// must not go back to that one.
test('an older document that is handed out is not taken', async t => {
  const inner = await findInner()
  await serve(t, inner, Buffer.from(discovery.encodeReply(toReply(4))))
  const control = await helper.startControl({ isTicking: true })
  control.put(contracts.toVersionedText(5, Buffer.from('{"version":5}')))
  let release: () => void = () => {}
  const held = new Promise<void>(resolve => { release = resolve })
  const entry = helper.startEntry('i1', [control.address], undefined, async () => {
    await held
    return await discovery.fetchHandout(discovery.toHandoutAddress(inner), SECRET)
  })
  t.teardown(async () => {
    entry.stop()
    await control.close()
  })
  await helper.until('it has the document', () => entry.documents.length === 1)
  release()
  await helper.until('it listens', () => entry.quorumSince() > 0)
  t.deepEqual(entry.documents.map(item => item.version), [5])
})
