/** Endpoints that answer worse than the others, replayed on the load of a small service and of a large one. */
import * as ava from 'ava'
import * as helper from './helpers/random.js'
import * as outlierDetectors from '../src/outlierDetector.js'

const test = ava.default

interface Replay { failed: number, requests: number, mostAside: number, asideAtEnd: number }

/**
 * Sends a service's requests to its endpoints in turn, from instances that tell each other what they saw five times a second.
 * From second 4 to 10 some endpoints fail a share of theirs; everywhere a tenth fails all the time.
 */
function replay (opts: { endpoints: number, bad: number, badShare: number, instances: number, perSecond: number, isSettingAside: boolean, baseShare?: number }, seed = 7): Replay {
  const random = helper.createRandom(seed)
  const ids = Array.from({ length: opts.endpoints }, (_, i) => `e${i}`)
  const instances = Array.from({ length: opts.instances }, () => outlierDetectors.createOutlierDetector())
  const judged = ids.map(id => ({ id, load: 0.5, slots: 6 }))
  const result: Replay = { failed: 0, requests: 0, mostAside: 0, asideAtEnd: 0 }
  const stepMs = 1000 / opts.perSecond
  let toldAt = 0
  for (let now = 0; now < 20_000; now += stepMs) {
    const instance = instances[Math.floor(random() * instances.length)]
    const worse = opts.isSettingAside ? instance.findOutliers('s', judged, now) : new Set<string>()
    const usable = ids.filter(id => !worse.has(id))
    const id = usable[Math.floor(random() * usable.length)]
    const isBad = now >= 4000 && now < 10_000 && ids.indexOf(id) < opts.bad
    const isFailed = random() < (isBad ? opts.badShare : opts.baseShare ?? 0.1)
    instance.record(id, isFailed, now)
    result.requests++
    if (isFailed && now >= 4000 && now < 10_000) result.failed++
    result.mostAside = Math.max(result.mostAside, worse.size)
    result.asideAtEnd = worse.size
    if (now - toldAt < 200) continue
    toldAt = now
    for (const [i, from] of instances.entries()) {
      const news = from.takeDeltas(now)
      for (const [j, to] of instances.entries()) if (i !== j) to.merge(news, now)
    }
  }
  return result
}

/** The mean of failed requests over several replays. */
function meanFailed (opts: Parameters<typeof replay>[0]): number {
  const seeds = Array.from({ length: 12 }, (_, i) => (i + 1) * 7919)
  return seeds.reduce((sum, seed) => sum + replay(opts, seed).failed, 0) / seeds.length
}

// Three endpoints take 42 bookings a second from eight instances. One of them fails four of ten for six seconds while its
// health is good; a booking that failed may not be sent again, so each is lost to the caller.
test('one of three endpoints that fails four of ten gets little work, and its share again later', t => {
  const load = { endpoints: 3, bad: 1, badShare: 0.45, instances: 8, perSecond: 42 }
  const before = meanFailed({ ...load, isSettingAside: false })
  const after = meanFailed({ ...load, isSettingAside: true })
  t.true(after < 0.75 * before, `${before} failed without, ${after} with`)
  t.is(replay({ ...load, isSettingAside: true }).asideAtEnd, 0)
})

// A sixth of 60 endpoints fails four of ten; each of 65 instances sees few of their answers.
test('many instances that see little each find the worse ones together', t => {
  const load = { endpoints: 60, bad: 9, badShare: 0.45, instances: 65, perSecond: 700, baseShare: 0.01 }
  const before = replay({ ...load, isSettingAside: false })
  const after = replay({ ...load, isSettingAside: true })
  t.true(after.failed < 0.6 * before.failed, `${before.failed} failed without, ${after.failed} with`)
  t.is(after.asideAtEnd, 0)
})

// A service fails everywhere, as under too much load. Setting endpoints aside would drown the rest.
test('endpoints that all fail alike all get work', t => {
  t.is(replay({ endpoints: 3, bad: 3, badShare: 0.45, instances: 8, perSecond: 42, isSettingAside: true }).mostAside, 0)
})

test('sound endpoints are not set aside by chance', t => {
  t.is(replay({ endpoints: 8, bad: 0, badShare: 0, instances: 8, perSecond: 96, isSettingAside: true }).mostAside, 0)
})

test('no endpoint is set aside whose work the others have no places for', t => {
  const outcomes = outlierDetectors.createOutlierDetector()
  const endpoints = ['e1', 'e2', 'e3'].map(id => ({ id, load: 2, slots: 6 }))
  for (let i = 0; i < 30; i++) for (const { id } of endpoints) outcomes.record(id, id === 'e1', 0)
  t.deepEqual([...outcomes.findOutliers('s', endpoints, 0)], ['e1'])
  t.deepEqual([...outcomes.findOutliers('s', endpoints.map(item => ({ ...item, load: 4 })), 0)], [])
})

// An endpoint fails only for callers of one availability zone: to the others it is sound, and their answers outnumber those.
test('what an instance sees itself counts before what the others tell', t => {
  const outcomes = outlierDetectors.createOutlierDetector()
  const endpoints = ['e1', 'e2', 'e3'].map(id => ({ id, load: 1, slots: 6 }))
  outcomes.merge([['e1', 60, 3], ['e2', 60, 3], ['e3', 60, 3]], 0)
  for (let i = 0; i < 12; i++) for (const { id } of endpoints) outcomes.record(id, id === 'e1' && i % 2 === 0, 0)
  t.deepEqual([...outcomes.findOutliers('s', endpoints, 0)], ['e1'])
})

// Thousands of endpoints are replaced each day, each under a new id: what was seen of them must not be kept for good.
test('endpoints that are gone are forgotten', t => {
  const outcomes = outlierDetectors.createOutlierDetector()
  for (let i = 0; i < 1000; i++) outcomes.record(`e${i}`, true, i)
  t.true(outcomes.size() >= 1000)
  outcomes.takeDeltas(1_000_000)
  t.is(outcomes.size(), 0)
})
