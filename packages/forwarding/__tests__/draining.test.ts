/** What an instance that stops still takes. */
import * as ava from 'ava'
import * as draining from '../src/draining.js'

const test = ava.default

// A buyer's note stops in the middle: it was sent to an instance four seconds after that one was told to stop, ran for almost
// four seconds more, and the instance's grace of eight seconds was over first.
test('a long stream is not taken late in a stop', t => {
  t.true(draining.isAccepted({ elapsedMs: 1000, graceMs: 8000, waitMs: 12_000 }))
  t.false(draining.isAccepted({ elapsedMs: 3950, graceMs: 8000, waitMs: 12_000 }))
})

test('a short request is taken as long as it ends in time', t => {
  t.true(draining.isAccepted({ elapsedMs: 6500, graceMs: 8000, waitMs: 600 }))
  t.false(draining.isAccepted({ elapsedMs: 7000, graceMs: 8000, waitMs: 600 }))
})
