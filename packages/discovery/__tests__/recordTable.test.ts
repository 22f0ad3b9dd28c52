/** Records merged in whatever order their news arrives. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as discovery from '../src/index.js'

const test = ava.default

function toRecord (change: Partial<discovery.EndpointRecord> = {}): discovery.EndpointRecord {
  return { kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0, ...change }
}

// An endpoint that leaves gets new work for seconds after it was told that it will not. One control instance takes "leaving"
// and passes on signs of the announcements that follow; another one misses the change itself, hears the signs, and then takes
// the change for older than what it knows.
test('a sign of life does not hide the change before it', t => {
  const table = discovery.createRecordTable()
  table.merge(toRecord({ seq: 9 }), 0)
  t.true(table.applyHeartbeat(['e1', 1, 11], 10))
  t.is(table.merge(toRecord({ seq: 10, state: 'leaving' }), 20), 'changed')
  t.is(table.get('e1')?.record.state, 'leaving')
  t.is(table.get('e1')?.lastSeenSeq, 11)
})

// A runner says that it is gone to an instance that heard nineteen of its announcements, while the entry instance knows the
// twenty-fourth from another one. Its farewell, numbered twenty, was taken for old, and it got work for as long as it lived.
test('a farewell counts although others heard later announcements', t => {
  const table = discovery.createRecordTable()
  table.merge(toRecord({ seq: 24 }), 0)
  t.is(table.merge(toRecord({ seq: 20, state: 'gone' }), 1), 'changed')
  t.is(table.get('e1')?.record.state, 'gone')
  t.is(table.merge(toRecord({ seq: 25 }), 2), 'stale', 'a late announcement does not bring it back')
})

// A late announcement of a runner's earlier life, or of the time before it left, must not bring it back.
test('an older announcement changes nothing', t => {
  const table = discovery.createRecordTable()
  table.merge(toRecord({ startedAt: 5, seq: 3, state: 'leaving' }), 0)
  t.is(table.merge(toRecord({ startedAt: 4, seq: 90 }), 1), 'stale')
  t.is(table.merge(toRecord({ startedAt: 5, seq: 2 }), 1), 'stale')
  t.is(table.merge(toRecord({ startedAt: 5, seq: 4 }), 1), 'stale', 'nor back to ready in the same life')
  t.is(table.merge(toRecord({ startedAt: 6, seq: 1 }), 1), 'changed', 'but a later life begins anew')
})

// An endpoint crashes and starts again under its id. Signs of its former life, which are still under way, would make the new
// one look alive for as long as they come.
test('a sign of a former life is not one of the present', t => {
  const table = discovery.createRecordTable()
  table.merge(toRecord({ startedAt: 5, seq: 1 }), 0)
  t.false(table.applyHeartbeat(['e1', 4, 90], 10))
  t.is(table.get('e1')?.lastSeenAt, 0)
})

test('the order in which news arrives does not matter', t => {
  const list = fc.array(fc.record({
    startedAt: fc.integer({ min: 1, max: 3 }),
    seq: fc.integer({ min: 1, max: 5 }),
    state: fc.constantFrom('ready' as const, 'leaving' as const, 'gone' as const)
  }), { minLength: 2, maxLength: 8 })
  fc.assert(fc.property(list, fc.integer(), (news, seed) => {
    // In one life a state never goes back, as endpoints do not.
    const order = { starting: 0, ready: 1, leaving: 2, gone: 3 }
    const sent = news.filter((item, i) => news.every((other, j) => i === j || other.startedAt !== item.startedAt || other.seq !== item.seq) &&
      news.every(other => other.startedAt !== item.startedAt || other.seq >= item.seq || order[other.state] <= order[item.state]))
    const shuffled = [...sent].map((item, i) => ({ item, key: Math.sin(seed + i * 7919) })).sort((a, b) => a.key - b.key).map(pair => pair.item)
    const [one, two] = [sent, shuffled].map(items => {
      const table = discovery.createRecordTable()
      for (const item of items) table.merge(toRecord(item), 0)
      return table.get('e1')?.record
    })
    t.deepEqual(one, two)
  }), { seed: 7, numRuns: 300 })
})
