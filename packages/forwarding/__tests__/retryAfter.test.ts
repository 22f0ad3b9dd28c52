/** Retry-After of rejected requests. */
import * as ava from 'ava'
import * as retryAfters from '../src/admission/retryAfter.js'

const test = ava.default

// Guards against retries during the same outage, and against long waits after a short one.
test('the delay of a starting instance is about the duration of the outage so far', t => {
  for (let uptimeMs = 100; uptimeMs < 3000; uptimeMs += 100) {
    for (const draw of [0, 0.5, 0.99]) {
      const backAtMs = uptimeMs + retryAfters.toRetryAfterMs({ kind: 'starting', uptimeMs }, draw)
      t.true(backAtMs >= 2 * uptimeMs && backAtMs >= 500)
      t.true(backAtMs <= 2.5 * uptimeMs + 600)
    }
  }
})

test('delays have jitter', t => {
  const times = Array.from({ length: 50 }, (_, i) => retryAfters.toRetryAfterMs({ kind: 'noRoom' }, i / 50))
  t.is(new Set(times).size, 50)
  t.true(Math.max(...times) <= 1.5 * Math.min(...times))
})

test('a draining instance lets clients retry immediately', t => {
  t.true(retryAfters.toRetryAfterMs({ kind: 'stopping' }, 0.5) < 50)
})
