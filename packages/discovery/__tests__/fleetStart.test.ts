/** Start of a large fleet: what many instances that know the same few control instances ask of them. */
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import type * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as discovery from '../src/index.js'
import * as helper from './helpers/testControl.js'

const test = ava.default
const log = telemetry.createLog({ instance: 'test', level: 'silent' })

interface Listener { address: string, openCount: () => number, acceptedCount: () => number }

/** Listens without ever answering, like a control instance that cannot keep up. */
async function listenMute (t: ava.ExecutionContext, onSocket: (socket: net.Socket) => void = () => {}): Promise<Listener> {
  const open = new Set<net.Socket>()
  let accepted = 0
  const server = net.createServer(socket => {
    accepted++
    open.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { open.delete(socket) })
    socket.resume()
    onSocket(socket)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => {
    for (const socket of open) socket.destroy()
    server.close()
  })
  return { address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, openCount: () => open.size, acceptedCount: () => accepted }
}

function startEntries (t: ava.ExecutionContext, count: number, seeds: () => string[], dialTimeoutMs?: number): helper.TestEntry[] {
  const entries = Array.from({ length: count }, (_, i) => helper.startEntry(`i${i}`, seeds(), undefined, undefined, dialTimeoutMs))
  t.teardown(() => { for (const entry of entries) entry.stop() })
  return entries
}

// Dials that were given up and repeated at once made an overloaded control instance slower with each retry.
test('an instance keeps one connection to a control instance that does not answer', async t => {
  const seed = await listenMute(t)
  const entries = startEntries(t, 40, () => [seed.address], 250)
  let most = 0
  const timer = setInterval(() => { most = Math.max(most, seed.openCount()) }, 10)
  await timers.setTimeout(4000)
  clearInterval(timer)
  t.true(most <= entries.length, `${most} connections of ${entries.length} instances`)
})

test('retries before the first contact back off', async t => {
  const seed = await listenMute(t, socket => { socket.destroy() })
  const entries = startEntries(t, 20, () => [seed.address])
  await timers.setTimeout(4000)
  // 0, 0.1 to 0.2, 0.2 to 0.4, 0.4 to 0.8, then 0.8 to 1.6 s each.
  const mostPerInstance = 8
  t.true(seed.acceptedCount() <= mostPerInstance * entries.length, `${seed.acceptedCount()} dials of ${entries.length} instances`)
})

// Two of the three control instances that the settings name may be down when the whole fleet starts.
test('an instance subscribes if only one of its seeds answers', async t => {
  const [mute, other] = await Promise.all([listenMute(t), listenMute(t)])
  const healthy = await helper.startControl({ isTicking: true })
  const entries = startEntries(t, 10, () => [mute.address, other.address, healthy.address])
  t.teardown(healthy.close)
  await helper.until('all instances are subscribed', () => entries.every(entry => entry.quorumSince() > -Infinity))
  t.pass()
})

// All instances know the same three control instances at their start and stayed with them.
test('subscriptions are spread over all control instances', async t => {
  const addresses: string[] = []
  const controls = await Promise.all(Array.from({ length: 9 }, async () => await helper.startControl({ isTicking: true, peerAddresses: addresses })))
  addresses.push(...controls.map(item => item.address))
  const entries = startEntries(t, 45, () => addresses.slice(0, 3))
  t.teardown(async () => { await Promise.all(controls.map(async item => { await item.close() })) })
  const mean = 3 * entries.length / controls.length
  await helper.until('all instances have three subscriptions, evenly spread', () => {
    const counts = controls.map(item => item.openLinkCount())
    return entries.every(entry => entry.subscriptionCount() === 3) && Math.max(...counts) <= 2 * mean && Math.min(...counts) > 0
  })
  t.pass()
})

/** Runs a publisher with one subscriber and counts the bytes of the tick after all instances sent a heartbeat. */
async function countTickBytes (instances: number, isCompact: boolean): Promise<number> {
  let clock = 0
  let bytes = 0
  const link = { sendEncoded: (event: links.EncodedEvent) => { if ((event.body as discovery.DiscoveryEvent).t === 'tick') bytes = event.bytes.length }, closed: new Promise(() => {}) } as unknown as links.Link
  const publisher = createPublisher(() => clock)
  publisher.onEvent({ t: 'news', list: Array.from({ length: instances }, (_, i) => toEntry(`i${i}`)) })
  await publisher.onCall({ t: 'subscribe', self: toEntry('i0'), version: 0, isCompact }, link)
  clock += discovery.TICK_INTERVAL_MS
  publisher.onEvent({ t: 'signs', signs: Array.from({ length: instances }, (_, i) => [`i${i}`, 1, 2]) })
  publisher.tick()
  return bytes
}

function createPublisher (now: () => number, bytesPerMs = Infinity): discovery.Publisher {
  return discovery.createPublisher({
    self: 'c',
    table: discovery.createRecordTable(),
    peerAddresses: () => [],
    getPeerLink: async () => { throw new Error('there are no other control instances') },
    version: () => 0,
    packDocumentSince: () => null,
    isCurrent: () => true,
    budget: discovery.createSendBudget(() => bytesPerMs),
    log,
    now
  })
}

function toEntry (id: string): discovery.EntryRecord {
  return { kind: 'entry', id, startedAt: 1, seq: 1, zone: 'z', region: 'r', front: '10.0.0.1:1', inner: '10.0.0.1:2', state: 'ready' }
}

// A tick with the heartbeats of all instances, sent to all instances, exceeded the link of a control instance.
test('a tick does not grow with the number of healthy instances', async t => {
  const [small, large] = [await countTickBytes(25, true), await countTickBytes(200, true)]
  t.true(small > 0)
  t.is(small, large)
})

test('a subscriber of an earlier version receives every heartbeat', async t => {
  t.true(await countTickBytes(200, false) > await countTickBytes(25, false))
})

test('a silent record is reported late once, and live once it is heard again', async t => {
  let clock = 0
  const table = discovery.createRecordTable()
  const tracker = discovery.createLivenessTracker(table)
  for (const id of ['a', 'b']) {
    table.merge(toEntry(id), clock)
    tracker.noteHeard(id, clock)
  }
  t.deepEqual(tracker.takeChanges(clock), { late: [], revived: [] })
  clock += discovery.LATE_AFTER_MS + 1
  tracker.noteHeard('b', clock)
  t.deepEqual(tracker.takeChanges(clock), { late: ['a'], revived: [] })
  t.deepEqual(tracker.takeChanges(clock), { late: [], revived: [] })
  t.deepEqual(tracker.late(), ['a'])
  tracker.noteHeard('a', clock)
  t.deepEqual(tracker.takeChanges(clock), { late: [], revived: [['a', 1, 1]] })
})

// A control instance forgets records that expired; its subscribers must not take them for live ones.
test('an expired record does not become live again at the subscribers', t => {
  const live = discovery.createLiveRecords([toEntry('a'), toEntry('b')], [])
  const table = discovery.createRecordTable()
  for (const id of ['a', 'b']) table.merge(toEntry(id), 0)
  live.refresh(table, 10_000)
  t.is(table.get('a')?.lastSeenAt, 10_000 - discovery.LATE_AFTER_MS)
  live.applyChanges({ late: ['a'], revived: [] })
  live.refresh(table, 20_000)
  t.is(table.get('a')?.lastSeenAt, 10_000 - discovery.LATE_AFTER_MS)
  t.is(table.get('b')?.lastSeenAt, 20_000 - discovery.LATE_AFTER_MS)
  live.applyChanges({ late: [], revived: [['a', 1, 2]] })
  live.refresh(table, 30_000)
  t.is(table.get('a')?.lastSeenAt, 30_000 - discovery.LATE_AFTER_MS)
})

// The records of 200 instances, sent to all of them at once, kept a link of 6 Mbit/s busy for longer than an election timeout.
test('the records that a control instance sends at a time are bounded by its link', async t => {
  const bytesPerMs = 10
  let clock = 0
  let packedBytes = 0
  const publisher = createPublisher(() => clock, bytesPerMs)
  publisher.onEvent({ t: 'news', list: Array.from({ length: 200 }, (_, i) => toEntry(`i${i}`)) })
  let answered = 0
  const joins = Array.from({ length: 20 }, async (_, i) => {
    const reply = await publisher.onCall({ t: 'subscribe', self: toEntry(`i${i}`), version: 0, isCompact: true }, { sendEncoded: () => {}, closed: new Promise(() => {}) } as unknown as links.Link)
    packedBytes = reply.records?.length ?? 0
    answered++
  })
  await timers.setTimeout(100)
  const maxQueuedMs = 150
  t.true(answered > 0 && (answered - 1) * packedBytes <= maxQueuedMs * bytesPerMs, `${answered} replies of ${packedBytes} bytes`)
  const timer = setInterval(() => { clock += 100 }, 1)
  await Promise.all(joins)
  clearInterval(timer)
  t.is(answered, 20)
})
