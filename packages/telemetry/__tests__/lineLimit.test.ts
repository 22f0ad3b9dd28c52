/** The limit of log lines of an event. */
import * as ava from 'ava'
import * as telemetry from '../src/index.js'

const test = ava.default

// Guards against logs that grow with what others send.
test('one occurrence in each interval is logged, with the number of those before', t => {
  let now = 0
  const toUnlogged = telemetry.createLineLimit(100, () => now)
  t.is(toUnlogged(), 0)
  now = 50
  t.is(toUnlogged(), undefined)
  now = 99
  t.is(toUnlogged(), undefined)
  now = 100
  t.is(toUnlogged(), 2)
  now = 200
  t.is(toUnlogged(), 0)
})
