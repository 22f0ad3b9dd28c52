/** Odd records, heartbeats and lists among those that other instances send. */
import * as ava from 'ava'
import * as cbor from 'cbor-x'
import * as fc from 'fast-check'
import * as http from 'node:http'
import * as net from 'node:net'
import * as zlib from 'node:zlib'
import type * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as discovery from '../src/index.js'
import * as oddRecords from './helpers/oddRecords.js'

const test = ava.default
const log = telemetry.createLog({ instance: 'test', level: 'silent' })
const SELF = { kind: 'entry', id: 'r1', startedAt: 1, seq: 1, zone: 'z', region: 'r', front: '10.0.0.2:80', inner: '10.0.0.2:81', state: 'ready' } as const
const NO_LINK = { closed: new Promise(() => {}) } as unknown as links.Link

function toRecord (change: Partial<discovery.EndpointRecord> = {}): discovery.EndpointRecord {
  return { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0, ...change }
}

const BAD = [toRecord({ id: 'b\r\n' }), toRecord({ id: 'b2', address: '10.0.0.1:99999' }), toRecord({ id: 'b3', startedAt: Number.MAX_SAFE_INTEGER }), toRecord({ id: 'b4', seq: 1e308 }), 7, null] as discovery.Record[]
const MIXED = [...BAD, toRecord()]

function createPublisher (now?: () => number): { publisher: discovery.Publisher, table: discovery.RecordTable, refusals: discovery.Refusals, call: (body: unknown) => Promise<discovery.DiscoveryReply>, send: (body: unknown) => void } {
  const table = discovery.createRecordTable()
  const refusals = discovery.createRefusals(log)
  const publisher = discovery.createPublisher({ self: '10.0.0.9:1', table, peerAddresses: () => [], getPeerLink: async () => { throw new Error('none') }, version: () => 0, packDocumentSince: () => null, isCurrent: () => true, log, refusals, now })
  return {
    publisher,
    table,
    refusals,
    call: async body => await publisher.onCall(discovery.discoveryCall.parse(body), NO_LINK),
    send (body) { publisher.onEvent(discovery.discoveryEvent.parse(body)) }
  }
}

// Guards against a batch, an acknowledgment or a link that one bad record costs.
test('a control instance takes the good records of a batch', async t => {
  for (const body of [{ t: 'records', list: MIXED }, { t: 'compare', records: discovery.packRecords(MIXED) }]) {
    const { table, call, refusals } = createPublisher()
    await call(body)
    t.deepEqual(table.all(), [toRecord()])
    t.is([...refusals.counts().values()].reduce((a, b) => a + b, 0), BAD.length)
  }
  for (const body of [{ t: 'news', list: MIXED }, { t: 'packedNews', records: discovery.packRecords(MIXED) }]) {
    const { table, send } = createPublisher()
    send(body)
    t.deepEqual(table.all(), [toRecord()])
  }
})

test('a subscriber whose own record is invalid is subscribed', async t => {
  const { publisher, table, call } = createPublisher()
  await call({ t: 'subscribe', self: { ...SELF, front: 'x' }, version: 0, isCompact: true })
  t.is(publisher.subscriberCount(), 1)
  t.deepEqual(table.all(), [])
})

// Guards against memory that a small message exhausts.
test('bytes that cannot be unpacked, or unpack to too much, are dropped', async t => {
  const inflating = zlib.deflateRawSync(Buffer.alloc(64 * 1024 * 1024))
  const nested = zlib.deflateRawSync(Buffer.alloc(1024 * 1024, 0x81))
  for (const records of [Buffer.from('x'), inflating, nested, zlib.deflateRawSync(new cbor.Encoder().encode({ a: 1 }))]) {
    const { table, call, send } = createPublisher()
    send({ t: 'packedNews', records })
    await call({ t: 'compare', records })
    t.deepEqual(table.all(), [])
  }
})

test('heartbeats beside invalid ones count', t => {
  const { publisher, table, send } = createPublisher()
  void publisher.announce(toRecord())
  send({ t: 'signs', signs: [['e1', 1], ['e1', 1, Number.MAX_SAFE_INTEGER], ['e1', 1, 1e308], 'x', ['e1', 1, 3]] })
  t.is(table.get('e1')?.lastSeenSeq, 3)
})

// Guards against a living endpoint that gets no requests because of an announcement that was not its own.
test('an endpoint that goes on counting below a number of another writer is alive', async t => {
  let at = 0
  const created = [createPublisher(() => at), createPublisher(() => at)]
  const [heard, told] = created
  for (const { table } of created) table.merge(toRecord({ seq: 4 }), 0)
  for (let second = 1; second <= 20; second++) {
    at = second * 1000
    if (second % 3 === 1) await heard.publisher.announce(toRecord({ seq: 9000 }))
    await heard.publisher.announce(toRecord({ seq: 4 + second }))
    told.send({ t: 'signs', signs: [['e1', 1, 9000], ['e1', 1, 4 + second]] })
    for (const { publisher } of created) publisher.tick()
    if (second > 2) for (const { publisher } of created) t.is(publisher.lateCount(), 0, `second ${second}`)
  }
  await heard.publisher.announce(toRecord({ seq: 25, state: 'leaving' }))
  t.is(heard.table.get('e1')?.record.state, 'leaving')
})

// Heartbeats of an endpoint that crashed, delayed by a partition.
test('delayed heartbeats that arrive together do not count as alive', t => {
  const table = discovery.createRecordTable()
  table.merge(toRecord({ seq: 20 }), 0)
  for (let seq = 5; seq < 15; seq++) t.false(table.applyHeartbeat(['e1', 1, seq], 1000 + seq))
  t.is(table.get('e1')?.lastSeenAt, 0)
  t.false(table.applyHeartbeat(['e1', 1, 3], 2000))
})

interface TestSubscriber { table: discovery.RecordTable, dialed: string[], send: (body: unknown) => void, isSubscribed: () => boolean, stop: () => void }

/** Starts a subscriber of a control instance that gives one reply. */
async function startSubscriber (reply: Partial<discovery.DiscoveryReply>, self = (): discovery.EntryRecord => SELF, onSent = (): void => {}): Promise<TestSubscriber> {
  const table = discovery.createRecordTable()
  const dialed: string[] = []
  const link = { call: async () => ({ records: null, controls: [], version: 0, document: null, ...reply }), send: onSent, close () {}, closed: new Promise(() => {}) } as unknown as links.Link
  const subscriber = discovery.createSubscriber({
    id: 'r1',
    seeds: () => ['10.0.0.9:1'],
    table,
    async dial (address) {
      dialed.push(address)
      return link
    },
    self,
    onDocument () {},
    onRecords () {},
    log
  })
  subscriber.start()
  for (let i = 0; i < 500 && subscriber.describeSubscriptions() === ''; i++) await new Promise(resolve => { setTimeout(resolve, 10) })
  return { table, dialed, send (body) { subscriber.onEvent(discovery.discoveryEvent.parse(body), link) }, isSubscribed: () => subscriber.describeSubscriptions() !== '', stop: subscriber.stop }
}

// Guards against requests that fail for a record that an earlier version of a control instance lets through.
test('an entry instance uses the good records of a control instance, and stays subscribed', async t => {
  const { table, dialed, send, isSubscribed, stop } = await startSubscriber({ records: discovery.packRecords(MIXED), late: [7, 'e1'], controls: ['10.0.0.9:1', 'nowhere', 5] })
  t.true(isSubscribed())
  t.deepEqual(table.all(), [toRecord()])
  send({ t: 'packedNews', records: discovery.packRecords([...BAD, toRecord({ seq: 2, slots: 9 })]) })
  send({ t: 'packedNews', records: Buffer.from('x') })
  send({ t: 'news', list: [...BAD, toRecord({ id: 'e2' })] })
  send({ t: 'tick', isCurrent: true, version: 0, signs: [['e1', 1, Number.MAX_SAFE_INTEGER], 3, ['e1', 1, 5]], late: [null, 'e2'], controls: [9, '10.0.0.9:1'] })
  t.deepEqual(table.endpoints().map(({ record, lastSeenSeq }) => [record.id, record.slots, lastSeenSeq]), [['e1', 9, 5], ['e2', 8, 1]])
  t.true(isSubscribed())
  t.deepEqual([...new Set(dialed)], ['10.0.0.9:1'])
  stop()
})

// Guards against an entry instance that runs on without heartbeats, and so without requests, after one unexpected error.
test('an error in a heartbeat costs this one only', async t => {
  let calls = 0
  const state = { sent: 0 }
  const { stop } = await startSubscriber({}, () => {
    calls++
    if (calls === 2 || calls === 3) throw new Error('unexpected')
    return SELF
  }, () => { state.sent++ })
  t.teardown(stop)
  for (let i = 0; i < 600 && state.sent === 0; i++) await new Promise(resolve => { setTimeout(resolve, 10) })
  t.true(state.sent > 0, `${calls} calls`)
})

/** Fails if a record cannot be used as it is. */
function assertUsable (t: ava.ExecutionContext, record: discovery.Record): void {
  t.true(Number.isSafeInteger(record.startedAt) && Number.isSafeInteger(record.seq))
  const isEnded = record.kind === 'endpoint' && record.state === 'gone' && record.address === ''
  for (const address of record.kind === 'endpoint' ? [record.address] : [record.front, record.inner]) {
    const [host, port] = address.split(':')
    t.true(isEnded || (net.isIPv4(host) && Number(port) >= 1 && Number(port) <= 65_535), address)
  }
  if (record.kind !== 'endpoint') return
  t.notThrows(() => { http.validateHeaderValue('x-id', record.id) })
  t.true(Number.isInteger(record.slots) && record.slots >= 1 && record.slots < 1e6)
  t.true(record.coldMs >= 0 && record.coldMs < 2 ** 31)
}

test('a record for which the known one stands in is one that a merge finds stale', t => {
  fc.assert(fc.property(fc.array(oddRecords.properRecord, { maxLength: 8 }), oddRecords.oddRecord, oddRecords.properRecord, (list, odd, proper) => {
    const table = discovery.createRecordTable()
    for (const item of list) table.merge(item, 0)
    for (const item of [odd, proper]) {
      const known = table.findKnown(item)
      if (known === undefined) continue
      t.is(known, table.get(known.id)?.record as discovery.EndpointRecord)
      t.is(table.merge({ ...known, ...item as object } as discovery.Record, 1), 'stale')
    }
  }), { seed: 67, numRuns: 1000 })
})

test('drawn records with one odd field are refused or can be used, and the others hold', t => {
  const messages = fc.tuple(fc.array(oddRecords.oddRecord, { minLength: 1, maxLength: 5 }), fc.boolean())
  fc.assert(fc.property(messages, ([list, isPacked]) => {
    const { table, send } = createPublisher()
    const living = toRecord({ id: 'living', startedAt: 1_700_000_000_000 })
    const batch = [...list, living]
    send(isPacked ? { t: 'packedNews', records: discovery.packRecords(batch as discovery.Record[]) } : { t: 'news', list: batch })
    for (const record of table.all()) assertUsable(t, record)
    t.deepEqual(table.get('living')?.record, living)
    t.is(({} as { kind?: unknown }).kind, undefined)
    send({ t: 'news', list: [{ ...living, seq: 2, state: 'leaving' }] })
    t.is(table.get('living')?.record.state, 'leaving')
  }), { seed: 67, numRuns: 500 })
})
