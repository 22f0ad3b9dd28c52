/** Selection of an endpoint. */
import * as ava from 'ava'
import * as contracts from '@kingcupdeck/contracts'
import * as chooseEndpoints from '../src/placement/chooseEndpoint.js'

const test = ava.default

function toCandidate (id: string, change: Partial<chooseEndpoints.Candidate> = {}): chooseEndpoints.Candidate {
  return { id, zone: 'a', load: 0, ownInFlight: 0, slots: 128, isCold: false, delayMs: 0, freeConnections: 100, ageMs: Infinity, ...change }
}

const EIGHT = Array.from({ length: 8 }, (_, i) => toCandidate(`e${i}`))
const PREFIXES = Array.from({ length: 400 }, (_, i) => `shared,subject${i}`)

function idOf (choice: chooseEndpoints.Choice): string | undefined {
  return choice.kind === 'chosen' ? choice.id : undefined
}

function homeOf (candidates: chooseEndpoints.Candidate[], affinity: string): string | undefined {
  return idOf(chooseEndpoints.chooseEndpoint(candidates, { affinity: contracts.createScorer(affinity), zone: 'a', delayLimitMs: 560 }, 0))
}

test('requests with the same prompt prefix go to one endpoint, and different prefixes spread over all', t => {
  const homes = PREFIXES.map(item => homeOf(EIGHT, item))
  t.deepEqual(homes, PREFIXES.map(item => homeOf([...EIGHT].reverse(), item)))
  t.is(new Set(homes).size, 8)
})

// Guards against processing many prompts again at once when endpoints join.
test('new endpoints take over few prompt prefixes at first', t => {
  const before = PREFIXES.map(item => homeOf(EIGHT, item))
  const joined = [...EIGHT, toCandidate('n1', { ageMs: 1000 }), toCandidate('n2', { ageMs: 1000 })]
  const moved = PREFIXES.filter((item, i) => homeOf(joined, item) !== before[i]).length
  t.true(moved < PREFIXES.length * 0.06, `${moved} moved`)
  const grown = [...EIGHT, toCandidate('n1', { ageMs: 300_000 }), toCandidate('n2', { ageMs: 300_000 })]
  const settled = PREFIXES.filter(item => ['n1', 'n2'].includes(homeOf(grown, item) ?? '')).length
  t.true(settled > PREFIXES.length * 0.12, `${settled} after the warm-up`)
})

// Guards against overloading the endpoint of a popular prompt prefix.
test('a popular prompt prefix spills to the next endpoints in hash order', t => {
  const candidates = EIGHT.map(item => ({ ...item, load: 4 }))
  const used: string[] = []
  for (let i = 0; i < 60; i++) {
    const id = homeOf(candidates, 'shared,popular') as string
    const chosen = candidates.find(item => item.id === id) as chooseEndpoints.Candidate
    chosen.load++
    used.push(id)
    const mean = candidates.reduce((sum, item) => sum + item.load, 0) / candidates.length
    t.true(chosen.load <= 2 * mean + 3)
  }
  t.true(new Set(used.slice(0, 20)).size <= 4, 'it does not spread over all endpoints')
})

test('a request without affinity stays in its availability zone at low utilization', t => {
  const candidates = [toCandidate('near', { slots: 6, load: 1 }), toCandidate('far', { zone: 'b', slots: 6 })]
  t.is(idOf(chooseEndpoints.chooseEndpoint(candidates, { affinity: undefined, zone: 'a', delayLimitMs: 560 }, 0.5)), 'near')
  candidates[0].load = 6
  t.is(idOf(chooseEndpoints.chooseEndpoint(candidates, { affinity: undefined, zone: 'a', delayLimitMs: 560 }, 0.5)), 'far')
})

test('no endpoint is selected beyond its connection limit', t => {
  t.is(chooseEndpoints.chooseEndpoint([toCandidate('e', { freeConnections: 0 })], { affinity: undefined, zone: 'a', delayLimitMs: 560 }, 0).kind, 'none')
})

// Guards against processing cached prompts again although a leaving endpoint can still export them.
test('prompts of a leaving endpoint are imported by its successors', t => {
  for (const item of PREFIXES) {
    const home = homeOf(EIGHT, item) as string
    t.is(chooseEndpoints.chooseCacheSource(EIGHT, contracts.createScorer(item), home), undefined, 'nothing is imported while the endpoints are unchanged')
    const others = EIGHT.filter(other => other.id !== home)
    t.is(chooseEndpoints.chooseCacheSource(EIGHT, contracts.createScorer(item), homeOf(others, item) as string), home)
  }
})

test('a new endpoint imports from the endpoint that it replaces', t => {
  const joined = [...EIGHT, toCandidate('n1', { ageMs: 20_000 })]
  const takenOver = PREFIXES.filter(item => homeOf(joined, item) === 'n1')
  t.true(takenOver.length > 0)
  for (const item of takenOver) t.is(chooseEndpoints.chooseCacheSource(joined, contracts.createScorer(item), 'n1'), homeOf(EIGHT, item))
})

// Guards against late responses, and against spreading a prompt prefix over all endpoints under overload.
test('a request spills if its first endpoint has a long queue, and is rejected if the second has one too', t => {
  const [item] = PREFIXES
  const home = homeOf(EIGHT, item) as string
  const second = homeOf(EIGHT.filter(other => other.id !== home), item) as string
  const withDelay = (delays: Record<string, number>): chooseEndpoints.Candidate[] => EIGHT.map(other => ({ ...other, delayMs: delays[other.id] ?? 0 }))
  t.is(homeOf(withDelay({ [home]: 1000 }), item), second)
  t.deepEqual(chooseEndpoints.chooseEndpoint(withDelay({ [home]: 1000, [second]: 700 }), { affinity: contracts.createScorer(item), zone: 'a', delayLimitMs: 560 }, 0), { kind: 'busy', delayMs: 700 })
})

// Load pattern: a third of the endpoints may not be chosen, the others take over its work, and one prompt prefix is popular.
test('the load bound counts endpoints that may not be chosen', t => {
  const evacuatedCount = 4
  const candidates = EIGHT.map(item => ({ ...item, load: 8 }))
  const toServiceMean = (): number => candidates.reduce((sum, item) => sum + item.load, 0) / (candidates.length + evacuatedCount)
  for (let i = 0; i < 40; i++) {
    const choice = chooseEndpoints.chooseEndpoint(candidates, { affinity: contracts.createScorer('shared,popular'), zone: 'a', delayLimitMs: 560, meanLoad: toServiceMean() }, 0)
    const chosen = candidates.find(item => item.id === idOf(choice)) as chooseEndpoints.Candidate
    chosen.load++
    t.true(chosen.load <= 2 * toServiceMean() + 3, `${chosen.load} requests, mean ${toServiceMean()}`)
  }
})
