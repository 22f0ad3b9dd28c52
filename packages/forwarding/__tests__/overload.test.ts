/** Simulation of overload: more requests with prompts than the engines can serve in time. */
import * as ava from 'ava'
import * as engineModels from './helpers/engineModel.js'

const test = ava.default

const KINDS: engineModels.RequestKind[] = [
  { name: 'draft', perSecond: 18, sharedTokens: 10_500, ownTokens: 1300, outTokens: 380, subjects: 60, targetMs: 800, worth: 5.5 },
  { name: 'note', perSecond: 26, sharedTokens: 700, ownTokens: 130, outTokens: 290, subjects: 120, targetMs: 800, worth: 1.1 },
  { name: 'tag', perSecond: 32, sharedTokens: 2000, ownTokens: 360, outTokens: 25, subjects: 120, targetMs: 1200, worth: 0.33 }
]
const BASELINE: engineModels.Policy = { rejectsLateRequests: false, movesSlowRequests: true }
const CURRENT: engineModels.Policy = { rejectsLateRequests: true, movesSlowRequests: false }
const SEEDS = [1, 2]
const LONG_BURST: engineModels.Load = {
  kinds: KINDS,
  seconds: 24,
  factor: second => second > 4 && second < 16 ? 5 : 1,
  isLost: (engine, second) => engine < 3 && second > 6 && second < 14
}

function share (list: engineModels.SimulationResult[], numerator: (item: engineModels.SimulationResult) => number, denominator: (item: engineModels.SimulationResult) => number): number {
  const sum = (get: (item: engineModels.SimulationResult) => number): number => list.reduce((total, item) => total + get(item), 0)
  return sum(numerator) / sum(denominator)
}

// Guards against growing queues, and against prompts that are processed repeatedly, when engines are lost under load.
test('requests that would begin late are rejected while engines are lost, and the others begin in time', t => {
  const baseline = SEEDS.map(seed => engineModels.simulate(LONG_BURST, BASELINE, seed))
  const current = SEEDS.map(seed => engineModels.simulate(LONG_BURST, CURRENT, seed))
  const credit = (list: engineModels.SimulationResult[]): number => share(list, item => item.credit, item => item.maxCredit)
  const figures = [baseline, current].map(list => `credit ${credit(list).toFixed(3)}, in time ${share(list, item => item.inTime, item => item.requests).toFixed(3)}, late ${share(list, item => item.late, item => item.requests).toFixed(3)}, failed ${share(list, item => item.failed, item => item.requests).toFixed(3)}, refused ${share(list, item => item.refused, item => item.requests).toFixed(3)}`)
  t.log(figures.join('; '))
  const inTime = (list: engineModels.SimulationResult[]): number => share(list, item => item.inTime, item => item.requests)
  const failed = (list: engineModels.SimulationResult[]): number => share(list, item => item.failed, item => item.requests)
  t.true(credit(current) > credit(baseline))
  t.true(inTime(current) > inTime(baseline) + 0.1)
  t.true(failed(current) < failed(baseline) / 2)
  const sortedFirstMs = current.flatMap(item => item.firstMs).sort((a, b) => a - b)
  t.true(sortedFirstMs[Math.floor(sortedFirstMs.length / 2)] < 800)
})

test('no request is rejected at normal load', t => {
  for (const seed of SEEDS) t.is(engineModels.simulate({ ...LONG_BURST, seconds: 8, factor: () => 1, isLost: () => false }, CURRENT, seed).refused, 0)
})

const LARGE_FLEET: Pick<engineModels.Fleet, 'engines' | 'instances' | 'slots'> = { engines: 69, instances: 191, slots: 12 }
/** Each instance reports to all others; the interval grows with their number. */
const DIRECT: engineModels.Fleet = { ...LARGE_FLEET, gossipIntervalMs: 3050, gossipDelayMs: 5, isStaggered: true, reportTtlMs: 3000, reportsDelays: true }
/** Reports through relays: two further intervals on the way. */
const RELAYED: engineModels.Fleet = { ...LARGE_FLEET, gossipIntervalMs: 300, gossipDelayMs: 600, isStaggered: true, reportTtlMs: 3000, reportsDelays: true }
/** A third of the engines is lost in a burst, and a few prompts are asked for much more often than the others. */
const LARGE_BURST: engineModels.Load = {
  kinds: [
    { name: 'draft', perSecond: 108, sharedTokens: 10_500, ownTokens: 1300, outTokens: 380, subjects: 523, targetMs: 519, worth: 4.9 },
    { name: 'note', perSecond: 93, sharedTokens: 700, ownTokens: 130, outTokens: 290, subjects: 301, targetMs: 508, worth: 1.6 },
    { name: 'hot', perSecond: 60, sharedTokens: 2000, ownTokens: 360, outTokens: 23, subjects: 2, targetMs: 1010, worth: 0.26 },
    { name: 'tag', perSecond: 168, sharedTokens: 2000, ownTokens: 360, outTokens: 23, subjects: 738, targetMs: 1010, worth: 0.26 }
  ],
  seconds: 14,
  factor: second => second > 4 && second < 9 ? 1.7 : 1,
  isLost: (engine, second) => engine % 3 === 0 && second > 5 && second < 10
}

// At 191 instances each one knows the others' loads only from gossip; loads that are older than a request lasts place it at random.
test('a large fleet with relayed loads serves a burst better than with reports from each to each', t => {
  const toCredit = (fleet: engineModels.Fleet): number => share(SEEDS.map(seed => engineModels.simulate(LARGE_BURST, CURRENT, seed, fleet)), item => item.credit, item => item.maxCredit)
  const [direct, relayed] = [toCredit(DIRECT), toCredit(RELAYED)]
  t.log(`credit ${direct.toFixed(3)} direct, ${relayed.toFixed(3)} relayed`)
  t.true(relayed > direct)
})
