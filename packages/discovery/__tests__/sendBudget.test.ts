/** Limits on the documents that an instance sends. */
import * as ava from 'ava'
import * as sendBudgets from '../src/sendBudget.js'

const test = ava.default

/** Equals 4.2 Mbit/s. */
const BYTES_PER_MS = 525
const DOCUMENT_BYTES = 60_000
const REQUESTERS = 22

// A document sent to all requesters at once would arrive at each of them after its timeout.
test('a document is sent within the timeout of the requester', t => {
  const budget = sendBudgets.createSendBudget(() => BYTES_PER_MS)
  const sentAt: number[] = []
  let sentUntil = 0
  for (let now = 0; now < 5000; now += 10) {
    // Each instance retries until it has the document.
    for (let requester = sentAt.length; requester < REQUESTERS; requester++) {
      if (!budget.tryReserve(DOCUMENT_BYTES, now)) break
      sentAt.push(now)
      sentUntil = Math.max(sentUntil, now) + DOCUMENT_BYTES / BYTES_PER_MS
      t.true(sentUntil - now < 400, `${sentUntil - now} ms`)
    }
  }
  t.is(sentAt.length, REQUESTERS)
  // The link is never idle while requests are pending.
  t.true(sentUntil < REQUESTERS * DOCUMENT_BYTES / BYTES_PER_MS + 50)
})

test('a link of unknown capacity is not limited', t => {
  const budget = sendBudgets.createSendBudget()
  for (let i = 0; i < 1000; i++) t.true(budget.tryReserve(DOCUMENT_BYTES, 0))
})

// Guards against transfers at the speed of a link that has become slower.
test('the budget follows the capacity of the link', t => {
  let bytesPerMs = Infinity
  const budget = sendBudgets.createSendBudget(() => bytesPerMs)
  t.true(budget.tryReserve(DOCUMENT_BYTES, 0))
  bytesPerMs = BYTES_PER_MS / 10
  t.true(budget.tryReserve(DOCUMENT_BYTES, 0))
  t.false(budget.tryReserve(DOCUMENT_BYTES, 0))
})

// Guards against documents that are never sent again after one that could not be packed.
test('a message that fails does not hold up those after it', async t => {
  const wait = sendBudgets.createSendQueue(sendBudgets.createSendBudget(), () => 0)
  await t.throwsAsync(wait(() => { throw new Error('test') }, () => true), { message: 'test' })
  await t.notThrowsAsync(wait(() => 1, () => true))
})
