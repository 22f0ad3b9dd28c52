/** Exchange of requests that are suspected of crashing endpoints. */
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as crashGossips from '../src/gossip/crashGossip.js'
import * as crashQuarantines from '../src/quarantine/crashQuarantine.js'
import * as crashReports from '../src/quarantine/crashReport.js'
import * as stallClocks from './helpers/stallClock.js'
import * as helper from './helpers/testGossip.js'

const test = ava.default
const SMALL = 8
const LARGE = 60
const MAX_CRASHES = 3
/** Time within which an instance knows what all others know. */
const KNOWN_MS = 3000
/** Time after an outage within which its cause need not be known. */
const SURVIVING_MS = 2000

const now = (): number => performance.now()

/** Loses runs of a request at endpoints that then are down. */
function crash (quarantine: crashQuarantines.CrashQuarantine, fingerprint: string, endpoints: string[]): void {
  for (const endpoint of endpoints) {
    quarantine.startRun([fingerprint], endpoint, now()).end('lost', now())
    quarantine.confirmDown(endpoint, now(), 'refused')
  }
}

function countUnaware (fleet: helper.Fleet): number {
  return fleet.instances.filter(item => !item.quarantine.isQuarantined(['x'], now())).length
}

/** Waits until a number of instances does not know the request. @returns whether it came to that in time */
async function becomesUnaware (fleet: helper.Fleet, count: number): Promise<boolean> {
  for (const end = now() + KNOWN_MS; now() < end && countUnaware(fleet) !== count;) await timers.setTimeout(10)
  return countUnaware(fleet) === count
}

async function isKnownEverywhere (fleet: helper.Fleet): Promise<boolean> {
  return await becomesUnaware(fleet, 0)
}

for (const count of [SMALL, LARGE]) {
  // Guards against crash reports that an instance misses because it starts after they were sent.
  test(`an instance that starts later knows the quarantined requests: ${count} instances`, async t => {
    const fleet = helper.startFleet(t, count)
    await timers.setTimeout(helper.SETTLE_MS)
    crash(fleet.instances[1].quarantine, 'x', ['e1', 'e2', 'e3'])
    t.true(await isKnownEverywhere(fleet))
    fleet.restart(0)
    t.is(countUnaware(fleet), 1)
    t.true(await isKnownEverywhere(fleet))
  })

  // Guards against crash reports that are lost with the last instance that received them.
  test(`a quarantine outlasts a restart of every instance, one after the other: ${count} instances`, async t => {
    const fleet = helper.startFleet(t, count)
    await timers.setTimeout(helper.SETTLE_MS)
    crash(fleet.instances[1].quarantine, 'x', ['e1', 'e2', 'e3'])
    const step = count / SMALL
    for (let i = 0; i < SMALL; i++) {
      for (let k = 0; k < step; k++) fleet.restart(Math.floor(i * step + k))
      await timers.setTimeout(KNOWN_MS / 2)
    }
    for (let i = Math.floor(SMALL * step); i < count; i++) fleet.restart(i)
    t.true(await isKnownEverywhere(fleet))
  })
}

// Guards against crash reports that an instance misses because its links are down when they are sent.
test('an instance whose links were down knows the quarantined requests', async t => {
  const fleet = helper.startFleet(t, SMALL)
  await timers.setTimeout(500)
  fleet.instances[0].isUp = false
  crash(fleet.instances[1].quarantine, 'x', ['e1', 'e2', 'e3'])
  t.true(await becomesUnaware(fleet, 1))
  fleet.instances[0].isUp = true
  t.true(await isKnownEverywhere(fleet))
})

// Guards against one more round of crashes at an instance that does not know the first ones.
test('a crash at an instance that knows of no other makes it known there at once', async t => {
  const fleet = helper.startFleet(t, SMALL)
  await timers.setTimeout(500)
  crash(fleet.instances[1].quarantine, 'x', ['e1', 'e2', 'e3'])
  t.true(await isKnownEverywhere(fleet))
  fleet.restart(0)
  // Without the periodic exchange, which would make it known as well.
  for (const { gossip } of fleet.instances) gossip.stop()
  crash(fleet.instances[0].quarantine, 'x', ['e4'])
  t.true(await isKnownEverywhere(fleet))
})

test('crashes at different instances add up', async t => {
  const fleet = helper.startFleet(t, SMALL)
  await timers.setTimeout(500)
  for (let i = 0; i < MAX_CRASHES; i++) {
    t.is(countUnaware(fleet), SMALL)
    crash(fleet.instances[i].quarantine, 'x', [`e${i}`])
    // The reports of the crash before are known.
    await timers.setTimeout(500)
  }
  t.true(await isKnownEverywhere(fleet))
})

// Guards against rejecting a request at instances that did not see that it survives elsewhere.
// Alone: the large fleets beside it keep the process busy for seconds.
test.serial('a request that survives at endpoints of other instances is served everywhere', async t => {
  const fleet = helper.startFleet(t, SMALL)
  await timers.setTimeout(500)
  const runs = fleet.instances.map(({ quarantine }, i) => quarantine.startRun(['x'], `e${i}`, now()))
  await timers.setTimeout(100)
  const lostAt = now()
  for (let i = 0; i < 4; i++) {
    runs[i].end('lost', now())
    fleet.instances[i].quarantine.confirmDown(`e${i}`, now(), 'refused')
  }
  while (now() - lostAt < SURVIVING_MS) {
    t.is(fleet.instances.filter(item => item.quarantine.isQuarantined(['x'], now())).length, 0)
    await stallClocks.sleep(100)
  }
  runs[5].end('completed', now())
  await timers.setTimeout(500)
  for (const { quarantine } of fleet.instances) t.false(quarantine.isSuspected(['x']))
})

// Guards against instances that answer each other's repeated reports without end.
test('repeated reports cost an instance a bounded number of messages', async t => {
  const fleet = helper.startFleet(t, LARGE)
  await timers.setTimeout(helper.SETTLE_MS)
  crash(fleet.instances[1].quarantine, 'x', ['e1', 'e2', 'e3'])
  await timers.setTimeout(500)
  for (const instance of fleet.instances) instance.sentCount = 0
  await timers.setTimeout(helper.SETTLE_MS)
  const mostPerSecond = 10 + 2
  const perInstance = fleet.instances.reduce((sum, item) => sum + item.sentCount, 0) / LARGE
  t.true(perInstance <= mostPerSecond * helper.SETTLE_MS / 1000, `${perInstance} messages of an instance`)
})

// Guards against one message to each neighbour for each of the requests that a crash loses.
test('the crashes of many requests are reported in few messages', async t => {
  const fleet = helper.startFleet(t, SMALL)
  await timers.setTimeout(500)
  const [{ quarantine }] = fleet.instances
  const runs = Array.from({ length: 200 }, (_, i) => quarantine.startRun([`f${i}`], 'e1', now()))
  fleet.instances[0].sentCount = 0
  for (const run of runs) run.end('lost', now())
  quarantine.confirmDown('e1', now(), 'refused')
  await timers.setTimeout(100)
  t.true(fleet.instances[0].sentCount <= 2 * SMALL, `${fleet.instances[0].sentCount} messages`)
})

// Guards against crashes that an instance learns of a second late, because it asked for them before it knew anyone.
test('an instance asks for suspected requests as soon as it knows another one', t => {
  let at = 0
  let neighbours: string[] = []
  const asked: Array<readonly string[]> = []
  const gossip = crashGossips.createCrashGossip({
    quarantine: crashQuarantines.createCrashQuarantine(),
    neighbours: () => neighbours,
    isDirect: () => true,
    send (addresses, { asksForCrashes }) { if (asksForCrashes && addresses.length > 0) asked.push(addresses) },
    now: () => at
  })
  gossip.tick()
  at = 100
  neighbours = ['other']
  gossip.tick()
  t.deepEqual(asked, [['other']])
})

// Guards against crashes that seem to be apart at other instances because the reports of the later ones waited for longer.
test('reports tell the time for which they waited to be sent', async t => {
  let clockMs = 0
  const sent: crashReports.CrashReport[] = []
  const gossip = crashGossips.createCrashGossip({
    quarantine: crashQuarantines.createCrashQuarantine(),
    neighbours: () => ['n1'],
    isDirect: () => true,
    send (addresses, { crashes }) { sent.push(...crashes) },
    now: () => clockMs
  })
  gossip.sendReports([crashReports.toCrashReport('x', { crashed: ['e1'], agoMs: 20 })])
  clockMs = 400
  gossip.sendReports([crashReports.toCrashReport('x', { crashed: ['e2'] })])
  clockMs = 900
  while (sent.length < 2) await timers.setTimeout(5)
  t.deepEqual(sent.map(item => item.agoMs), [920, 500])
})
