/** Merging of records in any order of arrival. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as discovery from '../src/index.js'

const test = ava.default

function toRecord (change: Partial<discovery.EndpointRecord> = {}): discovery.EndpointRecord {
  return { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0, ...change }
}

// Heartbeats of later announcements may arrive before the "leaving" announcement, which must not be dropped as stale.
test('a heartbeat does not hide an earlier change', t => {
  const table = discovery.createRecordTable()
  table.merge(toRecord({ seq: 9 }), 0)
  t.true(table.applyHeartbeat(['e1', 1, 11], 10))
  t.is(table.merge(toRecord({ seq: 10, state: 'leaving' }), 20), 'changed')
  t.is(table.get('e1')?.record.state, 'leaving')
  t.is(table.get('e1')?.lastSeenSeq, 11)
})

// The control instance that receives "gone" may have received fewer announcements than others, and numbers it too low.
test('state "gone" applies even with a lower number than known announcements', t => {
  const table = discovery.createRecordTable()
  table.merge(toRecord({ seq: 24 }), 0)
  t.is(table.merge(toRecord({ seq: 20, state: 'gone' }), 1), 'changed')
  t.is(table.get('e1')?.record.state, 'gone')
  t.is(table.merge(toRecord({ seq: 25 }), 2), 'stale', 'a delayed announcement does not revert it')
})

// A delayed announcement of an earlier incarnation, or of the time before "leaving", must not make an endpoint ready again.
test('an older announcement is stale', t => {
  const table = discovery.createRecordTable()
  table.merge(toRecord({ startedAt: 5, seq: 3, state: 'leaving' }), 0)
  t.is(table.merge(toRecord({ startedAt: 4, seq: 90 }), 1), 'stale')
  t.is(table.merge(toRecord({ startedAt: 5, seq: 2 }), 1), 'stale')
  t.is(table.merge(toRecord({ startedAt: 5, seq: 4 }), 1), 'stale', 'the state does not go back within an incarnation')
  t.is(table.merge(toRecord({ startedAt: 6, seq: 1 }), 1), 'changed', 'a later incarnation may be ready')
})

// Delayed heartbeats of a crashed incarnation must not make its successor appear alive.
test('a heartbeat of an earlier incarnation is ignored', t => {
  const table = discovery.createRecordTable()
  table.merge(toRecord({ startedAt: 5, seq: 1 }), 0)
  t.false(table.applyHeartbeat(['e1', 4, 90], 10))
  t.is(table.get('e1')?.lastSeenAt, 0)
})

test('the result does not depend on the order of arrival', t => {
  const list = fc.array(fc.record({
    startedAt: fc.integer({ min: 1, max: 3 }),
    seq: fc.integer({ min: 1, max: 5 }),
    state: fc.constantFrom('ready' as const, 'leaving' as const, 'gone' as const)
  }), { minLength: 2, maxLength: 8 })
  fc.assert(fc.property(list, fc.integer(), (announcements, seed) => {
    // Only sequences in which the state does not go back within an incarnation, as real endpoints announce them.
    const order = { starting: 0, ready: 1, leaving: 2, gone: 3 }
    const sent = announcements.filter((item, i) => announcements.every((other, j) => i === j || other.startedAt !== item.startedAt || other.seq !== item.seq) &&
      announcements.every(other => other.startedAt !== item.startedAt || other.seq >= item.seq || order[other.state] <= order[item.state]))
    const shuffled = [...sent].map((item, i) => ({ item, key: Math.sin(seed + i * 7919) })).sort((a, b) => a.key - b.key).map(pair => pair.item)
    const [one, two] = [sent, shuffled].map(items => {
      const table = discovery.createRecordTable()
      for (const item of items) table.merge(toRecord(item), 0)
      return table.get('e1')?.record
    })
    t.deepEqual(one, two)
  }), { seed: 7, numRuns: 300 })
})

// Only changes are sent to entry instances; a second warm-up of a running endpoint is one.
test('an endpoint that becomes cold again while it warms up is a change', t => {
  const table = discovery.createRecordTable()
  const record = toRecord({ coldMs: 3000 })
  t.is(table.merge(record, 0), 'changed')
  t.is(table.merge({ ...record, seq: 2, coldMs: 1800 }, 1200), 'refreshed')
  t.is(table.merge({ ...record, seq: 3, coldMs: 600 }, 2400), 'refreshed')
  t.is(table.merge({ ...record, seq: 4, coldMs: 2900 }, 2700), 'changed')
  t.is(table.merge({ ...record, seq: 5, coldMs: 0 }, 6000), 'changed')
})

// Other instances than the one that hears an endpoint receive its changes only, so they know the first warm-up alone.
test('an instance that knows only the first warm-up recognizes the second one', t => {
  const table = discovery.createRecordTable()
  const record = toRecord({ coldMs: 3000 })
  t.is(table.merge(record, 0), 'changed')
  t.is(table.merge({ ...record, seq: 4, coldMs: 2900 }, 2700), 'changed')
})

// Guards against memory that records of many unknown processes exhaust, and against the loss of those that are used.
test('a full table removes records of ended processes, then of silent ones, and refuses unknown ones otherwise', t => {
  const table = discovery.createRecordTable(4)
  for (const [id, at] of [['ended', 50_000], ['silent', 0], ['longSilent', -1], ['living', 50_000]] as const) {
    table.merge(toRecord({ id, state: id === 'ended' ? 'gone' : 'ready' }), at)
  }
  const merged = Array.from({ length: 6 }, (_, i) => table.merge(toRecord({ id: `new${i}` }), 51_000 + i * 2000))
  t.deepEqual(merged, ['changed', 'changed', 'changed', 'full', 'full', 'full'])
  t.deepEqual(table.all().map(item => item.id).sort(), ['living', 'new0', 'new1', 'new2'])
  t.is(table.merge(toRecord({ id: 'living', seq: 2, state: 'leaving' }), 60_000), 'changed')
})

// Guards against tables that do not fit into a message any more.
test('names as long as they may be do not fill a table beyond its bytes', t => {
  const table = discovery.createRecordTable()
  const service = 'ก'.repeat(256)
  const merged = Array.from({ length: 12_000 }, (_, i) => table.merge(toRecord({ id: `${i}-`.padEnd(256, 'x'), service, zone: service }), 0))
  t.is(merged.at(-1), 'full')
  t.true(table.all().length > 2000)
  t.true(discovery.packRecords(table.all()).length < 8 * 1024 * 1024)
  t.is(table.merge(toRecord({ id: '0-'.padEnd(256, 'x'), seq: 2, state: 'leaving' }), 1), 'changed')
})

// Guards against endpoints and entry instances that are refused, and departures that are forgotten, because of long names of another writer.
test('records with long names keep out no others', t => {
  const table = discovery.createRecordTable()
  const service = 'ก'.repeat(256)
  for (let i = 0; i < 50; i++) table.merge(toRecord({ id: `gone${i}`, state: 'gone' }), 0)
  for (let i = 0; i < 3000; i++) table.merge(toRecord({ id: `${i}-`.padEnd(256, 'x'), service, zone: service }), i * 10)
  t.is(table.merge(toRecord({ id: 'long', service, zone: service }), 30_000), 'full')
  for (let i = 0; i < 50; i++) t.is(table.get(`gone${i}`)?.record.state, 'gone')
  const suffix = 'x'.repeat(160)
  const merged = Array.from({ length: 12_000 }, (_, i) => table.merge(toRecord({ id: `${i}-${suffix}`, service: 'service-of-a-fleet', address: '100.100.100.100:65535' }), 30_000))
  t.true(merged.every(result => result === 'changed'))
  t.true(Array.isArray(discovery.unpackRecords(discovery.packRecords(table.all()))), 'they fit into one message')
})

test('a full table admits entry instances', t => {
  const table = discovery.createRecordTable(2)
  for (const id of ['e1', 'e2']) table.merge(toRecord({ id }), 0)
  t.is(table.merge(toEntry(), 100), 'changed')
  t.is(table.merge(toRecord({ id: 'e3' }), 100), 'full')
})

// Guards against processor time that a full table costs for each refused record.
test('a full table looks for room at most once a second', t => {
  const table = discovery.createRecordTable(2)
  for (const id of ['e1', 'e2']) table.merge(toRecord({ id }), 0)
  t.is(table.merge(toRecord({ id: 'e3' }), 100), 'full')
  table.merge(toRecord({ id: 'e1', seq: 2, state: 'gone' }), 150)
  t.is(table.merge(toRecord({ id: 'e3' }), 200), 'full')
  t.is(table.merge(toRecord({ id: 'e3' }), 1100), 'changed')
})

function toEntry (change: Partial<discovery.EntryRecord> = {}): discovery.EntryRecord {
  return { kind: 'entry', id: 'r1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', region: 'r', front: '10.0.0.2:80', inner: '10.0.0.2:81', ...change }
}

// Guards against an entry instance that is lost to callers because an endpoint bears its id.
test('an entry instance is known whatever endpoint bears its id, in any order', t => {
  const entry = toEntry({ id: 'e1' })
  const endpoint = toRecord({ startedAt: 9, seq: 9 })
  for (const list of [[entry, endpoint], [endpoint, entry]]) {
    const table = discovery.createRecordTable()
    t.deepEqual(list.map(item => table.merge(item, 0)), ['changed', list[0] === entry ? 'stale' : 'changed'])
    t.deepEqual(table.all(), [entry])
  }
})

const QUARANTINED = [{ fingerprint: 'f1', crashed: ['e1@1', 'e2@1', 'e3@1'] }]

// Guards against the loss of quarantined requests when an instance announces its next start before it has learned them.
test('a later start takes over the quarantined requests until it announces its own', t => {
  const earlier = toEntry({ quarantined: QUARANTINED })
  const later = toEntry({ startedAt: 2, state: 'starting' })
  for (const list of [[earlier, later], [later, earlier]]) {
    const table = discovery.createRecordTable()
    for (const item of list) t.is(table.merge(item, 0), item === list[0] || item === later ? 'changed' : 'supplemented')
    t.deepEqual(table.get('r1')?.record, { ...later, inherited: QUARANTINED })
    t.is(table.merge(toEntry({ startedAt: 2, seq: 2, state: 'ready' }), 1), 'changed')
    t.deepEqual(table.get('r1')?.record, toEntry({ startedAt: 2, seq: 2, inherited: QUARANTINED }))
    t.is(table.merge(toEntry({ startedAt: 2, seq: 3 }), 2), 'refreshed', 'the same content again')
    t.is(table.merge(toEntry({ startedAt: 2, seq: 4, quarantined: [] }), 3), 'changed')
    t.is(table.merge(earlier, 4), 'stale')
    t.deepEqual(table.get('r1')?.record, toEntry({ startedAt: 2, seq: 4, quarantined: [] }))
  }
})
