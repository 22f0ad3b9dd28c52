/** Endpoints at whose address a later start is announced, in error or not. */
import * as ava from 'ava'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as endpointPools from '../src/endpoints/endpointPool.js'

const test = ava.default
const HEARTBEAT_MS = 1200
const MINUTE_MS = 60_000

interface TestPool {
  pool: endpointPools.EndpointPool
  table: discovery.RecordTable
  announce: (change: Partial<discovery.EndpointRecord>) => void
  /** Announces the first endpoint for a time, at the interval of heartbeats. */
  goOn: (forMs: number, onAnnounced?: () => void) => void
  wait: (ms: number) => number
  usable: () => string[]
}

function createPool (): TestPool {
  let now = 0
  let seq = 1
  const table = discovery.createRecordTable()
  const log = telemetry.createLog({ instance: 'test', json: true, write: () => {} })
  const pool = endpointPools.createEndpointPool({ table, lastQuorumAt: () => now, quorumSince: () => -Infinity, unresponsiveMs: () => 5000, log, now: () => now })
  const announce = (change: Partial<discovery.EndpointRecord>): void => {
    const record: discovery.EndpointRecord = { kind: 'endpoint', id: 'i-1', startedAt: 1000, seq: seq++, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 4, coldMs: 0, ...change }
    if (discovery.isContentChanged(table.merge(record, now))) pool.update([record])
  }
  return {
    pool,
    table,
    announce,
    goOn (forMs, onAnnounced) {
      for (const end = now + forMs; now < end;) {
        now += HEARTBEAT_MS
        announce({})
        onAnnounced?.()
      }
    },
    wait (ms) { return (now += ms) },
    usable: () => pool.usable('s', now).map(item => item.id)
  }
}

test('an endpoint that goes on announcing itself is used again after an odd entry with its address', t => {
  const { pool, table, announce, goOn, wait, usable } = createPool()
  announce({})
  announce({ id: 'odd', service: 'unnamed', startedAt: 2000 })
  goOn(5 * MINUTE_MS, () => {
    table.prune(wait(0))
    pool.prune()
  })
  t.deepEqual(usable(), ['i-1'])
})

test('an endpoint that goes on announcing itself is used again within seconds, without a prune', t => {
  const { announce, goOn, usable } = createPool()
  announce({})
  announce({ id: 'odd', service: 'unnamed', startedAt: 2000 })
  t.deepEqual(usable(), [])
  goOn(4 * HEARTBEAT_MS)
  t.deepEqual(usable(), ['i-1'])
})

test('odd entries that keep coming do not hide an endpoint that goes on announcing itself', t => {
  const { announce, goOn, usable } = createPool()
  announce({})
  let odd = 0
  const hidden: number[] = []
  goOn(MINUTE_MS, () => {
    odd++
    announce({ id: `odd-${odd}`, service: 'unnamed', startedAt: 2000 + odd, seq: 1 })
    if (usable().length === 0) hidden.push(odd)
  })
  t.deepEqual(hidden, [1, 2, 3])
})

// Guards against requests to the address of an endpoint that crashed, of which a partition had delayed heartbeats.
for (const delayMs of [0, 2000, 20_000, 60_000]) {
  test(`a heartbeat delayed by ${delayMs} ms does not bring a replaced endpoint back`, t => {
    const { announce, table, wait, usable } = createPool()
    announce({ id: 'i-1' })
    const announceNew = (seq: number): void => { announce({ id: 'i-2', startedAt: 2000, seq }) }
    announceNew(1)
    let seq = 2
    for (let at = 0; at < delayMs; at += 1000) {
      wait(1000)
      announceNew(seq++)
      t.deepEqual(usable(), ['i-2'])
    }
    announce({ id: 'i-1' })
    announce({ id: 'i-1', coldMs: 3000 })
    const heardAt = wait(0)
    // The control instance reports it as live at its ticks until it is late.
    for (let at = 1000; at <= 20_000; at += 1000) {
      const now = wait(1000)
      announceNew(seq++)
      if (now - heardAt <= discovery.LATE_AFTER_MS + discovery.TICK_INTERVAL_MS) table.noteSeen('i-1', now - discovery.LATE_AFTER_MS)
      t.deepEqual(usable(), ['i-2'])
    }
  })
}

test('an endpoint that leaves or ends while it is superseded is not used again', t => {
  for (const state of ['leaving', 'gone'] as const) {
    const { announce, goOn, usable } = createPool()
    announce({})
    announce({ id: 'odd', service: 'unnamed', startedAt: 2000, seq: 1 })
    announce({ state })
    goOn(MINUTE_MS)
    t.deepEqual(usable(), [])
  }
})

test('a restart of a superseded endpoint is used at once', t => {
  const { announce, usable } = createPool()
  announce({})
  announce({ id: 'odd', service: 'unnamed', startedAt: 2000, seq: 1 })
  announce({ startedAt: 3000 })
  t.deepEqual(usable(), ['i-1'])
})
