/** Availability of endpoints in the pool. */
import * as ava from 'ava'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as endpointPools from '../src/endpoints/endpointPool.js'

const test = ava.default
const UNRESPONSIVE_MS = 5000
const SILENT = { why: 'no connection', isSilent: true }

interface TestPool { pool: endpointPools.EndpointPool, announce: (change: Partial<discovery.EndpointRecord>, at?: number) => void, usable: (at: number) => string[], setQuorum: (at: number, since?: number) => void, prune: (at: number) => void, evacuated: Set<string>, /** Log events. */ events: string[] }

function createPool (): TestPool {
  const table = discovery.createRecordTable()
  const events: string[] = []
  const log = telemetry.createLog({ instance: 'test', json: true, write: line => { events.push(JSON.parse(line).event) } })
  let lastQuorumAt = 0
  let quorumSince = -Infinity
  const evacuated = new Set<string>()
  const pool = endpointPools.createEndpointPool({ table, lastQuorumAt: () => lastQuorumAt, quorumSince: () => quorumSince, evacuatedZones: () => [...evacuated], unresponsiveMs: () => UNRESPONSIVE_MS, log })
  return {
    pool,
    events,
    evacuated,
    announce (change, at = 0) {
      const record: discovery.EndpointRecord = { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0, ...change }
      if (table.merge(record, at) === 'changed') pool.update([record])
    },
    usable: at => pool.usable('s', at).map(item => item.id),
    setQuorum (at, since) {
      lastQuorumAt = at
      quorumSince = since ?? quorumSince
    },
    prune (at) {
      table.prune(at)
      pool.prune()
    }
  }
}

// Guards against requests that wait for a connection to a host that is down.
test('an unresponsive endpoint is not used', t => {
  const { announce, usable, setQuorum } = createPool()
  announce({ id: 'e1' })
  announce({ id: 'e2', address: '10.0.0.2:80' })
  setQuorum(UNRESPONSIVE_MS)
  t.deepEqual(usable(UNRESPONSIVE_MS), ['e1', 'e2'])
  announce({ id: 'e2', address: '10.0.0.2:80', seq: 2 }, UNRESPONSIVE_MS)
  setQuorum(UNRESPONSIVE_MS + 1)
  t.deepEqual(usable(UNRESPONSIVE_MS + 1), ['e2'])
})

// Guards against considering all endpoints unresponsive while no control instance is running.
test('endpoints stay available while no control instance is reachable', t => {
  const { announce, usable, setQuorum } = createPool()
  announce({ id: 'e1' })
  setQuorum(100)
  t.deepEqual(usable(10 * UNRESPONSIVE_MS), ['e1'])
})

// Guards against sending requests to a process that was replaced at its address.
test('an endpoint is removed when a later one announces its address', t => {
  const { announce, usable } = createPool()
  announce({ id: 'old', startedAt: 10 })
  announce({ id: 'new', startedAt: 20 })
  t.deepEqual(usable(0), ['new'])
})

test('a late announcement of the replaced endpoint does not remove the new one', t => {
  const { announce, usable } = createPool()
  announce({ id: 'new', startedAt: 20 })
  announce({ id: 'old', startedAt: 10 })
  t.true(usable(0).includes('new'))
})

// Guards against a long backoff and repeated log lines after a single failure.
test('one failure reported by many requests counts once', t => {
  const { pool, announce, usable } = createPool()
  announce({ id: 'e1' })
  announce({ id: 'e2', address: '10.0.0.2:80' })
  const endpoint = pool.get('e1') as endpointPools.Endpoint
  for (let i = 0; i < 12; i++) pool.markUnreachable(endpoint, 100 + i, SILENT)
  t.is(endpoint.failures, 1)
  t.deepEqual(usable(200), ['e2'])
  t.deepEqual(usable(400), ['e1', 'e2'])
  pool.markUnreachable(endpoint, 400, SILENT)
  t.is(endpoint.failures, 2)
})

// Guards against rejecting all requests after control instances are back and before endpoints announce themselves again.
test('an outage of the control instances does not make endpoints unresponsive', t => {
  const { announce, usable, setQuorum } = createPool()
  announce({ id: 'e1' })
  setQuorum(1000, 0)
  setQuorum(61_000, 61_000)
  t.deepEqual(usable(61_000), ['e1'])
  setQuorum(61_001 + UNRESPONSIVE_MS)
  t.deepEqual(usable(61_001 + UNRESPONSIVE_MS), [], 'they are unresponsive after the timeout from then on')
})

// Guards against unbounded memory, because replaced endpoints have new ids.
test('expired endpoints are removed unless they have requests in flight', t => {
  const { pool, announce, prune } = createPool()
  announce({ id: 'e1' })
  announce({ id: 'e2', address: '10.0.0.2:80' })
  const busy = pool.get('e2') as endpointPools.Endpoint
  busy.inFlight = 1
  prune(1000)
  t.is(pool.all().length, 2)
  prune(200_000)
  t.deepEqual(pool.all().map(item => item.id), ['e2'])
})

// New sends, retries and resumed streams all choose among the usable endpoints.
test('endpoints of an evacuated zone are not used, and remain sources of cached prompts', t => {
  const { pool, announce, usable, evacuated } = createPool()
  announce({ id: 'e1' })
  announce({ id: 'e2', address: '10.0.0.2:80', zone: 'y' })
  evacuated.add('z')
  t.deepEqual(usable(1), ['e2'])
  t.deepEqual(pool.reachable('s', 1).map(item => item.id), ['e1', 'e2'])
  evacuated.add('y')
  t.deepEqual(usable(1), [])
  evacuated.clear()
  t.deepEqual(usable(1), ['e1', 'e2'])
})

// Guards against sparing an endpoint that was up all the while, as after a restart.
test('an endpoint whose path was lost is not taken for cold', t => {
  const { pool, announce, usable } = createPool()
  announce({ id: 'e1' })
  const [endpoint] = pool.all()
  for (const at of [0, 1000]) pool.markUnreachable(endpoint, at, SILENT)
  t.true(endpointPools.mayBeCold(endpoint, UNRESPONSIVE_MS, 1000))
  pool.clearBackoff(endpoint)
  t.false(endpointPools.mayBeCold(endpoint, UNRESPONSIVE_MS, 1000))
  t.deepEqual(usable(1000), ['e1'])
})

// Guards against a second outage of an endpoint that is not in the log.
test('each outage of an endpoint is logged once a backoff period', t => {
  const { pool, announce, events } = createPool()
  announce({ id: 'e1' })
  const [endpoint] = pool.all()
  for (const at of [0, 10_000]) {
    pool.markUnreachable(endpoint, at, SILENT)
    for (let reports = 0; reports < 3; reports++) pool.logUnreachable(endpoint, SILENT)
    pool.markReachable(endpoint, at + 1000)
  }
  t.is(events.filter(item => item === 'endpointGone').length, 2)
})

// Guards against endpoints that are never used because their records came together with one that failed.
test('a record that cannot be applied costs no other one', t => {
  const { pool, announce, usable, events } = createPool()
  announce({ id: 'e1' })
  pool.get('e1')?.downListeners.add(() => { throw new Error('test') })
  const toRecord = (id: string, change: Partial<discovery.EndpointRecord>): discovery.EndpointRecord => ({ kind: 'endpoint', id, startedAt: 2, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0, ...change })
  const odd = new Proxy(toRecord('odd', {}), { get (target, name) { if (name === 'address') throw new Error('test'); return Reflect.get(target, name) } })
  pool.update([toRecord('e1', {}), odd, toRecord('e2', { address: '10.0.0.2:80' })])
  t.is(pool.get('e1')?.record.startedAt, 2)
  t.truthy(pool.get('e2'))
  t.deepEqual(usable(0), ['e1'])
  t.is(events.filter(item => item === 'uncaught').length, 1)
})
