/** Parts of prompts that crash endpoints, in a fleet of instances, and the requests beside them; on virtual time. */
import * as ava from 'ava'
import * as virtualFleets from './helpers/virtualFleet.js'
import * as virtualScenarios from './helpers/virtualScenario.js'

const test = ava.default
const SEEDS = [1, 2, 3, 4]
/** Sends of a crashing part by all instances together later than 3 s after its fifth crash. */
const MAX_LATE_SENDS = 3
/** Share of the other requests that may be rejected at their first attempt once the part is quarantined. */
const MAX_REJECTED_SHARE = 0.02

const SCENARIOS: Array<[name: string, change: Partial<virtualScenarios.Scenario>]> = [
  ['one', {}],
  ['one that comes first', { isFirst: true }],
  ['one that comes rarely', { badPerS: 0.5 }],
  ['one that comes often', { badPerS: 20 }],
  ['one that turns bad', { turnsBadShare: 0.3 }],
  ['first one that turns bad', { turnsBadShare: 0.3, isFirst: true }],
  ['one that turns bad with restarts of instances', { turnsBadShare: 0.3, restartMs: 1500 }],
  ['one with a neighbour', { hasNeighbours: true }],
  ['first one with a neighbour', { hasNeighbours: true, isFirst: true }],
  ['one that waits in queues', { queueMs: 700 }],
  ['one that crashes late', { crashMs: 2000 }],
  ['one with a neighbour that crashes late', { crashMs: 2000, hasNeighbours: true }],
  ['four', { badParts: 4 }],
  ['four that crash late beside long requests', { badParts: 4, meanMs: 3000, crashMs: 2000 }],
  ['four beside long requests', { badParts: 4, meanMs: 3000 }],
  ['four with slow gossip', { badParts: 4, gossipMs: 200 }],
  ['four with lost messages', { badParts: 4, gossipMs: 50, lossShare: 0.33 }],
  ['four with restarts of instances', { badParts: 4, gossipMs: 50, restartMs: 2000 }],
  ['two beside crashing requests', { badParts: 2, crashing: 3, copies: 2 }],
  ['two beside a popular request', { badParts: 2, popularShare: 0.3 }],
  ['one beside few others', { rate: 10 }]
]

/** Runs a scenario with each seed; both tests of it look at the same outcomes. */
function createRuns (change: Partial<virtualScenarios.Scenario>): () => Array<{ seed: number, outcome: virtualScenarios.Outcome }> {
  let runs: Array<{ seed: number, outcome: virtualScenarios.Outcome }> | undefined
  return () => {
    runs ??= SEEDS.map(seed => ({ seed, outcome: virtualFleets.runScenario({ ...virtualScenarios.QUIET, crashing: 0, badParts: 1, ...change, seed }) }))
    return runs
  }
}

for (const [name, change] of SCENARIOS) {
  const run = createRuns(change)
  // Guards against a part that crashes endpoints without end, since no request with it comes twice.
  test(`crashing parts are sent at most three times later than 3 s after their fifth crash: ${name}`, t => {
    for (const { seed, outcome: { latePartSends, lateSends } } of run()) {
      t.true(latePartSends <= MAX_LATE_SENDS, `${latePartSends} late sends, seed ${seed}`)
      t.true(lateSends <= MAX_LATE_SENDS, `${lateSends} late sends of a request, seed ${seed}`)
    }
  })

  // Guards against holding back the parts that sound requests share with crashing ones.
  test(`requests that share other parts with crashing ones are served: ${name}`, t => {
    for (const { seed, outcome: { settled, settledRejected } } of run()) {
      t.true(settledRejected <= settled * MAX_REJECTED_SHARE, `${settledRejected} of ${settled} rejected, seed ${seed}`)
    }
  })
}
