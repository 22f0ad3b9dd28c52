/** How much of its link an instance fills with documents. */
import * as ava from 'ava'
import * as sendBudgets from '../src/sendBudget.js'

const test = ava.default

/** 4.2 Mbit/s. */
const BYTES_PER_MS = 525
const DOCUMENT_BYTES = 60_000

// Guards against a document that is sent to all who ask at once, and arrives at each of them only when they have given up.
test('what is sent leaves the link within the time that an asker waits', t => {
  const budget = sendBudgets.createSendBudget(BYTES_PER_MS)
  const sentAt: number[] = []
  let leavesAt = 0
  for (let now = 0; now < 5000; now += 10) {
    // Each of 22 instances asks again until it has the document.
    for (let asker = sentAt.length; asker < 22; asker++) {
      if (!budget.tryReserve(DOCUMENT_BYTES, now)) break
      sentAt.push(now)
      leavesAt = Math.max(leavesAt, now) + DOCUMENT_BYTES / BYTES_PER_MS
      t.true(leavesAt - now < 400, `${leavesAt - now} ms`)
    }
  }
  t.is(sentAt.length, 22)
  // The link is never idle while someone asks.
  t.true(leavesAt < 22 * DOCUMENT_BYTES / BYTES_PER_MS + 50)
})

test('a link whose speed is not known is not held back', t => {
  const budget = sendBudgets.createSendBudget(Infinity)
  for (let i = 0; i < 1000; i++) t.true(budget.tryReserve(DOCUMENT_BYTES, 0))
})
