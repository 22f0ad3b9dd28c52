/** When callers that are refused are told to come back. */
import * as ava from 'ava'
import * as retryAfters from '../src/retryAfter.js'

const test = ava.default

// The whole fleet lost power. Entry instances are back first and have no document for a second; a client comes back once, and
// one that was told half a second came back to the same refusal.
test('a client that is refused by a starting instance comes back when there is a document', t => {
  const readyAtMs = 1400
  for (let uptimeMs = 100; uptimeMs < readyAtMs; uptimeMs += 100) {
    for (const draw of [0, 0.5, 0.99]) t.true(uptimeMs + retryAfters.toRetryAfterMs({ kind: 'starting', uptimeMs }, draw) >= readyAtMs)
  }
})

test('clients that are refused together do not come back together', t => {
  const times = Array.from({ length: 50 }, (_, i) => retryAfters.toRetryAfterMs({ kind: 'noRoom' }, i / 50))
  t.is(new Set(times).size, 50)
  t.true(Math.max(...times) <= 1.5 * Math.min(...times))
})

test('an instance that stops sends its callers elsewhere at once', t => {
  t.true(retryAfters.toRetryAfterMs({ kind: 'stopping' }, 0.5) < 50)
})
