/** The limit of the requests to endpoints that are warming up. */
import * as net from 'node:net'
import * as ava from 'ava'
import * as coldLimiters from '../src/placement/coldLimiter.js'
import * as endpointDialers from '../src/paths/endpointDialer.js'
import * as randoms from './helpers/random.js'
import * as helper from './helpers/testEntry.js'

const test = ava.default
const REQUESTS = 40
const FLEET_SIZES = [1, 3, 9, 63, 191, 380]
const MAX_PER_SECOND = coldLimiters.toMaxPerSecond(11, { excess: 1.5, slack: 5 })

function toIds (count: number): string[] {
  return Array.from({ length: count }, (_, i) => `i${i}`)
}

/** Returns the most requests that cold endpoints receive in any second, while each instance wants to send one every 5 ms. */
function toMostInOneSecond (views: Map<string, string[]>, endpoints: string[]): number {
  const limiters = [...views].map(([self, ids]) => coldLimiters.createColdLimiter({ self, instanceIds: () => ids }))
  const sends = new Map<string, number[]>(endpoints.map(id => [id, []]))
  for (let at = 0; at < 3000; at += 5) {
    for (const limiter of limiters) {
      for (const id of endpoints) {
        if (!limiter.maySend(id, MAX_PER_SECOND, at)) continue
        limiter.recordSend(id, at)
        sends.get(id)?.push(at)
      }
    }
  }
  return Math.max(...[...sends.values()].map(times => Math.max(0, ...times.map((first, i) => times.slice(i).filter(at => at - first < 1000).length))))
}

test('the fleet stays within the limit of a cold endpoint at any size, and uses a part of it', t => {
  for (const count of FLEET_SIZES) {
    const ids = toIds(count)
    const most = toMostInOneSecond(new Map(ids.map(id => [id, ids])), ['e1', 'e2'])
    t.true(most <= MAX_PER_SECOND, `${count} instances sent ${most} of ${MAX_PER_SECOND}`)
    t.true(most >= MAX_PER_SECOND / 3, `${count} instances sent ${most} of ${MAX_PER_SECOND}`)
  }
})

// During a partition each side designates instances of its own.
test('the fleet stays within the limit while two parts of it do not know each other', t => {
  for (const count of FLEET_SIZES.slice(1)) {
    const ids = toIds(count)
    const sides = [ids.filter((_, i) => i % 3 === 0), ids.filter((_, i) => i % 3 !== 0)]
    const most = toMostInOneSecond(new Map(sides.flatMap(side => side.map(id => [id, side] as const))), ['e1', 'e2', 'e3'])
    t.true(most <= MAX_PER_SECOND, `${count} instances sent ${most} of ${MAX_PER_SECOND}`)
  }
})

// Instances learn of each other at different times while the fleet restarts or grows.
test('the fleet stays within the limit while each instance misses some of the others', t => {
  const random = randoms.createRandom(7)
  for (const count of FLEET_SIZES.slice(2)) {
    const ids = toIds(count)
    const views = new Map(ids.map(self => [self, ids.filter(id => id === self || random() > 0.15)]))
    const most = toMostInOneSecond(views, ['e1', 'e2', 'e3'])
    t.true(most <= MAX_PER_SECOND, `${count} instances sent ${most} of ${MAX_PER_SECOND}`)
  }
})

test('each instance may use some of many cold endpoints', t => {
  const ids = toIds(63)
  const endpoints = Array.from({ length: 33 }, (_, i) => `e${i}`)
  const counts = ids.map(self => endpoints.filter(id => coldLimiters.isDesignated(id, self, ids, 4)).length)
  t.is(counts.reduce((sum, count) => sum + count, 0), 4 * endpoints.length)
  t.true(Math.max(...counts) <= 8, `designated for ${Math.max(...counts)} endpoints`)
})

// Instances count what they send themselves, so an endpoint that came back was flooded by all of them together.
test('an instance that is not designated uses warm endpoints', async t => {
  const cold = await helper.startEndpoint('cold', helper.healthy)
  const warm = await helper.startEndpoint('warm', helper.healthy)
  const instanceIds = toIds(400).filter(id => !coldLimiters.isDesignated('cold', 'self', ['self', id], 1)).slice(0, 6)
  const entry = await helper.startEntry([helper.toRoute()], [cold, warm], { instanceIds, service: { coldPerSecond: 11, coldStartMs: 3000 } })
  entry.announce(cold, { coldMs: 3000 })
  for (let i = 0; i < 20; i++) t.is((await entry.send()).status, 200)
  t.is(cold.requests.length, 0)
  entry.announce(cold, { coldMs: 0 })
  for (let i = 0; i < 20; i++) t.is((await entry.send()).status, 200)
  t.true(cold.requests.length > 0)
  entry.close()
  for (const endpoint of [cold, warm]) endpoint.close()
})

test('requests that only cold endpoints could run are rejected at once when the limit is reached', async t => {
  const cold = await helper.startEndpoint('cold', helper.healthy)
  const entry = await helper.startEntry([helper.toRoute()], [cold], { service: { coldPerSecond: 11, coldStartMs: 3000 } })
  entry.announce(cold, { coldMs: 3000 })
  const responses = await Promise.all(Array.from({ length: 40 }, async () => await entry.send()))
  t.true(cold.requests.length <= MAX_PER_SECOND, `${cold.requests.length} requests`)
  const rejected = responses.filter(item => item.status === 503)
  t.is(rejected.length, 40 - cold.requests.length)
  t.true(rejected.every(item => item.headers['retry-after'] !== undefined))
  entry.close()
  cold.close()
})

// Guards against requests that all select a cold endpoint before one of them is counted.
test('requests that lose their endpoint at the same moment stay within the limit of a cold one', async t => {
  const warm = await helper.startEndpoint('warm', helper.healthy)
  const cold = await helper.startEndpoint('cold', helper.healthy)
  const dials: net.Socket[] = []
  const connect: endpointDialers.Connect = address => {
    if (address !== warm.address) return endpointDialers.connectDirectly(address)
    const socket = new net.Socket()
    dials.push(socket)
    if (dials.length === REQUESTS) for (const item of dials) item.destroy(new Error('refused'))
    return socket
  }
  const entry = await helper.startEntry([helper.toRoute()], [warm, cold], { service: { coldPerSecond: 11, coldStartMs: 3000 }, connect })
  entry.announce(cold, { coldMs: 3000 })
  await Promise.all(Array.from({ length: REQUESTS }, async () => await entry.send()))
  t.true(cold.requests.length <= MAX_PER_SECOND, `${cold.requests.length} requests`)
  t.true(cold.requests.length > 0)
  entry.close()
  for (const endpoint of [cold, warm]) endpoint.close()
})

// The end of an evacuation may arrive before the announcements of endpoints that became cold meanwhile.
test('endpoints of a zone that was evacuated count as cold at first', async t => {
  const endpoint = await helper.startEndpoint('e1', helper.healthy)
  const entry = await helper.startEntry([helper.toRoute()], [endpoint], { service: { coldPerSecond: 11, coldStartMs: 3000 } })
  entry.pool.suspectCold('z1', performance.now())
  await Promise.all(Array.from({ length: 40 }, async () => await entry.send()))
  t.true(endpoint.requests.length <= MAX_PER_SECOND, `${endpoint.requests.length} requests`)
  entry.close()
  endpoint.close()
})
