/** Gossip of large fleets: every instance knows the load of the fleet, at a cost that does not grow with it. */
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as loadSums from '../src/gossip/loadSums.js'
import * as crashReports from '../src/quarantine/crashReport.js'
import * as helper from './helpers/testGossip.js'
import * as relayChoices from '../src/gossip/relayChoice.js'
import * as stallClocks from './helpers/stallClock.js'

const test = ava.default
function toKnownLoads (instance: helper.Instance): number[] {
  return instance.endpoints.map(item => item.inFlight + item.peerInFlight)
}

function toActualLoads (fleet: helper.Instance[]): number[] {
  return fleet[0].endpoints.map((_, k) => fleet.filter(item => item.isUp).reduce((sum, item) => sum + item.endpoints[k].inFlight, 0))
}

function setLoads (fleet: helper.Instance[]): void {
  fleet.forEach((instance, i) => {
    instance.endpoints[i % helper.ENDPOINTS].inFlight = 1
    instance.endpoints[(i * 7 + 3) % helper.ENDPOINTS].inFlight += 2
  })
}

test('every instance of a large fleet knows the load of each endpoint', async t => {
  const fleet = helper.startFleet(t, 100).instances
  await stallClocks.sleep(helper.SETTLE_MS)
  setLoads(fleet)
  await stallClocks.sleep(helper.SETTLE_MS)
  for (const instance of fleet) t.deepEqual(toKnownLoads(instance), toActualLoads(fleet))
})

// Updates from each instance to each other grew with the square of the fleet, so their interval had to grow with it.
test('the messages of an instance do not grow with the fleet', async t => {
  const counts = await Promise.all([100, 200].map(async count => {
    const fleet = helper.startFleet(t, count).instances
    await timers.setTimeout(helper.SETTLE_MS)
    setLoads(fleet)
    for (const instance of fleet) instance.sentCount = 0
    await timers.setTimeout(helper.SETTLE_MS)
    return fleet.reduce((sum, item) => sum + item.sentCount, 0) / count
  }))
  t.true(counts[1] <= 1.15 * counts[0], `messages of an instance: ${counts.join(', ')}`)
  const mostPerSecond = 10
  t.true(counts[1] <= mostPerSecond * helper.SETTLE_MS / 1000, `messages of an instance: ${counts.join(', ')}`)
})

// A relay that stops without notice must not leave its zone without loads, nor count them twice.
test('the loads of a zone are known again after its relay is lost', async t => {
  const fleet = helper.startFleet(t, 60).instances
  await stallClocks.sleep(helper.SETTLE_MS)
  setLoads(fleet)
  await stallClocks.sleep(helper.SETTLE_MS)
  const mostSent = [...fleet].sort((a, b) => b.sentCount - a.sentCount)
  mostSent[0].isUp = false
  await stallClocks.sleep(2 * helper.SETTLE_MS)
  for (const instance of fleet.filter(item => item.isUp)) t.deepEqual(toKnownLoads(instance), toActualLoads(fleet))
})

test('each outcome is merged once by every other instance', async t => {
  const fleet = helper.startFleet(t, 60).instances
  await stallClocks.sleep(helper.SETTLE_MS)
  for (const instance of fleet) instance.outliers.record('e1', true, performance.now())
  await stallClocks.sleep(helper.SETTLE_MS)
  for (const instance of fleet) t.is(instance.merged(), fleet.length - 1)
})

// A request that crashes endpoints is repeated at any instance within a second.
test('crash reports reach all instances at once', async t => {
  const fleet = helper.startFleet(t, 100).instances
  await stallClocks.sleep(helper.SETTLE_MS)
  fleet[42].gossip.sendCrashReports([crashReports.toCrashReport('x', { crashed: ['e1', 'e2', 'e3'] })])
  await stallClocks.sleep(50)
  t.is(fleet.filter(item => item !== fleet[42] && !item.quarantine.isQuarantined(['x'], performance.now())).length, 0)
})

// A cycle of relays would add the same loads again in each round.
test('relays form no cycle, whichever instances suspect each other', t => {
  const members = Array.from({ length: 12 }, (_, i) => ({ inner: `n${i}`, zone: `z${i % 2}` }))
  fc.assert(fc.property(fc.array(fc.tuple(fc.nat(11), fc.nat(11)), { maxLength: 60 }), pairs => {
    const suspected = new Set(pairs.map(([a, b]) => `n${a} n${b}`))
    const parent = new Map(members.map(self => [self.inner, relayChoices.chooseRelays(self, members.filter(item => item !== self), inner => suspected.has(`${self.inner} ${inner}`)).own]))
    for (const { inner } of members) {
      let hops = 0
      for (let at: string | undefined = inner; at !== undefined; at = parent.get(at)) {
        if (hops++ > members.length) return false
      }
    }
    return true
  }), { seed: 20261203 })
  t.pass()
})

test('relayed outcomes that an instance sent itself are left out', t => {
  const echoes = loadSums.createEchoFilter()
  echoes.noteSent([['a', 2, 1]])
  t.deepEqual(echoes.filter([['a', 5, 2], ['b', 1, 0]]), [['a', 3, 1], ['b', 1, 0]])
  t.deepEqual(echoes.filter([['a', 5, 2]]), [['a', 5, 2]])
})

// The subscriptions of an instance may all be behind; it still learns from the others which zones are evacuated.
test('an evacuation that one instance knows reaches a large fleet without load', async t => {
  const fleet = helper.startFleet(t, 60).instances
  await stallClocks.sleep(helper.SETTLE_MS)
  fleet[7].evacuations = { revision: 3, zones: ['z1'] }
  await stallClocks.sleep(helper.SETTLE_MS)
  for (const instance of fleet) t.deepEqual(instance.evacuations, { revision: 3, zones: ['z1'] })
})

// Guards against an instance that sends no loads any more after one unexpected error.
test('an error in one round costs this round only', async t => {
  const fleet = helper.startFleet(t, 3).instances
  fleet[0].failures = 2
  await stallClocks.sleep(helper.SETTLE_MS)
  setLoads(fleet)
  await stallClocks.sleep(helper.SETTLE_MS)
  t.true(fleet[0].failures <= 0)
  for (const instance of fleet) t.deepEqual(toKnownLoads(instance), toActualLoads(fleet))
})
