/** Messages of other entry instances with odd values, drawn: a bad value costs itself alone. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as crashQuarantines from '../src/quarantine/crashQuarantine.js'
import * as crashReports from '../src/quarantine/crashReport.js'
import * as gossipTypes from '../src/gossip/gossipTypes.js'
import * as loadSums from '../src/gossip/loadSums.js'
import * as outlierDetectors from '../src/placement/outlierDetector.js'
import * as reachMessages from '../src/paths/reachMessages.js'
import * as trialPermits from '../src/quarantine/trialPermits.js'

const test = ava.default
const RUNS = { seed: 67, numRuns: 300 }
const odd = fc.oneof(fc.constantFrom<unknown>(NaN, Infinity, -1, -1e308, 1e308, 2 ** 53, '5', null, undefined, {}, [], '', 'x'.repeat(100_000), '\u0000', '__proto__'), fc.anything())
const report = { fingerprint: 'k', others: ['part:s:p'], crashed: ['e9@1'], agoMs: 5, ranMs: 5, survived: [], isCleared: false, hasSurvivors: false, isTrial: false, hasSucceeded: false }
const oddReport = fc.tuple(fc.constantFrom(...Object.keys(report)), odd).map(([field, value]): unknown => ({ ...report, [field]: value }))
const oddItem = fc.oneof(odd, fc.tuple(fc.constantFrom('e1', 'e2'), odd, odd), fc.tuple(odd, fc.constant(1), fc.constant(1)))
const mix = <T>(sound: T, other: fc.Arbitrary<unknown>): fc.Arbitrary<unknown[]> => fc.array(other, { maxLength: 4 }).chain(list => fc.nat(list.length).map(at => [...list.slice(0, at), sound, ...list.slice(at)]))

// Guards against a bad value of one instance that hides an endpoint, draws all requests to it, or costs what else the message says.
test('an update with odd values says the rest, and nothing out of range', t => {
  const updates = fc.record({ t: fc.constant('peer'), loads: mix(['sound', 3, 20], oddItem), outcomes: mix(['sound', 4, 1], oddItem), crashes: mix(report, oddReport), holders: mix('10.0.0.1:1', odd) })
  fc.assert(fc.property(updates, body => {
    const update = gossipTypes.gossipUpdate.parse(body)
    const sums = loadSums.sumLoads([update.loads, update.loads])
    t.true(sums.every(([, inFlight, delayMs]) => inFlight >= 0 && inFlight < 1e9 && (delayMs === null || (delayMs >= 0 && delayMs < 2 ** 31))))
    t.deepEqual(sums.find(([id]) => id === 'sound'), ['sound', 6, 20])
    t.true(update.crashes.every(item => item.agoMs >= 0 && item.agoMs < 2 ** 31 && item.ranMs >= 0 && item.ranMs < 2 ** 31))
    t.deepEqual(update.crashes.filter(item => item.fingerprint === 'k' && item.crashed[0] === 'e9@1' && item.agoMs === 5).length > 0, true)
    t.true(update.holders.includes('10.0.0.1:1'))
    const outliers = outlierDetectors.createOutlierDetector()
    outliers.merge(update.outcomes, 1)
    const quarantine = crashQuarantines.createCrashQuarantine({})
    quarantine.merge(update.crashes, 1, 'other')
    t.is(quarantine.judge(['sound'], 1).kind, 'allowed')
  }), RUNS)
})

// Guards against one message that stops an instance for seconds.
test('an update with long lists of suspects and crashes is read in part', t => {
  const keys = Array.from({ length: 100_000 }, (_, i) => `k${i}`)
  const update = gossipTypes.gossipUpdate.parse({ t: 'peer', loads: keys.map(key => [key, 1, 1]), outcomes: [], crashes: Array.from({ length: 5000 }, () => ({ ...report, others: keys.slice(0, 15_000), crashed: keys.slice(0, 50) })) })
  t.true(update.loads.length <= 20_000)
  t.true(update.crashes.reduce((sum, item) => sum + (item.others.length + 1) * (item.crashed.length + 1), 0) <= 1_000_000)
})

test('calls of other instances with odd values are refused or within range', t => {
  fc.assert(fc.property(odd, odd, mix(report, oddReport), (first, second, reports) => {
    const reach = reachMessages.reachReply.safeParse({ reached: ['e1', first], load: second })
    if (reach.success) t.true(reach.data.load >= 0 && reach.data.load < 1e9 && reach.data.reached.includes('e1'))
    const asked = reachMessages.reachCall.safeParse({ t: 'reach', endpoints: [['e1', 'a'], first], maxAgeMs: second })
    if (asked.success) t.true(asked.data.maxAgeMs >= 0 && asked.data.maxAgeMs < 2 ** 31)
    const trial = trialPermits.trialCall.safeParse({ t: 'trial', fingerprint: 'k', reports, others: ['o', first], carried: [second] })
    t.true(trial.success && trial.data.reports.length > 0 && trial.data.others.includes('o'))
  }), RUNS)
})

// Guards against sound reports that are lost because of one with too many pairs.
test('a crash report with too many pairs costs itself alone', t => {
  const odd = crashReports.toCrashReport('odd', { others: Array.from({ length: 20_000 }, (_, i) => `s${i}`), crashed: Array.from({ length: 100 }, (_, i) => `e${i}`) })
  const sound = crashReports.toCrashReport('sound', { crashed: ['e1'] })
  t.deepEqual(crashReports.crashReports.parse([odd, sound]).map(item => item.fingerprint), ['sound'])
})
