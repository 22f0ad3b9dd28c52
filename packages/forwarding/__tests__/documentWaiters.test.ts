/** Requests that arrive before the first configuration document. */
import * as ava from 'ava'
import * as timers from 'node:timers/promises'
import * as documentWaiters from '../src/admission/documentWaiters.js'
import * as retryAfters from '../src/admission/retryAfter.js'
import * as testEntries from './helpers/testEntry.js'

const test = ava.default
/** Clients retry once after Retry-After, but at most after this share of their remaining time. */
const MAX_RETRY_AFTER_SHARE = 1 / 3

/** Simulates a client that retries once; returns whether and when it is served. */
function simulate (arrivesAtMs: number, deadlineMs: number, documentAtMs: number, draw: number): { isServed: boolean, afterMs: number } {
  let atMs = arrivesAtMs
  for (let attempt = 0; attempt < 2; attempt++) {
    const remainingMs = deadlineMs - (atMs - arrivesAtMs)
    const waitsUntilMs = atMs + documentWaiters.toDocumentWaitMs(remainingMs, 0)
    if (documentAtMs <= waitsUntilMs) return { isServed: true, afterMs: Math.max(atMs, documentAtMs) - arrivesAtMs }
    const retryAfterMs = retryAfters.toRetryAfterMs({ kind: 'starting', uptimeMs: waitsUntilMs }, draw)
    atMs = waitsUntilMs + Math.min(retryAfterMs, MAX_RETRY_AFTER_SHARE * (deadlineMs - (waitsUntilMs - arrivesAtMs)))
  }
  return { isServed: false, afterMs: Infinity }
}

// Guards against rejected or late requests between the start of an instance and its first document.
test('clients with long deadlines are served after a fleet restart, most of them as soon as the document arrives', t => {
  const documentAtMs = 1100
  let inTime = 0
  let count = 0
  for (const deadlineMs of [3000, 4000, 12_000, 15_000]) {
    for (let arrivesAtMs = 0; arrivesAtMs < documentAtMs; arrivesAtMs += 50) {
      for (const draw of [0, 0.5, 0.99]) {
        const end = simulate(arrivesAtMs, deadlineMs, documentAtMs, draw)
        t.true(end.isServed)
        count++
        if (end.afterMs <= 800) inTime++
      }
    }
  }
  t.true(inTime >= 0.7 * count)
})

test('the wait is limited by the client deadline and by the number of waiting requests', t => {
  t.is(documentWaiters.toDocumentWaitMs(600, 0), 150)
  t.is(documentWaiters.toDocumentWaitMs(15_000, 0), 1500)
  t.is(documentWaiters.toDocumentWaitMs(15_000, 512), 0)
})

test('a request that arrives before the document is served when it arrives', async t => {
  const endpoint = await testEntries.startEndpoint('e1', testEntries.healthy)
  const entry = await testEntries.startEntry([testEntries.toRoute()], [endpoint], { startsWithoutDocument: true })
  t.teardown(() => { entry.close(); endpoint.close() })
  const response = entry.send({ method: 'POST', body: 'abc' })
  await timers.setTimeout(100)
  t.is(endpoint.requests.length, 0)
  entry.publishDocument()
  t.is((await response).status, 200)
  t.is(endpoint.requests[0].body, 'abc')
})

test('a request is rejected with Retry-After if no document arrives', async t => {
  const entry = await testEntries.startEntry([testEntries.toRoute()], [], { startsWithoutDocument: true })
  t.teardown(() => { entry.close() })
  const response = await entry.send({ headers: { 'x-deadline-ms': '400' } })
  t.is(response.status, 503)
  t.true(Number(response.headers['retry-after']) > 0)
})

// Guards against forwarding a request whose client disconnected while it waited.
test('a waiting request is not forwarded if its client disconnects', async t => {
  const endpoint = await testEntries.startEndpoint('e1', testEntries.healthy)
  const entry = await testEntries.startEntry([testEntries.toRoute()], [endpoint], { startsWithoutDocument: true })
  t.teardown(() => { entry.close(); endpoint.close() })
  const aborted = entry.send({ method: 'POST', body: 'abc', disconnectAfterMs: 50 })
  await t.throwsAsync(aborted)
  await timers.setTimeout(50)
  entry.publishDocument()
  await timers.setTimeout(100)
  t.is(endpoint.requests.length, 0)
})
