/** Several requests that crash endpoints at the same time, and the requests beside them; on virtual time. */
import * as ava from 'ava'
import * as virtualFleets from './helpers/virtualFleet.js'
import * as virtualScenarios from './helpers/virtualScenario.js'

const test = ava.default
const SEEDS = [1, 2, 3, 4]
/** Sends of a crashing request by all instances together after its third crash. */
const MAX_LATE_SENDS = 3

/** Share of the other requests that may end with a rejection, in the worst case of a crash each 0.2 s. */
const MAX_REJECTED_SHARE = 0.01

const SCENARIOS: Array<[name: string, change: Partial<virtualScenarios.Scenario>]> = [
  ['one', {}],
  ['one that waits in queues', { copies: 8, queueMs: 700 }],
  ['two', { crashing: 2 }],
  ['six', { crashing: 6 }],
  ['twelve', { crashing: 12 }],
  ['twelve beside long requests', { crashing: 12, meanMs: 3000 }],
  ['six of three clients each', { crashing: 6, copies: 3 }],
  ['six that wait in queues', { crashing: 6, copies: 3, queueMs: 700 }],
  ['six that crash late', { crashing: 6, crashMs: 2000 }],
  ['six beside a popular request', { crashing: 6, popularShare: 0.3 }],
  ['six with slow gossip', { crashing: 6, copies: 3, gossipMs: 200 }],
  ['six with lost messages', { crashing: 6, copies: 2, gossipMs: 50, lossShare: 0.33 }],
  ['six with restarts of instances', { crashing: 6, copies: 2, gossipMs: 50, restartMs: 3000 }]
]

for (const [name, change] of SCENARIOS) {
  // Guards against crashing requests that explain each other's crashes and are sent on without end.
  test(`crashing requests at once are sent at most three times after their third crash: ${name}`, t => {
    for (const seed of SEEDS) {
      const { lateSends } = virtualFleets.runScenario({ ...virtualScenarios.QUIET, ...change, seed })
      t.true(lateSends <= MAX_LATE_SENDS, `${lateSends} late sends, seed ${seed}`)
    }
  })

  // Guards against holding back what was only in flight beside crashing requests.
  test(`requests beside crashing ones are served: ${name}`, t => {
    for (const seed of SEEDS) {
      const { others, rejected } = virtualFleets.runScenario({ ...virtualScenarios.QUIET, ...change, seed })
      t.true(rejected <= others * MAX_REJECTED_SHARE, `${rejected} of ${others} rejected, seed ${seed}`)
    }
  })
}
