/** Request priorities under overload. */
import * as ava from 'ava'
import * as priorities from '../src/admission/priority.js'

const test = ava.default
const RANKS: priorities.Ranks = { accounts: priorities.toDistinctRanks([1, 1, 0, 1]), routes: priorities.toDistinctRanks([0, 2, 1]) }

test('the rank of the client account precedes the rank of the route', t => {
  const order = [[0, 0], [0, 1], [0, 2], [1, 0], [1, 1], [1, 2]].map(([account, route]) => priorities.toQueueShare(RANKS, account, route))
  t.deepEqual(order, [...order].sort((a, b) => b - a))
  t.is(new Set(order).size, 6)
  t.is(order[0], 1)
  t.true(order[5] > 0.5, 'the lowest priority still has a queue')
})

test('an account without a rank has the lowest priority, and equal ranks have no effect', t => {
  const ranks = { accounts: priorities.toDistinctRanks([null, 3]), routes: [0] }
  t.is(priorities.toQueueShare(ranks, 3, 0), 1)
  t.true(priorities.toQueueShare(ranks, null, 0) < 1)
  t.is(priorities.toQueueShare({ accounts: [], routes: [0] }, null, 0), 1)
  t.is(priorities.toQueueShare({ accounts: [1], routes: [4] }, 1, 4), 1)
})
