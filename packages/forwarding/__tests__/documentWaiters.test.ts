/** Requests that come before an instance has its first document. */
import * as ava from 'ava'
import * as timers from 'node:timers/promises'
import * as documentWaiters from '../src/documentWaiters.js'
import * as retryAfters from '../src/retryAfter.js'
import * as testEntries from './helpers/testEntry.js'

const test = ava.default
/** Clients come back once, after the time they were told, up to this share of what they have left. */
const HONOURED_SHARE = 1 / 3

/** @returns when a client that arrives so long after the start is served or comes back in vain, since the start */
function replay (arrivesAtMs: number, clientMs: number, documentAtMs: number, draw: number): { isServed: boolean, afterMs: number } {
  let atMs = arrivesAtMs
  for (let attempt = 0; attempt < 2; attempt++) {
    const leftMs = clientMs - (atMs - arrivesAtMs)
    const heldUntilMs = atMs + documentWaiters.toDocumentWaitMs(leftMs, 0)
    if (documentAtMs <= heldUntilMs) return { isServed: true, afterMs: Math.max(atMs, documentAtMs) - arrivesAtMs }
    const pauseMs = retryAfters.toRetryAfterMs({ kind: 'starting', uptimeMs: heldUntilMs }, draw)
    atMs = heldUntilMs + Math.min(pauseMs, HONOURED_SHARE * (clientMs - (heldUntilMs - arrivesAtMs)))
  }
  return { isServed: false, afterMs: Infinity }
}

// The whole fleet lost its power. Instances listen again a second before there is a document. Callers were refused and told to
// come back when it would surely be there, so all requests of that second were answered seconds late or not at all.
test('a caller with seconds to go is served after a loss of power, and most of them as soon as there is a document', t => {
  const documentAtMs = 1100
  let isInTime = 0
  let count = 0
  for (const clientMs of [3000, 4000, 12_000, 15_000]) {
    for (let arrivesAtMs = 0; arrivesAtMs < documentAtMs; arrivesAtMs += 50) {
      for (const draw of [0, 0.5, 0.99]) {
        const end = replay(arrivesAtMs, clientMs, documentAtMs, draw)
        t.true(end.isServed)
        count++
        if (end.afterMs <= 800) isInTime++
      }
    }
  }
  t.true(isInTime >= 0.7 * count)
})

test('a caller is held for a part of its time only, and not beyond what an instance can hold', t => {
  t.is(documentWaiters.toDocumentWaitMs(600, 0), 150)
  t.is(documentWaiters.toDocumentWaitMs(15_000, 0), 1500)
  t.is(documentWaiters.toDocumentWaitMs(15_000, 512), 0)
})

test('a request that came before the document is answered once it is there', async t => {
  const endpoint = await testEntries.startEndpoint('e1', testEntries.sound)
  const entry = await testEntries.startEntry([testEntries.toRoute()], [endpoint], { isLate: true })
  t.teardown(() => { entry.close(); endpoint.close() })
  const answer = entry.ask({ method: 'POST', body: 'abc' })
  await timers.setTimeout(100)
  t.is(endpoint.seen.length, 0)
  entry.arrive()
  t.is((await answer).status, 200)
  t.is(endpoint.seen[0].body, 'abc')
})

test('a request is refused with a time to come back when there is no document in a while', async t => {
  const entry = await testEntries.startEntry([testEntries.toRoute()], [], { isLate: true })
  t.teardown(() => { entry.close() })
  const answer = await entry.ask({ headers: { 'x-deadline-ms': '400' } })
  t.is(answer.status, 503)
  t.true(Number(answer.headers['retry-after']) > 0)
})

// A client gives up while its request is held. Without looking at the connection the request would run for nobody.
test('a request whose client left while it was held goes nowhere', async t => {
  const endpoint = await testEntries.startEndpoint('e1', testEntries.sound)
  const entry = await testEntries.startEntry([testEntries.toRoute()], [endpoint], { isLate: true })
  t.teardown(() => { entry.close(); endpoint.close() })
  const left = entry.ask({ method: 'POST', body: 'abc', leaveAfterMs: 50 })
  await t.throwsAsync(left)
  await timers.setTimeout(50)
  entry.arrive()
  await timers.setTimeout(100)
  t.is(endpoint.seen.length, 0)
})
