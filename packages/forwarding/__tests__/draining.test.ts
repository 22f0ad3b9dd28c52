/** Admission at a draining instance. */
import * as ava from 'ava'
import * as draining from '../src/admission/draining.js'

const test = ava.default

// Guards against streams that are aborted at the end of the grace period.
test('a long stream is rejected late in the grace period', t => {
  t.true(draining.isAccepted({ elapsedMs: 1000, graceMs: 8000, waitMs: 12_000 }))
  t.false(draining.isAccepted({ elapsedMs: 3950, graceMs: 8000, waitMs: 12_000 }))
})

test('a short request is accepted if it ends within the grace period', t => {
  t.true(draining.isAccepted({ elapsedMs: 6500, graceMs: 8000, waitMs: 600 }))
  t.false(draining.isAccepted({ elapsedMs: 7000, graceMs: 8000, waitMs: 600 }))
})
