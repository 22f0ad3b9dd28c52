/** Which endpoints may get work, by what is known of them. */
import * as ava from 'ava'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as endpointPools from '../src/endpointPool.js'

const test = ava.default
const SILENT_MS = 5000

interface TestPool { pool: endpointPools.EndpointPool, take: (change: Partial<discovery.EndpointRecord>, at?: number) => void, usable: (at: number) => string[], setCurrent: (at: number, since?: number) => void, forget: (at: number) => void }

function createPool (): TestPool {
  const table = discovery.createRecordTable()
  const log = telemetry.createLog({ instance: 'test', level: 'silent' })
  let currentAt = 0
  let currentSince = -Infinity
  const pool = endpointPools.createEndpointPool({ table, currentAt: () => currentAt, currentSince: () => currentSince, unresponsiveMs: SILENT_MS, log })
  return {
    pool,
    take (change, at = 0) {
      const record: discovery.EndpointRecord = { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0, ...change }
      if (table.merge(record, at) === 'changed') pool.update([record])
    },
    usable: at => pool.usable('s', at).map(item => item.id),
    setCurrent (at, since) {
      currentAt = at
      currentSince = since ?? currentSince
    },
    forget (at) {
      table.prune(at)
      pool.prune()
    }
  }
}

// An endpoint loses its power. Its address belongs to no one, so each request that is sent there waits for a connection that
// never comes.
test('an endpoint that fell silent gets no work', t => {
  const { take, usable, setCurrent } = createPool()
  take({ id: 'e1' })
  take({ id: 'e2', address: '10.0.0.2:80' })
  setCurrent(SILENT_MS)
  t.deepEqual(usable(SILENT_MS), ['e1', 'e2'])
  take({ id: 'e2', address: '10.0.0.2:80', seq: 2 }, SILENT_MS)
  setCurrent(SILENT_MS + 1)
  t.deepEqual(usable(SILENT_MS + 1), ['e2'])
})

// All control instances are killed. No sign of life arrives any more, of any endpoint, though all are well.
test('while there is no news, silence says nothing', t => {
  const { take, usable, setCurrent } = createPool()
  take({ id: 'e1' })
  setCurrent(100)
  t.deepEqual(usable(10 * SILENT_MS), ['e1'])
})

// An endpoint crashes and another one starts at its address two seconds later. Requests for the first would be run by a
// process that is not theirs, were they sent without the name of the one they are for, and are refused with it.
test('an endpoint whose address a later one has is gone', t => {
  const { take, usable } = createPool()
  take({ id: 'old', startedAt: 10 })
  take({ id: 'new', startedAt: 20 })
  t.deepEqual(usable(0), ['new'])
})

test('a late announcement of the earlier one does not drive out the later', t => {
  const { take, usable } = createPool()
  take({ id: 'new', startedAt: 20 })
  take({ id: 'old', startedAt: 10 })
  t.true(usable(0).includes('new'))
})

// Twelve requests wait at an endpoint that loses its power, and all of them find out at once. It is back in a second, but was
// left alone for two by each instance, as after five failures in a row; the log had 102 lines about two endpoints.
test('one failure that many requests notice counts once', t => {
  const { pool, take, usable } = createPool()
  take({ id: 'e1' })
  take({ id: 'e2', address: '10.0.0.2:80' })
  const endpoint = pool.get('e1') as endpointPools.Endpoint
  for (let i = 0; i < 12; i++) pool.markUnreachable(endpoint, 100 + i, 'no connection')
  t.is(endpoint.failures, 1)
  t.deepEqual(usable(200), ['e2'])
  t.deepEqual(usable(400), ['e1', 'e2'])
  pool.markUnreachable(endpoint, 400, 'no connection')
  t.is(endpoint.failures, 2)
})

// All control instances are down for a minute and come back. Until each endpoint has announced itself again nothing is heard of
// it, and the instance refused everything for a second although all endpoints were well.
test('an outage of the control instances does not make endpoints silent', t => {
  const { take, usable, setCurrent } = createPool()
  take({ id: 'e1' })
  setCurrent(1000, 0)
  setCurrent(61_000, 61_000)
  t.deepEqual(usable(61_000), ['e1'])
  setCurrent(61_001 + SILENT_MS)
  t.deepEqual(usable(61_001 + SILENT_MS), [], 'but it counts from then on')
})

// Endpoints crash and are replaced under new ids, thousands a day; none of them says farewell.
test('endpoints that were not heard of for long are forgotten, those with work are not', t => {
  const { pool, take, forget } = createPool()
  take({ id: 'e1' })
  take({ id: 'e2', address: '10.0.0.2:80' })
  const busy = pool.get('e2') as endpointPools.Endpoint
  busy.inFlight = 1
  forget(1000)
  t.is(pool.all().length, 2)
  forget(200_000)
  t.deepEqual(pool.all().map(item => item.id), ['e2'])
})
