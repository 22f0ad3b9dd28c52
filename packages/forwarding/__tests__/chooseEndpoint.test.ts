/** Where requests go, replayed on loads of the kinds that the choice is made for. */
import * as ava from 'ava'
import * as chooseEndpoints from '../src/chooseEndpoint.js'

const test = ava.default

function toCandidate (id: string, change: Partial<chooseEndpoints.Candidate> = {}): chooseEndpoints.Candidate {
  return { id, zone: 'a', load: 0, ownInFlight: 0, slots: 128, isCold: false, delayMs: 0, freeConnections: 100, ageMs: Infinity, ...change }
}

const EIGHT = Array.from({ length: 8 }, (_, i) => toCandidate(`e${i}`))
const SUBJECTS = Array.from({ length: 400 }, (_, i) => `shared,subject${i}`)

function idOf (choice: chooseEndpoints.Choice): string | undefined {
  return choice.kind === 'chosen' ? choice.id : undefined
}

function homeOf (candidates: chooseEndpoints.Candidate[], affinity: string): string | undefined {
  return idOf(chooseEndpoints.chooseEndpoint(candidates, { affinity, zone: 'a', delayLimitMs: 560 }, 0))
}

test('requests with the same shared parts go to one endpoint, those of many subjects to all', t => {
  const homes = SUBJECTS.map(item => homeOf(EIGHT, item))
  t.deepEqual(homes, SUBJECTS.map(item => homeOf([...EIGHT].reverse(), item)))
  t.is(new Set(homes).size, 8)
})

// Two of ten runners are new. Each would take over a tenth of all subjects at once, whose prompts of ten thousand tokens the
// others hold: a fifth of all prompts read again within seconds.
test('new endpoints take over few subjects at first', t => {
  const before = SUBJECTS.map(item => homeOf(EIGHT, item))
  const joined = [...EIGHT, toCandidate('n1', { ageMs: 1000 }), toCandidate('n2', { ageMs: 1000 })]
  const moved = SUBJECTS.filter((item, i) => homeOf(joined, item) !== before[i]).length
  t.true(moved < SUBJECTS.length * 0.06, `${moved} moved`)
  const grown = [...EIGHT, toCandidate('n1', { ageMs: 300_000 }), toCandidate('n2', { ageMs: 300_000 })]
  const settled = SUBJECTS.filter(item => ['n1', 'n2'].includes(homeOf(grown, item) ?? '')).length
  t.true(settled > SUBJECTS.length * 0.12, `${settled} are theirs in the long run`)
})

// A subject becomes popular: its endpoint must not carry twice what the others do.
test('a subject beyond its endpoint\'s share spreads to the next ones in its order', t => {
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
  t.true(new Set(used.slice(0, 20)).size <= 4, 'and not over all of them at once')
})

test('a call of a plain service stays in its availability zone while there is room', t => {
  const candidates = [toCandidate('near', { slots: 6, load: 1 }), toCandidate('far', { zone: 'b', slots: 6 })]
  t.is(idOf(chooseEndpoints.chooseEndpoint(candidates, { affinity: undefined, zone: 'a', delayLimitMs: 560 }, 0.5)), 'near')
  candidates[0].load = 6
  t.is(idOf(chooseEndpoints.chooseEndpoint(candidates, { affinity: undefined, zone: 'a', delayLimitMs: 560 }, 0.5)), 'far')
})

test('no endpoint is chosen beyond its connections', t => {
  t.is(chooseEndpoints.chooseEndpoint([toCandidate('e', { freeConnections: 0 })], { affinity: undefined, zone: 'a', delayLimitMs: 560 }, 0).kind, 'none')
})

// A runner leaves, and the prompts that it holds are read again elsewhere: ten thousand tokens for each of its subjects,
// although it can still be asked for them.
test('what an endpoint that leaves holds is copied by those that take over', t => {
  for (const item of SUBJECTS) {
    const home = homeOf(EIGHT, item) as string
    t.is(chooseEndpoints.chooseCacheSource(EIGHT, item, home), undefined, 'nothing is copied while all is as it was')
    const others = EIGHT.filter(other => other.id !== home)
    t.is(chooseEndpoints.chooseCacheSource(EIGHT, item, homeOf(others, item) as string), home)
  }
})

test('a newcomer copies from the endpoint whose place it took', t => {
  const joined = [...EIGHT, toCandidate('n1', { ageMs: 20_000 })]
  const taken = SUBJECTS.filter(item => homeOf(joined, item) === 'n1')
  t.true(taken.length > 0)
  for (const item of taken) t.is(chooseEndpoints.chooseCacheSource(joined, item, 'n1'), homeOf(EIGHT, item))
})

// An endpoint reads many prompts, and a request would begin there a second late. Sent there it is late for sure; sent to any
// other one its prompt would be read at all of them.
test('a request passes over a home with a long queue, and is refused where the next one has one as well', t => {
  const [item] = SUBJECTS
  const home = homeOf(EIGHT, item) as string
  const second = homeOf(EIGHT.filter(other => other.id !== home), item) as string
  const withDelay = (delays: Record<string, number>): chooseEndpoints.Candidate[] => EIGHT.map(other => ({ ...other, delayMs: delays[other.id] ?? 0 }))
  t.is(homeOf(withDelay({ [home]: 1000 }), item), second)
  t.deepEqual(chooseEndpoints.chooseEndpoint(withDelay({ [home]: 1000, [second]: 700 }), { affinity: item, zone: 'a', delayLimitMs: 560 }, 0), { kind: 'busy', delayMs: 700 })
})
