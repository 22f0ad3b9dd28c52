/** Choice of control instances by entry instances, and recovery of changes that were lost between control instances. */
import * as ava from 'ava'
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import type * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as discovery from '../src/index.js'
import * as helper from './helpers/testControl.js'

const test = ava.default
const log = telemetry.createLog({ instance: 'test', level: 'silent' })

function toRecord (change: Partial<discovery.EndpointRecord> = {}): discovery.EndpointRecord {
  return { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0, ...change }
}

/** Creates two publishers that can reach each other while `isUp`. */
function startPair (): { one: discovery.Publisher, two: discovery.Publisher, tableOf: { one: discovery.RecordTable, two: discovery.RecordTable }, state: { isUp: boolean } } {
  const state = { isUp: true }
  const tableOf = { one: discovery.createRecordTable(), two: discovery.createRecordTable() }
  const create = (self: 'one' | 'two', other: 'one' | 'two'): discovery.Publisher => discovery.createPublisher({
    self,
    table: tableOf[self],
    peerAddresses: () => [other],
    async getPeerLink () {
      if (!state.isUp) throw new Error('unreachable')
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

// Entry instances subscribed to the partitioned control instance would go on sending work to an endpoint that is leaving.
test('a change that another control instance missed is sent again at the next ticks', async t => {
  const { one, two, tableOf, state } = startPair()
  await one.announce(toRecord())
  t.is(tableOf.two.get('e1')?.record.state, 'ready')
  state.isUp = false
  await one.announce(toRecord({ seq: 2, state: 'leaving' }))
  t.is(tableOf.two.get('e1')?.record.state, 'ready')
  // Only the second tick compares tables; the third sends unacknowledged changes.
  one.tick()
  one.tick()
  await timers.setTimeout(20)
  state.isUp = true
  one.tick()
  await timers.setTimeout(50)
  t.is(tableOf.two.get('e1')?.record.state, 'leaving')
  two.tick()
})

// Without changes nothing is published, so a control instance that restarts empty depends on the comparison of tables.
test('a restarted control instance recovers records by comparing tables', async t => {
  const { one, two, tableOf, state } = startPair()
  state.isUp = false
  await two.announce(toRecord())
  state.isUp = true
  one.tick()
  one.tick()
  await timers.setTimeout(50)
  t.is(tableOf.one.get('e1')?.record.state, 'ready')
})

// A frozen control instance with open links sends no changes and no documents.
test('an unresponsive control instance is replaced', async t => {
  const unresponsive = await helper.startControl()
  const entry = helper.startEntry('i1', [unresponsive.address])
  await helper.until('the entry instance is subscribed', () => unresponsive.openLinkCount() === 1)
  await helper.until('the subscription is closed', () => unresponsive.openLinkCount() === 0)
  const healthy = await helper.startControl({ isTicking: true })
  entry.seeds.splice(0, 1, healthy.address)
  await helper.until('the entry instance is subscribed to the other', () => healthy.openLinkCount() === 1)
  await timers.setTimeout(3000)
  t.is(healthy.openLinkCount(), 1)
  entry.stop()
  await Promise.all([unresponsive.close(), healthy.close()])
})

// Control instances in the minority of a partition keep their links open but receive no changes.
test('a control instance without a quorum is replaced by one with a quorum', async t => {
  const partitioned = await Promise.all([0, 1, 2].map(async () => await helper.startControl({ isTicking: true, isCurrent: false })))
  const entry = helper.startEntry('i1', partitioned.map(item => item.address))
  await helper.until('there are three subscriptions', () => entry.subscriptionCount() === 3)
  const healthy = await helper.startControl({ isTicking: true })
  entry.seeds.push(healthy.address)
  await helper.until('the one with a quorum is subscribed', () => healthy.openLinkCount() === 1)
  t.true(partitioned.filter(item => item.openLinkCount() > 0).length < 3)
  entry.stop()
  await Promise.all([...partitioned, healthy].map(async item => { await item.close() }))
})

// After a restart of the fleet, one event per announcement and subscriber would overload a control instance.
test('announcements in quick succession are published in one event', async t => {
  let eventCount = 0
  const link = { sendEncoded: () => { eventCount++ }, closed: new Promise(() => {}) } as unknown as links.Link
  const publisher = discovery.createPublisher({
    self: 'c',
    table: discovery.createRecordTable(),
    peerAddresses: () => [],
    getPeerLink: async () => { throw new Error('there are no other control instances') },
    version: () => 0,
    packDocumentSince: () => null,
    isCurrent: () => true,
    log
  })
  const toEntry = (i: number): discovery.EntryRecord => ({ kind: 'entry', id: `i${i}`, startedAt: 1, seq: 1, zone: 'z', region: 'r', front: `10.0.0.${i}:1`, inner: `10.0.0.${i}:2`, state: 'starting' })
  for (let i = 0; i < 22; i++) await publisher.onCall({ t: 'subscribe', self: toEntry(i), version: 0 }, { ...link })
  await timers.setTimeout(100)
  eventCount = 0
  for (let i = 22; i < 87; i++) publisher.onEvent({ t: 'news', list: [toEntry(i)] })
  await timers.setTimeout(100)
  t.is(eventCount, 22)
  // "leaving" is published without delay: callers must use another instance before this one stops.
  publisher.onEvent({ t: 'news', list: [{ ...toEntry(30), seq: 2, state: 'leaving' }] })
  t.is(eventCount, 44)
})

test('quorumSince restarts after an interruption', async t => {
  const control = await helper.startControl()
  const entry = helper.startEntry('i1', [control.address])
  await helper.until('the entry instance is subscribed', () => control.openLinkCount() === 1)
  control.tick()
  await helper.until('there was a tick', () => entry.quorumSince() > 0)
  const since = entry.quorumSince()
  await timers.setTimeout(300)
  control.tick()
  await timers.setTimeout(100)
  t.is(entry.quorumSince(), since, 'unchanged at the next tick')
  await helper.until('the subscription is closed', () => control.openLinkCount() === 0)
  await helper.until('the entry instance is subscribed again', () => control.openLinkCount() === 1)
  await timers.setTimeout(500)
  control.tick()
  await helper.until('there was a tick after the interruption', () => entry.quorumSince() > since)
  t.pass()
  entry.stop()
  await control.close()
})

// Control instances that are only busy must not be replaced: each new subscription transfers all records.
test('a control instance with a late tick is not replaced', async t => {
  const controls = await Promise.all([0, 1, 2, 3].map(async () => await helper.startControl()))
  let clock = 0
  const entry = helper.startEntry('i1', controls.map(item => item.address), () => clock)
  t.teardown(async () => {
    entry.stop()
    await Promise.all(controls.map(async item => { await item.close() }))
  })
  // At the preferred control instances, so that no subscription moves to one of them during the test.
  const preferred = [...controls].sort((a, b) => contracts.rendezvousScore('i1', b.address) - contracts.rendezvousScore('i1', a.address)).slice(0, 3)
  const isSettled = (): boolean => controls.every(item => item.openLinkCount() === (preferred.includes(item) ? 1 : 0))
  await helper.until('the preferred three are subscribed', () => {
    clock += 50
    for (const control of controls) control.tick()
    return isSettled()
  })
  for (const control of controls) control.tick()
  // While the clock stands still no further subscription begins, and those under way end.
  await timers.setTimeout(600)
  await helper.until('no further subscription is open', isSettled)
  const before = controls.map(item => item.openLinkCount())
  clock += 1.9 * discovery.TICK_INTERVAL_MS
  await timers.setTimeout(600)
  t.deepEqual(controls.map(item => item.openLinkCount()), before)
})
