/** The account of held bytes, and the pace at which long responses are read. */
import * as ava from 'ava'
import * as heldBytes from '@kingcupdeck/links'
import * as readPacers from '../src/attempts/readPacer.js'

const test = ava.default

test('what holds most is ended when the limit is exceeded', t => {
  const held = heldBytes.createHeldBytes(() => 100)
  const ended: string[] = []
  const open = (name: string, bytes: number): heldBytes.Holder => {
    const holder = held.open()
    holder.onExcess = () => { ended.push(name) }
    holder.add(bytes)
    return holder
  }
  const first = open('first', 30)
  const second = open('second', 50)
  first.add(20)
  t.deepEqual(ended, [])
  first.add(10)
  t.deepEqual(ended, ['first'])
  t.is(held.total(), 50)
  first.add(1000)
  first.release()
  t.is(held.total(), 50, 'what was ended holds nothing')
  open('third', 60)
  t.deepEqual(ended, ['first', 'third'])
  second.release()
  t.is(held.total(), 0)
})

test('what must not be ended counts, and leaves less for the others', t => {
  const held = heldBytes.createHeldBytes(() => 100)
  held.open().set(90)
  const other = held.open()
  let isEnded = false
  other.onExcess = () => { isEnded = true }
  other.set(10)
  t.false(isEnded)
  other.set(11)
  t.true(isEnded)
  t.is(held.total(), 90)
})

// A stream holds its first event for a moment; each one stayed in the account for ever.
test('what holds nothing any more is forgotten', t => {
  const held = heldBytes.createHeldBytes(() => 100)
  const holder = held.open()
  holder.set(40)
  t.is(held.count(), 1)
  holder.set(0)
  t.is(held.count(), 0)
  holder.set(10)
  holder.release()
  holder.set(20)
  t.is(held.count(), 0)
  t.is(held.total(), 0)
})

test('the limit follows the memory of the machine', t => {
  t.is(heldBytes.toHeldLimit(1000), 150)
  t.true(heldBytes.toHeldLimit(undefined) > 0)
})

// Guards against bodies that take their full share beside records and documents, and end the process for lack of memory.
test('the limit shrinks with what else the process takes, and grows again', t => {
  let clockMs = 0
  let othersBytes = 300
  const ended: string[] = []
  const held: heldBytes.HeldBytes = heldBytes.createHeldBytes(heldBytes.createHeldLimit({ memoryBytes: () => 1000, total: () => held.total(), readUsed: () => othersBytes + held.total(), now: () => clockMs }))
  const open = (name: string, bytes: number): heldBytes.Holder => {
    const holder = held.open()
    holder.onExcess = () => { ended.push(name) }
    holder.add(bytes)
    return holder
  }
  const large = open('large', 90)
  const small = open('small', 40)
  t.deepEqual(ended, [])
  othersBytes = 730
  clockMs += 1000
  small.add(1)
  t.deepEqual(ended, ['large'], 'the largest makes room')
  t.is(held.total(), 41)
  othersBytes = 2000
  clockMs += 1000
  open('least', 39)
  t.deepEqual(ended, ['large', 'small'], 'a small share is left whatever else is taken')
  t.is(held.total(), 39)
  othersBytes = 300
  clockMs += 1000
  open('again', 100)
  t.is(ended.length, 2)
  large.release()
})

test('a memory that cannot be read leaves the limit as it is', t => {
  const toLimit = heldBytes.createHeldLimit({ memoryBytes: () => 1000, total: () => 0, readUsed: () => { throw new Error('EMFILE') }, now: () => 0 })
  t.is(toLimit(), 150)
})

test('responses of a usual length are read at once', t => {
  const pacer = readPacers.createReadPacer(() => 0)
  for (let i = 0; i < 100; i++) t.is(pacer.open().charge(200_000, 10), 0)
})

test('long responses share one rate, whatever their number', t => {
  let clockMs = 0
  const pacer = readPacers.createReadPacer(() => clockMs)
  const readers = Array.from({ length: 50 }, () => ({ pace: pacer.open(), bytes: 0, readyAt: 0 }))
  for (; clockMs < 2000; clockMs++) {
    for (const reader of readers) {
      if (clockMs < reader.readyAt) continue
      reader.bytes += 65_536
      reader.readyAt = clockMs + reader.pace.charge(65_536, 1)
    }
  }
  const bytes = readers.map(item => item.bytes)
  t.true(bytes.reduce((sum, item) => sum + item, 0) < 50 * 400_000 + 2 * 40 * 2 ** 20)
  t.true(Math.max(...bytes) < 2 * Math.min(...bytes), `${Math.min(...bytes)} to ${Math.max(...bytes)}`)
})

test('a source that is paused for two reasons is read when neither is left', t => {
  const log: string[] = []
  const gate = readPacers.createPauseGate({ pause: () => log.push('pause'), resume: () => log.push('resume') })
  gate.set('receiver', true)
  gate.set('pace', true)
  gate.set('receiver', false)
  t.deepEqual(log, ['pause'])
  gate.set('pace', false)
  t.deepEqual(log, ['pause', 'resume'])
})
