/** Placement, admission, limits and retry decisions. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import type * as contracts from '@kingcupdeck/contracts'
import * as routing from '../src/index.js'

const test = ava.default
const SEED = { seed: 20261203 }

test('the load caps of a pool always admit one more request', t => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 50 }), fc.integer({ min: 0, max: 2000 }), fc.double({ min: 1.01, max: 4, noNaN: true }), (n, total, factor) => {
    const cap = routing.toLoadCap({ factor, total, weightSum: n, weight: 1, slots: 1e9 })
    return cap * n >= total + 1 && cap <= Math.max(1, factor * (total + 1) / n + 1)
  }), SEED)
  t.is(routing.toLoadCap({ factor: 1.25, total: 7, weightSum: 8, weight: 1, slots: 16 }), 2)
  t.is(routing.toLoadCap({ factor: 1.25, total: 700, weightSum: 8, weight: 1, slots: 16 }), 16)
})

const candidates = Array.from({ length: 8 }, (_, i) => ({ id: `e${i}`, zone: 'z', weight: 1 }))
const toInput = (policy: routing.PlacementPolicy, key = 'chat'): routing.PlacementInput => ({ policy, key, candidates, loads: { reported: id => id === 'e3' ? 0 : 5, local: () => 0 }, loadFactor: 1.25, random: () => 0.4, sequence: 3 })

test('every policy returns each endpoint exactly once', t => {
  for (const policy of routing.PLACEMENT_POLICIES) t.deepEqual(routing.orderEndpoints(toInput(policy)).sort(), candidates.map(item => item.id), policy)
})

test('removing an endpoint moves only the chats of that endpoint', t => {
  const keys = Array.from({ length: 300 }, (_, i) => `chat-${i}`)
  const homes = keys.map(key => routing.rankByRendezvous({ key, candidates })[0])
  const without = keys.map(key => routing.rankByRendezvous({ key, candidates: candidates.slice(1) })[0])
  t.true(keys.every((_, i) => homes[i] === 'e0' || homes[i] === without[i]))
  t.true(new Set(homes).size === 8)
})

// Hashing every endpoint of a large pool for each request is too expensive, so large pools are ranked in groups.
test('two-level ranking balances a large pool and moves few chats when an endpoint leaves', t => {
  const large = Array.from({ length: 2000 }, (_, i) => ({ id: `engine-${i}`, zone: 'z', weight: 1 }))
  const without = large.slice(1)
  const keys = Array.from({ length: 4000 }, (_, i) => `chat-${i}`)
  const counts = new Map<string, number>()
  let moved = 0
  for (const key of keys) {
    const ranked = routing.rankByRendezvous({ key, candidates: large })
    t.true(ranked.length > 6)
    counts.set(ranked[0], (counts.get(ranked[0]) ?? 0) + 1)
    if (routing.rankByRendezvous({ key, candidates: without })[0] !== ranked[0]) moved++
  }
  t.true(Math.max(...counts.values()) < 14, `one endpoint is the home of ${Math.max(...counts.values())} of 4000 chats`)
  t.true(moved < 20, `${moved} of 4000 chats moved when 1 of 2000 endpoints left`)
})

test('the queue serves by rank, then by account weight', t => {
  const queue = routing.createFairQueue<string>()
  for (let i = 0; i < 6; i++) queue.push({ item: `surge-${i}`, rank: 2, account: 'surge', weight: 1 })
  for (let i = 0; i < 2; i++) queue.push({ item: `calm-${i}`, rank: 2, account: 'calm', weight: 1 })
  for (let i = 0; i < 4; i++) queue.push({ item: `heavy-${i}`, rank: 2, account: 'heavy', weight: 2 })
  queue.push({ item: 'urgent', rank: 0, account: 'other', weight: 1 })
  const order = Array.from({ length: 13 }, () => queue.take()?.item ?? '')
  t.is(order[0], 'urgent')
  t.true(order.indexOf('calm-1') < 7, order.join(' '))
  t.true(order.indexOf('heavy-3') < 10, order.join(' '))
  t.is(queue.take(), undefined)
})

test('a blocked request does not delay the next one', t => {
  const queue = routing.createFairQueue<string>()
  queue.push({ item: 'blocked', rank: 0, account: 'a', weight: 1 })
  queue.push({ item: 'free', rank: 1, account: 'b', weight: 1 })
  t.is(queue.take(item => item !== 'blocked')?.item, 'free')
  t.true(queue.remove('blocked'))
  t.is(queue.size(), 0)
})

const window = (from: string, to: string, waitSeconds: number): contracts.PatienceWindow => ({ priority: 'p', from, to, waitSeconds })
const at = (clock: string): number => Date.parse(`2026-12-03T${clock}:00Z`)

test('patience windows use the deployment time zone and may span midnight', t => {
  const doc = { timeZone: 'Asia/Bangkok', patience: { day: window('08:00', '18:00', 5), night: window('18:00', '08:00', 60) } } as unknown as contracts.Document
  t.is(routing.toPatienceMs(doc, 'p', at('05:00')), 5000)
  t.is(routing.toPatienceMs(doc, 'p', at('11:30')), 60_000)
  t.is(routing.toPatienceMs(doc, 'p', at('23:30')), 60_000)
  t.is(routing.toPatienceMs(doc, 'q', at('05:00')), routing.DEFAULT_PATIENCE_MS)
})

// One account exceeds its limit tenfold, spread evenly over nine instances.
test('the instances together enforce the fleet-wide account limit', t => {
  let now = 0
  const limit = { requestsPerSecond: 30, burst: 10 }
  const instances = Array.from({ length: 9 }, () => routing.createAccountLimits(() => now))
  const rates = routing.createFleetRates(() => now)
  const shares = new Array<number>(9).fill(1)
  let passed = 0
  for (let second = 0; second < 20; second++) {
    for (let ms = 0; ms < 1000; ms += 30) {
      now = second * 1000 + ms
      instances.forEach((item, i) => { if (item.take('a', limit, shares[i]) === 0 && second >= 10) passed++ })
    }
    instances.forEach((item, i) => {
      rates.add(item.collectDemand())
      shares[i] = rates.share('a', limit.requestsPerSecond)
    })
  }
  t.true(passed / 10 > 0.7 * 30 && passed / 10 < 1.3 * 30, `${passed / 10} requests per second`)
})

test('retries stop when the budget is exhausted and resume with first attempts', t => {
  const budget = routing.createRetryBudget({ share: 0.2, max: 5 })
  t.is(Array.from({ length: 10 }, () => budget.tryWithdraw()).filter(Boolean).length, 5)
  for (let i = 0; i < 10; i++) budget.deposit()
  t.is(Array.from({ length: 10 }, () => budget.tryWithdraw()).filter(Boolean).length, 2)
})

test('a request is quarantined after two crashes until the suspicion expires', t => {
  let now = 0
  const suspects = routing.createSuspects(() => now)
  t.true(suspects.record('f', 'engine@1'))
  t.false(suspects.record('f', 'engine@1'))
  t.false(suspects.isQuarantined('f'))
  const peer = routing.createSuspects(() => now)
  peer.record('f', 'engine@2')
  t.true(suspects.merge(peer.toReports()))
  t.true(suspects.isQuarantined('f'))
  now = 11 * 60 * 1000
  t.false(suspects.isQuarantined('f'))
})

// Guards against rejecting a popular request that was in flight at two endpoints that crashed for another reason.
test('a request that is answered is no longer a suspect, at any instance', t => {
  const [suspects, peer, late] = Array.from({ length: 3 }, () => routing.createSuspects(() => 0))
  for (const boot of ['engine@1', 'engine@2']) suspects.record('f', boot)
  for (const other of [peer, late]) other.merge(suspects.toReports())
  t.true(peer.isQuarantined('f'))
  t.true(suspects.clear('f'))
  t.false(suspects.isQuarantined('f'))
  t.is(suspects.remainingMs('f'), 0)
  t.true(peer.merge(suspects.toReports(['f'])))
  // A peer that missed it repeats what it knows.
  peer.merge(late.toReports())
  t.is(peer.crashCount('f'), 0)
  peer.record('f', 'engine@3')
  t.is(peer.crashCount('f'), 1)
})

// Guards against rejecting callers on an overestimated wait while the endpoint has free slots.
test('the predicted wait is short for the load cap and longer for slots', t => {
  const estimator = routing.createWaitEstimator()
  for (let i = 0; i < 100; i++) estimator.record(1000)
  t.true(estimator.predict(2, 10, 16) < 500)
  t.true(estimator.predict(16, 15, 16) > 1000)
  t.true(estimator.predict(16, 15, 16) < 1500)
})
