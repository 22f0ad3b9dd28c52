/** Who is served first where not all can be. */
import * as ava from 'ava'
import * as urgencies from '../src/urgency.js'

const test = ava.default
const RANKS: urgencies.Ranks = { accounts: urgencies.toOrder([1, 1, 0, 1]), routes: urgencies.toOrder([0, 2, 1]) }

test('an urgent account goes before an urgent route', t => {
  const order = [[0, 0], [0, 1], [0, 2], [1, 0], [1, 1], [1, 2]].map(([account, route]) => urgencies.toQueueShare(RANKS, account, route))
  t.deepEqual(order, [...order].sort((a, b) => b - a))
  t.is(new Set(order).size, 6)
  t.is(order[0], 1)
  t.true(order[5] > 0.5, 'and the least urgent is still served')
})

test('who has no rank goes behind all others, and nobody where all are alike', t => {
  const ranks = { accounts: urgencies.toOrder([null, 3]), routes: [0] }
  t.is(urgencies.toQueueShare(ranks, 3, 0), 1)
  t.true(urgencies.toQueueShare(ranks, null, 0) < 1)
  t.is(urgencies.toQueueShare({ accounts: [], routes: [0] }, null, 0), 1)
  t.is(urgencies.toQueueShare({ accounts: [1], routes: [4] }, 1, 4), 1)
})
