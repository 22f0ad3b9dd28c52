/** Outlier detection, simulated for a small and a large service. */
import * as ava from 'ava'
import * as outlierDetectors from '../src/placement/outlierDetector.js'
import * as helper from './helpers/random.js'

const test = ava.default

interface SimulationResult { failed: number, requests: number, maxEjected: number, ejectedAtEnd: number }

/**
 * Simulates requests to the endpoints of a service from instances that exchange their statistics every 200 ms. From second 4 to 10 the
 * bad endpoints fail an additional share; `baseShare` fails at all endpoints all the time.
 */
function simulate (opts: { endpoints: number, bad: number, badShare: number, instances: number, perSecond: number, isEjecting: boolean, baseShare?: number }, seed = 7): SimulationResult {
  const random = helper.createRandom(seed)
  const ids = Array.from({ length: opts.endpoints }, (_, i) => `e${i}`)
  const instances = Array.from({ length: opts.instances }, () => outlierDetectors.createOutlierDetector())
  const candidates = ids.map(id => ({ id, load: 0.5, slots: 6 }))
  const result: SimulationResult = { failed: 0, requests: 0, maxEjected: 0, ejectedAtEnd: 0 }
  const stepMs = 1000 / opts.perSecond
  let exchangedAt = 0
  for (let now = 0; now < 20_000; now += stepMs) {
    const instance = instances[Math.floor(random() * instances.length)]
    const outliers = opts.isEjecting ? instance.findOutliers('s', candidates, now) : new Set<string>()
    const usable = ids.filter(id => !outliers.has(id))
    const id = usable[Math.floor(random() * usable.length)]
    const isBad = now >= 4000 && now < 10_000 && ids.indexOf(id) < opts.bad
    const isFailed = random() < (isBad ? opts.badShare : opts.baseShare ?? 0.1)
    instance.record(id, isFailed, now)
    result.requests++
    if (isFailed && now >= 4000 && now < 10_000) result.failed++
    result.maxEjected = Math.max(result.maxEjected, outliers.size)
    result.ejectedAtEnd = outliers.size
    if (now - exchangedAt < 200) continue
    exchangedAt = now
    for (const [i, from] of instances.entries()) {
      const deltas = from.takeDeltas(now)
      for (const [j, to] of instances.entries()) if (i !== j) to.merge(deltas, now)
    }
  }
  return result
}

/** Returns the mean number of failed requests over several simulations. */
function meanFailed (opts: Parameters<typeof simulate>[0]): number {
  const seeds = Array.from({ length: 12 }, (_, i) => (i + 1) * 7919)
  return seeds.reduce((sum, seed) => sum + simulate(opts, seed).failed, 0) / seeds.length
}

// Guards against requests that are lost at an endpoint which fails although it is announced as healthy.
test('a partially failing endpoint is ejected, and readmitted later', t => {
  const load = { endpoints: 3, bad: 1, badShare: 0.45, instances: 8, perSecond: 42 }
  const before = meanFailed({ ...load, isEjecting: false })
  const after = meanFailed({ ...load, isEjecting: true })
  t.true(after < 0.75 * before, `${before} failed without, ${after} with`)
  t.is(simulate({ ...load, isEjecting: true }).ejectedAtEnd, 0)
})

// Guards against outliers that no instance can detect from its own requests alone.
test('many instances with few observations each detect outliers together', t => {
  const load = { endpoints: 60, bad: 9, badShare: 0.45, instances: 65, perSecond: 700, baseShare: 0.01 }
  const before = simulate({ ...load, isEjecting: false })
  const after = simulate({ ...load, isEjecting: true })
  t.true(after.failed < 0.6 * before.failed, `${before.failed} failed without, ${after.failed} with`)
  t.is(after.ejectedAtEnd, 0)
})

// Guards against ejections that would increase an overload.
test('no endpoint is ejected if all fail alike', t => {
  t.is(simulate({ endpoints: 3, bad: 3, badShare: 0.45, instances: 8, perSecond: 42, isEjecting: true }).maxEjected, 0)
})

test('healthy endpoints are not ejected by chance', t => {
  t.is(simulate({ endpoints: 8, bad: 0, badShare: 0, instances: 8, perSecond: 96, isEjecting: true }).maxEjected, 0)
})

test('no endpoint is ejected if the others lack capacity', t => {
  const detector = outlierDetectors.createOutlierDetector()
  const endpoints = ['e1', 'e2', 'e3'].map(id => ({ id, load: 2, slots: 6 }))
  for (let i = 0; i < 30; i++) for (const { id } of endpoints) detector.record(id, id === 'e1', 0)
  t.deepEqual([...detector.findOutliers('s', endpoints, 0)], ['e1'])
  t.deepEqual([...detector.findOutliers('s', endpoints.map(item => ({ ...item, load: 4 })), 0)], [])
})

// Guards against an endpoint that fails only for one availability zone.
test('own observations are also evaluated alone', t => {
  const detector = outlierDetectors.createOutlierDetector()
  const endpoints = ['e1', 'e2', 'e3'].map(id => ({ id, load: 1, slots: 6 }))
  detector.merge([['e1', 60, 3], ['e2', 60, 3], ['e3', 60, 3]], 0)
  for (let i = 0; i < 12; i++) for (const { id } of endpoints) detector.record(id, id === 'e1' && i % 2 === 0, 0)
  t.deepEqual([...detector.findOutliers('s', endpoints, 0)], ['e1'])
})

// Guards against unbounded memory, because replaced endpoints have new ids.
test('statistics of removed endpoints are deleted', t => {
  const detector = outlierDetectors.createOutlierDetector()
  for (let i = 0; i < 1000; i++) detector.record(`e${i}`, true, i)
  t.true(detector.size() >= 1000)
  detector.takeDeltas(1_000_000)
  t.is(detector.size(), 0)
})
