/** Cost of records and requests beside many endpoints of other writers, as a count of the fields read. */
import * as ava from 'ava'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as endpointPools from '../src/endpoints/endpointPool.js'

const test = ava.default
const RECORDS = 2000
const MAX_READS_PER_RECORD = 40

interface CountingPool { pool: endpointPools.EndpointPool, announce: (change: Partial<discovery.EndpointRecord>) => void, /** Returns the reads of fields of records since the previous call. */ takeReads: () => number }

function createPool (): CountingPool {
  const table = discovery.createRecordTable()
  const log = telemetry.createLog({ instance: 'test', json: true, write: () => {} })
  const pool = endpointPools.createEndpointPool({ table, lastQuorumAt: () => 0, quorumSince: () => -Infinity, unresponsiveMs: () => 5000, log, now: () => 0 })
  let reads = 0
  return {
    pool,
    announce (change) {
      const record: discovery.EndpointRecord = { kind: 'endpoint', id: 'i-1', startedAt: 1000, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 4, coldMs: 0, ...change }
      table.merge(record, 0)
      pool.update([new Proxy(record, {
        get (target, name) {
          reads++
          return Reflect.get(target, name)
        }
      })])
    },
    takeReads () {
      const taken = reads
      reads = 0
      return taken
    }
  }
}

const toAddress = (i: number): string => `10.1.${i >> 8}.${i & 255}:80`
const families: Array<[string, (i: number) => Partial<discovery.EndpointRecord>]> = [
  ['at addresses of their own', i => ({ address: toAddress(i) })],
  ['at one address, each started later', i => ({ startedAt: 1000 + i })],
  ['at one address, each started earlier', i => ({ startedAt: 1_000_000 - i })],
  ['at one address, started at once', () => ({ startedAt: 2000 })],
  ['at one address, each second one later than all before', i => ({ startedAt: i % 2 === 0 ? 1_000_000 - i : 500_000 + i })]
]

// Guards against an entry instance that is stopped for seconds by records of a writer outside.
for (const [name, toChange] of families) {
  test(`the cost of a record does not depend on the number of endpoints: ${name}`, t => {
    const { pool, announce, takeReads } = createPool()
    for (let i = 0; i < RECORDS; i++) announce({ id: `odd-${i}`, service: 'unnamed', ...toChange(i) })
    pool.prune()
    const reads = takeReads()
    t.true(reads < MAX_READS_PER_RECORD * RECORDS, `${reads} reads`)
  })
}

test('endpoints of other services cost a request nothing', t => {
  const { pool, announce, takeReads } = createPool()
  announce({})
  for (let i = 0; i < RECORDS; i++) announce({ id: `odd-${i}`, service: 'unnamed', address: toAddress(i) })
  takeReads()
  t.deepEqual(pool.usable('s', 0).map(item => item.id), ['i-1'])
  t.deepEqual(pool.reachable('s', 0).map(item => item.id), ['i-1'])
  pool.describeReach('s', 0)
  const reads = takeReads()
  t.true(reads < MAX_READS_PER_RECORD, `${reads} reads`)
})

test('an endpoint whose service changes is found under the new one only', t => {
  const { pool, announce } = createPool()
  announce({})
  announce({ seq: 2, service: 'other' })
  t.deepEqual(pool.usable('s', 0), [])
  t.deepEqual(pool.usable('other', 0).map(item => item.id), ['i-1'])
})
