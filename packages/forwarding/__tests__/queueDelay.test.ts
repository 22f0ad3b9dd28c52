/** How long requests wait at an endpoint, as an instance sees it. */
import * as ava from 'ava'
import * as queueDelays from '../src/queueDelay.js'

const test = ava.default

/** Answers requests that were sent one after the other, each after so long. */
function answerEach (meter: queueDelays.QueueDelayEstimator, from: number, waitsMs: readonly number[]): number {
  let now = from
  for (const ms of waitsMs) {
    const wait = meter.onSent(now)
    now += ms
    meter.onResponse(wait, now)
  }
  return now
}

test('nothing is expected where nothing was seen', t => {
  const meter = queueDelays.createQueueDelayEstimator()
  t.is(meter.estimateMs(0), undefined)
  meter.onAbandoned(meter.onSent(0))
  t.is(meter.estimateMs(10), undefined)
})

// One packet of an answer is lost, and it comes a second late. An instance that took that for a queue would turn callers away
// from an idle endpoint.
test('one answer that comes late is no queue, nor is one request that waits', t => {
  const meter = queueDelays.createQueueDelayEstimator()
  const now = answerEach(meter, 0, [60, 1100, 60])
  t.true((meter.estimateMs(now) ?? 0) <= 60)
  meter.onSent(now)
  t.true((meter.estimateMs(now + 600) ?? 0) <= 60)
})

// An endpoint reads the prompts of those that crashed beside it. Nothing is answered for a second; all that time requests were
// sent to it and waited.
test('requests that wait without an answer show a queue', t => {
  const meter = queueDelays.createQueueDelayEstimator()
  answerEach(meter, 0, [60, 60, 60])
  meter.onSent(200)
  meter.onSent(220)
  t.true((meter.estimateMs(900) ?? 0) >= 680)
})

test('a queue shows while it grows, by the pace of answers', t => {
  const meter = queueDelays.createQueueDelayEstimator()
  const now = answerEach(meter, 0, [50, 50, 50, 50])
  for (let i = 0; i < 20; i++) meter.onSent(now)
  t.true((meter.estimateMs(now) ?? 0) >= 900)
})

test('a request that was overtaken shows no queue', t => {
  const meter = queueDelays.createQueueDelayEstimator()
  const first = meter.onSent(0)
  const second = meter.onSent(1)
  t.is(meter.classify(first), 'unresponsive')
  meter.onResponse(meter.onSent(100), 150)
  t.true((meter.estimateMs(900) ?? 0) < 200)
  t.is(meter.classify(first), 'overtaken')
  t.is(meter.classify(second), 'overtaken')
})

test('an answer to an earlier request keeps the later ones in their places', t => {
  const meter = queueDelays.createQueueDelayEstimator()
  const first = meter.onSent(0)
  const second = meter.onSent(100)
  meter.onResponse(first, 2000)
  t.is(meter.classify(second), 'queued')
})

test('what was seen long ago says nothing of now', t => {
  const meter = queueDelays.createQueueDelayEstimator()
  const now = answerEach(meter, 0, [900, 900, 900])
  t.true((meter.estimateMs(now) ?? 0) >= 900)
  t.is(meter.estimateMs(now + 1000), undefined)
  meter.onSent(now + 20_000)
  meter.onSent(now + 20_000)
  t.is(meter.estimateMs(now + 20_000), 0)
})

test('the limit follows the target, and there is none without one', t => {
  t.is(queueDelays.toDelayLimitMs(800), 560)
  t.is(queueDelays.toDelayLimitMs(0), Infinity)
})
