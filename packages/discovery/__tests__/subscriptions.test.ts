/** Which control instances an entry instance listens to, and how control instances make up for news that was lost. */
import * as ava from 'ava'
import * as timers from 'node:timers/promises'
import type * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as discovery from '../src/index.js'
import * as helper from './helpers/testControl.js'

const test = ava.default
const log = telemetry.createLog({ instance: 'test', level: 'silent' })

function toRecord (change: Partial<discovery.EndpointRecord> = {}): discovery.EndpointRecord {
  return { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0, ...change }
}

/** Two publishers whose calls to each other pass while `isUp`. */
function startPair (): { one: discovery.Publisher, two: discovery.Publisher, tableOf: { one: discovery.RecordTable, two: discovery.RecordTable }, state: { isUp: boolean } } {
  const state = { isUp: true }
  const tableOf = { one: discovery.createRecordTable(), two: discovery.createRecordTable() }
  const create = (self: 'one' | 'two', other: 'one' | 'two'): discovery.Publisher => discovery.createPublisher({
    self,
    table: tableOf[self],
    peerAddresses: () => [other],
    async getPeerLink () {
      if (!state.isUp) throw new Error('cut')
      const publisher = other === 'one' ? one : two
      return {
        call: async (body: unknown) => await publisher.onCall(discovery.discoveryCall.parse(body), undefined as unknown as links.Link),
        sendEncoded: (event: links.EncodedEvent) => { publisher.onEvent(discovery.discoveryEvent.parse(event.body)) }
      } as unknown as links.Link
    },
    version: () => 0,
    packDocumentSince: () => null,
    isCurrent: () => true,
    log
  })
  const one = create('one', 'two')
  const two = create('two', 'one')
  return { one, two, tableOf, state }
}

// An endpoint says that it leaves while two control instances cannot reach each other. The instances that listen to the other
// one would send it work for as long as it lives.
test('a change that another control instance missed is told with the next ticks', async t => {
  const { one, two, tableOf, state } = startPair()
  await one.announce(toRecord())
  t.is(tableOf.two.get('e1')?.record.state, 'ready')
  state.isUp = false
  await one.announce(toRecord({ seq: 2, state: 'leaving' }))
  t.is(tableOf.two.get('e1')?.record.state, 'ready')
  // The second tick compares tables as well; the third only tells what was not confirmed.
  one.tick()
  one.tick()
  await timers.setTimeout(20)
  state.isUp = true
  one.tick()
  await timers.setTimeout(50)
  t.is(tableOf.two.get('e1')?.record.state, 'leaving')
  two.tick()
})

// A control instance starts empty beside another one that knows the endpoints; nothing changes, so nothing is told.
test('tables are compared, so that a restarted control instance learns what it missed', async t => {
  const { one, two, tableOf, state } = startPair()
  state.isUp = false
  await two.announce(toRecord())
  state.isUp = true
  one.tick()
  one.tick()
  await timers.setTimeout(50)
  t.is(tableOf.one.get('e1')?.record.state, 'ready')
})

// A control instance freezes with its links open. An instance that goes on listening to it alone hears of no endpoint that
// leaves and of no document.
test('a control instance that falls silent is left for another', async t => {
  const silent = await helper.startControl()
  const entry = helper.startEntry('i1', [silent.address])
  await helper.until('it listens', () => silent.openLinkCount() === 1)
  await helper.until('it has left', () => silent.openLinkCount() === 0)
  const sound = await helper.startControl({ isTicking: true })
  entry.seeds.splice(0, 1, sound.address)
  await helper.until('it listens to the other', () => sound.openLinkCount() === 1)
  await timers.setTimeout(3000)
  t.is(sound.openLinkCount(), 1)
  entry.stop()
  await Promise.all([silent.close(), sound.close()])
})

// Three control instances are on the small side of a partition. An instance that listens to just these has all links up and
// hears nothing new.
test('a control instance without a quorum is exchanged for one with', async t => {
  const cut = await Promise.all([0, 1, 2].map(async () => await helper.startControl({ isTicking: true, isCurrent: false })))
  const entry = helper.startEntry('i1', cut.map(item => item.address))
  await helper.until('it listens to three', () => entry.subscriptionCount() === 3)
  const sound = await helper.startControl({ isTicking: true })
  entry.seeds.push(sound.address)
  await helper.until('it listens to the one with a quorum', () => sound.openLinkCount() === 1)
  t.true(cut.filter(item => item.openLinkCount() > 0).length < 3)
  entry.stop()
  await Promise.all([...cut, sound].map(async item => { await item.close() }))
})

// All 65 entry instances come back within a second after a loss of power and announce themselves to a control instance with 22
// subscribers, which has a seventh of a processor. Told one by one these are 1,430 events, and callers are refused meanwhile.
test('instances that come back together are told of together', async t => {
  let events = 0
  const link = { sendEncoded: () => { events++ }, closed: new Promise(() => {}) } as unknown as links.Link
  const publisher = discovery.createPublisher({
    self: 'c',
    table: discovery.createRecordTable(),
    peerAddresses: () => [],
    getPeerLink: async () => { throw new Error('there are no others') },
    version: () => 0,
    packDocumentSince: () => null,
    isCurrent: () => true,
    log
  })
  const toEntry = (i: number): discovery.EntryRecord => ({ kind: 'entry', id: `i${i}`, startedAt: 1, seq: 1, zone: 'z', region: 'r', front: `10.0.0.${i}:1`, inner: `10.0.0.${i}:2`, state: 'starting' })
  for (let i = 0; i < 22; i++) await publisher.onCall({ t: 'subscribe', self: toEntry(i), version: 0 }, { ...link })
  await timers.setTimeout(100)
  events = 0
  for (let i = 22; i < 87; i++) publisher.onEvent({ t: 'news', list: [toEntry(i)] })
  await timers.setTimeout(100)
  t.is(events, 22)
  // One that leaves is told of at once: callers are to be sent elsewhere before it stops.
  publisher.onEvent({ t: 'news', list: [{ ...toEntry(30), seq: 2, state: 'leaving' }] })
  t.is(events, 44)
})

test('news that was interrupted counts from when it is back', async t => {
  const control = await helper.startControl()
  const entry = helper.startEntry('i1', [control.address])
  await helper.until('it listens', () => control.openLinkCount() === 1)
  control.tick()
  await helper.until('there is news', () => entry.quorumSince() > 0)
  const since = entry.quorumSince()
  await timers.setTimeout(300)
  control.tick()
  await timers.setTimeout(100)
  t.is(entry.quorumSince(), since, 'a tick later nothing was interrupted')
  await helper.until('the silent one was left and asked again', () => control.openLinkCount() === 0)
  await helper.until('it listens again', () => control.openLinkCount() === 1)
  await timers.setTimeout(500)
  control.tick()
  await helper.until('there is news again', () => entry.quorumSince() > since)
  t.pass()
  entry.stop()
  await control.close()
})

// Guards against subscriptions that are exchanged one after the other, each with all records, where control instances are only busy.
test('a control instance whose tick is late is not left', async t => {
  const controls = await Promise.all([0, 1, 2, 3].map(async () => await helper.startControl()))
  let clock = 0
  const entry = helper.startEntry('i1', controls.map(item => item.address), () => clock)
  t.teardown(async () => {
    entry.stop()
    await Promise.all(controls.map(async item => { await item.close() }))
  })
  await helper.until('it listens to three', () => controls.filter(item => item.openLinkCount() === 1).length === 3)
  for (const control of controls) control.tick()
  await timers.setTimeout(200)
  const before = controls.map(item => item.openLinkCount())
  clock += 1.9 * discovery.TICK_INTERVAL_MS
  await timers.setTimeout(600)
  t.deepEqual(controls.map(item => item.openLinkCount()), before)
})
