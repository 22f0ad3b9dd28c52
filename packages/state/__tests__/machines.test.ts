/** State machines of the ledger and of the fleet. */
import * as ava from 'ava'
import type * as contracts from '@kingcupdeck/contracts'
import * as state from '../src/index.js'

const test = ava.default
const HOUR = 3_600_000
const DAY = 24 * HOUR

function begin (ledger: state.LedgerMachine, key: string, keyMs: number, atMs: number, more: Partial<Extract<state.LedgerCommand, { t: 'begin' }>> = {}): contracts.LedgerKeyState {
  return ledger.apply({ t: 'begin', account: 'a', key, attempt: `${key}-1`, keyMs, hash: 'h', retentionMs: DAY, ...more }, { index: 1, atMs }) as contracts.LedgerKeyState
}

test('a repeated key gets the stored answer', t => {
  const ledger = state.createLedgerMachine()
  const answer = { status: 200, contentType: 'text/plain', body: Buffer.from('ok') }
  t.is(begin(ledger, 'k', 1000, 1000).kind, 'begun')
  t.is(begin(ledger, 'k', 1000, 1100, { attempt: 'other' }).kind, 'started')
  ledger.apply({ t: 'finish', account: 'a', key: 'k', attempt: 'k-1', answer }, { index: 2, atMs: 1200 })
  t.deepEqual(begin(ledger, 'k', 1000, 1300, { attempt: 'third' }), { kind: 'finished', finishedAt: 1200, answer })
  t.is(begin(ledger, 'k', 1000, 1300, { attempt: 'third', hash: 'other' }).kind, 'reused')
  t.is(begin(ledger, 'k', 1000, 1300, { account: 'b' }).kind, 'begun')
})

// Guards against running a call again after its record was evicted.
test('a key older than the retention is rejected as expired', t => {
  const ledger = state.createLedgerMachine()
  t.is(begin(ledger, 'k', 1000, 1000).kind, 'begun')
  t.is(begin(ledger, 'k', 1000, 1000 + DAY + 1, { attempt: 'later' }).kind, 'expired')
  begin(ledger, 'x', 3 * DAY, 3 * DAY)
  t.is(ledger.size(), 1)
  t.is(begin(ledger, 'k', 1000, 3 * DAY, { attempt: 'later' }).kind, 'expired')
})

// Guards against running a call again whose record was evicted under a shorter retention.
test('lengthening the retention does not make evicted keys valid again', t => {
  const ledger = state.createLedgerMachine()
  begin(ledger, 'k', HOUR, HOUR, { retentionMs: HOUR })
  begin(ledger, 'x', 9 * HOUR, 9 * HOUR, { retentionMs: HOUR })
  t.is(begin(ledger, 'k', HOUR, 9 * HOUR, { retentionMs: 30 * DAY, attempt: 'later' }).kind, 'expired')
})

test('a key too far in the future is rejected', t => {
  t.is(begin(state.createLedgerMachine(), 'k', DAY, 1000).kind, 'ahead')
})

test('only the attempt that began a request can abort it', t => {
  const ledger = state.createLedgerMachine()
  begin(ledger, 'k', 1000, 1000)
  ledger.apply({ t: 'abort', account: 'a', key: 'k', attempt: 'other' }, { index: 2, atMs: 1001 })
  t.is(begin(ledger, 'k', 1000, 1002, { attempt: 'other' }).kind, 'started')
  ledger.apply({ t: 'abort', account: 'a', key: 'k', attempt: 'k-1' }, { index: 3, atMs: 1003 })
  t.is(begin(ledger, 'k', 1000, 1004, { attempt: 'other' }).kind, 'begun')
})

test('a ledger is restored from its snapshot', t => {
  const ledger = state.createLedgerMachine()
  begin(ledger, 'old', 1000, 1000)
  begin(ledger, 'k', 2 * DAY, 2 * DAY)
  const copy = state.createLedgerMachine()
  copy.restore(ledger.save())
  t.is(begin(copy, 'old', 1000, 2 * DAY, { attempt: 'later', retentionMs: 30 * DAY }).kind, 'expired')
  t.is(begin(copy, 'k', 2 * DAY, 2 * DAY, { attempt: 'later' }).kind, 'started')
})

const doc = (title: string): contracts.Document => ({ format: 1, deployment: 'd', timeZone: 'UTC', zones: { z: { title } }, priorities: {}, services: {}, models: {}, carriages: {}, clientAccounts: {}, patience: {}, operators: {}, ledger: { retentionHours: 24, maxAnswerBytes: 1 } })

function put (fleet: state.FleetMachine, operation: string, baseVersion: number, title: string): state.FleetResult {
  return fleet.apply({ t: 'put', operator: 'o', operation, baseVersion, document: doc(title) } satisfies state.FleetCommand, { index: 1, atMs: 1 }) as state.FleetResult
}

// Guards against a lost update between concurrent operators.
test('of two documents with the same base version only the first is accepted', t => {
  const fleet = state.createFleetMachine()
  t.deepEqual(put(fleet, 'first', 0, 'a'), { t: 'put', version: 1 })
  t.deepEqual(put(fleet, 'left', 1, 'b'), { t: 'put', version: 2 })
  t.deepEqual(put(fleet, 'right', 1, 'c'), { t: 'conflict', currentVersion: 2 })
  t.is(fleet.document()?.zones.z.title, 'b')
})

test('a resent operation gets its first result, also after a later change', t => {
  const fleet = state.createFleetMachine()
  put(fleet, 'first', 0, 'a')
  put(fleet, 'second', 1, 'b')
  t.deepEqual(put(fleet, 'first', 0, 'a'), { t: 'put', version: 1 })
  t.is(fleet.document()?.zones.z.title, 'b')
})

test('document updates are deltas while these are retained, otherwise full documents', t => {
  const fleet = state.createFleetMachine()
  for (let i = 0; i < 210; i++) put(fleet, `op-${i}`, i, `t${i}`)
  t.is(fleet.documentUpdate(210), undefined)
  t.deepEqual(fleet.documentUpdate(208)?.changes?.map(item => item.op === 'set' ? item.value : item.op), [{ title: 't208' }, { title: 't209' }])
  t.not(fleet.documentUpdate(3)?.whole, undefined)
  t.not(fleet.documentUpdate(0)?.whole, undefined)
})

const instance = (id: string, boot: string): contracts.Instance => ({ id, boot, incarnation: 0, zone: 'z', peer: '127.0.0.1:1', url: 'http://127.0.0.1:2', leaving: false })

test('a resent join gets the same incarnation, a join of a restarted process does not', t => {
  const fleet = state.createFleetMachine()
  const join = (boot: string): state.FleetResult => fleet.apply({ t: 'join', instance: instance('r1', boot) } satisfies state.FleetCommand, { index: 1, atMs: 1 }) as state.FleetResult
  t.deepEqual(join('one'), { t: 'joined', incarnation: 1 })
  t.deepEqual(join('one'), { t: 'joined', incarnation: 1 })
  t.deepEqual(join('two'), { t: 'joined', incarnation: 0 })
  t.is(fleet.view(), 1)
})

test('a new instance can reconstruct the views that laggards may act on', t => {
  const fleet = state.createFleetMachine()
  for (const id of ['r1', 'r2', 'r3']) fleet.apply({ t: 'join', instance: instance(id, id) } satisfies state.FleetCommand, { index: 1, atMs: 1 })
  fleet.apply({ t: 'left', id: 'r1', incarnation: 1 } satisfies state.FleetCommand, { index: 1, atMs: 1 })
  const update = fleet.viewUpdate(0, [{ instance: 'r2', seen: 2 }])
  t.is(update.base?.number, 2)
  t.deepEqual(update.base?.instances.map(item => item.id).sort(), ['r1', 'r2'])
  t.deepEqual(update.changes.map(item => `${item.kind} ${item.instance.id}`), ['joined r3', 'left r1'])
})
