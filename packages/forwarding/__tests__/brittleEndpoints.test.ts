/** Endpoints that announce that they fail if they have to reject too many requests. */
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as brittleLimiters from '../src/placement/brittleLimiter.js'
import * as helper from './helpers/testEntry.js'

const test = ava.default
const SLOTS = 2
const QUEUE = 1
const WORK_MS = 50
const LIMIT = 3
const SECONDS = 3
const REQUESTS_PER_SECOND = 400
const WINDOW_MS = 1000

interface BrittleEndpoint { endpoint: helper.TestEndpoint, /** Most rejections in a second. */ maxRejections: () => number, served: () => number }

async function startBrittle (id: string): Promise<BrittleEndpoint> {
  let open = 0
  let served = 0
  let maxRejections = 0
  let rejectedAt: number[] = []
  const headers = { 'x-brittle': String(LIMIT) }
  const endpoint = await helper.startEndpoint(id, (req, res) => {
    const now = performance.now()
    if (open >= SLOTS + QUEUE) {
      rejectedAt = [...rejectedAt.filter(at => now - at < WINDOW_MS), now]
      maxRejections = Math.max(maxRejections, rejectedAt.length)
      res.writeHead(503, { 'x-attempt': req.headers['x-attempt'] as string, 'x-not-run': '1', 'content-length': 0, ...headers }).end()
      return
    }
    open++
    setTimeout(() => {
      open--
      served++
      res.writeHead(200, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's', 'content-length': 2, ...headers })
      res.end('ok')
    }, WORK_MS)
  })
  return { endpoint, maxRejections: () => maxRejections, served: () => served }
}

// Guards against overload that makes brittle endpoints fail one after the other.
test('brittle endpoints reject no more requests than they tolerate', async t => {
  const brittle = await Promise.all(['e1', 'e2', 'e3'].map(startBrittle))
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once', maxAttempts: 1 })], brittle.map(item => item.endpoint), { retrySlack: 1000 })
  t.teardown(() => {
    entry.close()
    for (const { endpoint } of brittle) endpoint.close()
  })
  for (const { endpoint } of brittle) entry.announce(endpoint, { slots: SLOTS })
  // One response shows that the endpoints are brittle.
  await entry.send({ method: 'POST' })
  const responses: Array<Promise<helper.TestResponse>> = []
  for (let i = 0; i < SECONDS * REQUESTS_PER_SECOND; i++) {
    responses.push(entry.send({ method: 'POST' }))
    await timers.setTimeout(WINDOW_MS / REQUESTS_PER_SECOND)
  }
  const statuses = (await Promise.all(responses)).map(item => item.status)
  t.true(statuses.every(status => status === 200 || status === 503))
  for (const item of brittle) t.true(item.maxRejections() <= LIMIT, `${item.maxRejections()} rejections in a second`)
  const capacity = SECONDS * brittle.length * SLOTS * WINDOW_MS / WORK_MS
  t.true(statuses.filter(status => status === 200).length > capacity / 2, 'they are used')
})

const INSTANCES = 9
const FLEET_SLOTS = 6
const FLEET_QUEUE = 4
const RUN_MS = 25
const STEP_MS = 1
const DURATION_MS = 10_000

// Guards against instances that each find an endpoint free by loads that are late.
test('the instances of a fleet together keep to the limit of a brittle endpoint', t => {
  const instanceIds = Array.from({ length: INSTANCES }, (_, i) => `i${i}`)
  const limiters = instanceIds.map(self => brittleLimiters.createBrittleLimiter({ self, instanceIds: () => instanceIds, endpointsOf: () => [{ id: 'e', address: 'a', slots: FLEET_SLOTS }] }))
  for (const limiter of limiters) limiter.record('svc', 'e', LIMIT, false, 0)
  const endsAt = limiters.map((): number[] => [])
  let rejectedAt: number[] = []
  let served = 0
  for (let now = 0; now < DURATION_MS; now += STEP_MS) {
    for (const list of endsAt) while (list.length > 0 && list[0] <= now) list.shift()
    for (const [i, limiter] of limiters.entries()) {
      if (!limiter.maySend('svc', { id: 'e', ownInFlight: endsAt[i].length }, now)) continue
      const isRejected = endsAt.flat().length >= FLEET_SLOTS + FLEET_QUEUE
      limiter.record('svc', 'e', LIMIT, isRejected, now)
      if (isRejected) rejectedAt = [...rejectedAt.filter(at => now - at < WINDOW_MS), now]
      else endsAt[i].push(now + RUN_MS)
      if (!isRejected) served++
      t.true(rejectedAt.length <= LIMIT)
    }
  }
  t.true(served > 0.5 * FLEET_SLOTS * DURATION_MS / RUN_MS, `${served} served`)
})

// Guards against shares of an endpoint's slots that add up to more than the slots.
test('the shares of all instances add up to the slots of each brittle endpoint', t => {
  for (const count of [1, 2, 5, 9, 12, 40]) {
    const instanceIds = Array.from({ length: count }, (_, i) => `i${i}`)
    const endpoints = [6, 6, 1, 17].map((slots, i) => ({ id: `e${i}`, address: `a${i}`, slots }))
    const shares = instanceIds.map(self => brittleLimiters.toSlotShares(self, instanceIds, endpoints))
    for (const { id, slots } of endpoints) t.is(shares.reduce((sum, item) => sum + (item.get(id) ?? 0), 0), slots, `${count} instances`)
    const totals = shares.map(item => [...item.values()].reduce((sum, share) => sum + share, 0))
    t.true(Math.max(...totals) - Math.min(...totals) <= 1, `${count} instances`)
  }
})

test('an endpoint that always rejects receives few requests of the whole fleet', t => {
  const limit = 6
  const pauseMs = brittleLimiters.toPauseMs(limit, INSTANCES)
  t.true(INSTANCES * WINDOW_MS / pauseMs <= limit / 2)
})

// Guards against endpoints that stay limited when they are no longer brittle.
test('a response without the announcement ends the limits', t => {
  const limiter = brittleLimiters.createBrittleLimiter({ self: 'i0', instanceIds: () => ['i0'], endpointsOf: () => [{ id: 'e', address: 'a', slots: 2 }] })
  const endpoint = { id: 'e', ownInFlight: 9 }
  limiter.record('svc', 'e', LIMIT, true, 0)
  t.false(limiter.maySend('svc', endpoint, 1))
  limiter.record('svc', 'e', undefined, false, 2)
  t.true(limiter.maySend('svc', endpoint, 3))
})
