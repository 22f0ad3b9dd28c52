/** Quarantined requests in the records of entry instances. */
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as stallClocks from './helpers/stallClock.js'
import * as endpointHelper from './helpers/testEntry.js'
import * as helper from './helpers/testFleet.js'
import * as quarantineRecords from '../src/quarantine/quarantineRecords.js'

const test = ava.default
const ENDPOINTS = 9
const MAX_CRASHES = 3
const SENDS = 6
/** Time within which a quarantine is announced. */
const ANNOUNCED_MS = 1000

/** Starts endpoints that a request crashes, and announces them together with a document. */
async function startCrashingEndpoints (t: ava.ExecutionContext, control: helper.TestControl): Promise<endpointHelper.TestEndpoint[]> {
  control.put(helper.toDocument(1, ['/a/']))
  const endpoints: endpointHelper.TestEndpoint[] = []
  for (let i = 0; i < ENDPOINTS; i++) endpoints.push(await endpointHelper.startEndpoint(`e${i}`, () => { endpoints[i].close() }))
  for (const endpoint of endpoints) await control.announce(endpoint)
  t.teardown(() => { endpoints.forEach(item => { item.close() }) })
  return endpoints
}

async function sendCrashing (instances: helper.TestInstance[]): Promise<void> {
  for (let i = 0; i < SENDS; i++) {
    await instances[i % instances.length].send('/a/crashing')
    await stallClocks.sleep(100)
  }
}

function countCrashes (endpoints: endpointHelper.TestEndpoint[]): number {
  return endpoints.filter(item => item.requests.length > 0).length
}

// Guards against another round of crashes once no running instance knows of the first one.
test('entry instances that are all restarted at once know the quarantined requests', async t => {
  const control = await helper.startControl()
  t.teardown(control.close)
  const endpoints = await startCrashingEndpoints(t, control)
  const sendAll = async (generation: string, isReady: (instances: helper.TestInstance[]) => boolean): Promise<void> => {
    const instances = await Promise.all(['1', '2'].map(async id => await helper.startInstance(`${generation}${id}`, [control.inner])))
    await helper.until('the instances are ready', () => isReady(instances))
    await sendCrashing(instances)
    await timers.setTimeout(ANNOUNCED_MS)
    await Promise.all(instances.map(async item => { await item.stop() }))
  }
  // Until they know each other, a crash at one of them is not known to the other.
  await sendAll('first', instances => instances.every(item => item.addresses().length === instances.length))
  t.is(countCrashes(endpoints), MAX_CRASHES)
  await sendAll('second', () => true)
  t.is(countCrashes(endpoints), MAX_CRASHES)
})

// Guards against another round of crashes after a loss of all power in which one control instance lost its disk and answers first.
test('a control instance without records does not make restarted entry instances forget the quarantined requests', async t => {
  const group: helper.ControlGroup = new Set()
  const control = await helper.startControl(group)
  t.teardown(control.close)
  const endpoints = await startCrashingEndpoints(t, control)
  const start = async (startedAt: number, seeds: string[]): Promise<helper.TestInstance[]> => {
    return await Promise.all(['1', '2'].map(async id => await helper.startInstance(id, seeds, { startedAt })))
  }
  const first = await start(1, [control.inner])
  await sendCrashing(first)
  const crashes = countCrashes(endpoints)
  await timers.setTimeout(ANNOUNCED_MS)
  await Promise.all(first.map(async item => { await item.stop() }))

  // It sends what it learns, and receives nothing.
  const empty = await helper.startControl(new Set(group))
  t.teardown(empty.close)
  empty.put(helper.toDocument(1, ['/a/']))
  const seeds = [empty.inner]
  const second = await start(2, seeds)
  seeds.push(control.inner)
  await timers.setTimeout(ANNOUNCED_MS)
  t.teardown(async () => { await Promise.all(second.map(async item => { await item.stop() })) })
  await sendCrashing(second)
  t.is(countCrashes(endpoints), crashes)
})

// Guards against forgetting the first of many quarantined requests when all instances are restarted.
test('each of many quarantined requests is announced by an instance', t => {
  const instanceIds = ['a', 'b', 'c', 'd']
  const quarantined = Array.from({ length: 24 }, (_, i) => ({ fingerprint: `f${i}`, crashed: ['e1', 'e2', 'e3'] }))
  const announced = instanceIds.flatMap(self => quarantineRecords.selectAnnounced(quarantined, { self, instanceIds }))
  t.is(new Set(announced.map(item => item.fingerprint)).size, quarantined.length)
})

test('few instances announce a quarantined request, and a record is bounded', t => {
  const quarantined = Array.from({ length: 100 }, (_, i) => ({ fingerprint: `f${i}`, crashed: Array.from({ length: 20 }, (_, k) => `e${k}`) }))
  const instanceIds = Array.from({ length: 60 }, (_, i) => `i${i}`)
  for (const self of instanceIds) {
    const announced = quarantineRecords.selectAnnounced(quarantined, { self, instanceIds })
    t.true(announced.length <= 10)
    t.true(announced.every(item => item.crashed.length <= 5))
  }
  const announcers = instanceIds.filter(self => quarantineRecords.selectAnnounced(quarantined.slice(-1), { self, instanceIds }).length > 0)
  t.is(announcers.length, 3)
})
