/** Limits that change while an instance runs. */
import * as ava from 'ava'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as endpointPools from '../src/endpoints/endpointPool.js'
import * as retryBudgets from '../src/attempts/retryBudget.js'

const test = ava.default

// Guards against retries by the limits of the start, after an operator lowered them during an overload.
test('a retry budget follows its limits', t => {
  let options: retryBudgets.RetryBudgetOptions = { ratio: 1, windowMs: 10_000, slack: 0 }
  const budget = retryBudgets.createRetryBudget(() => options)
  for (let i = 0; i < 100; i++) budget.recordRequest(i)
  t.true(budget.trySpend(100, 1))
  options = { ...options, ratio: 0 }
  t.false(budget.trySpend(101, 1))
  options = { ...options, slack: 10 }
  t.true(budget.trySpend(102, 1))
})

// Guards against a budget that is spent twice because its window changed.
test('a retry budget keeps its counts when the window changes', t => {
  let options: retryBudgets.RetryBudgetOptions = { ratio: 0, windowMs: 10_000, slack: 5 }
  const budget = retryBudgets.createRetryBudget(() => options)
  const countRetries = (now: number): number => {
    let count = 0
    while (budget.trySpend(now, 1)) count++
    return count
  }
  t.is(countRetries(50_000), 4)
  for (const windowMs of [2000, 20_000]) {
    options = { ...options, windowMs }
    t.is(countRetries(50_001), 0)
  }
  t.is(countRetries(50_001 + 20_000), 4)
})

// Guards against endpoints that count as silent, all at once, after their announcements were ordered to be rarer.
test('the time until an endpoint counts as silent follows the interval of announcements', t => {
  const table = discovery.createRecordTable()
  const log = telemetry.createLog({ instance: 'test', json: true, write: () => {} })
  let unresponsiveMs = 5000
  const pool = endpointPools.createEndpointPool({ table, lastQuorumAt: () => 6000, quorumSince: () => -Infinity, unresponsiveMs: () => unresponsiveMs, log, now: () => 6000 })
  const record: discovery.EndpointRecord = { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0 }
  table.merge(record, 0)
  pool.update([record])
  t.deepEqual(pool.usable('s', 6000), [])
  unresponsiveMs = 7000
  t.is(pool.usable('s', 6000).length, 1)
})
