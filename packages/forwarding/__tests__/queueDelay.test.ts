/** Queue delay estimates. */
import * as ava from 'ava'
import * as queueDelays from '../src/placement/queueDelay.js'

const test = ava.default

/** Sends requests one after the other, each answered after the given time. Returns the time of the last response. */
function respondEach (estimator: queueDelays.QueueDelayEstimator, from: number, waitsMs: readonly number[]): number {
  let now = from
  for (const ms of waitsMs) {
    const pending = estimator.onSent(now)
    now += ms
    estimator.onResponse(pending, now)
  }
  return now
}

test('there is no estimate without observations', t => {
  const estimator = queueDelays.createQueueDelayEstimator()
  t.is(estimator.estimateMs(0), undefined)
  estimator.onAbandoned(estimator.onSent(0))
  t.is(estimator.estimateMs(10), undefined)
})

// Guards against rejecting requests to an idle endpoint after a single retransmission.
test('neither one late response nor one pending request counts as a queue', t => {
  const estimator = queueDelays.createQueueDelayEstimator()
  const now = respondEach(estimator, 0, [60, 1100, 60])
  t.true((estimator.estimateMs(now) ?? 0) <= 60)
  estimator.onSent(now)
  t.true((estimator.estimateMs(now + 600) ?? 0) <= 60)
})

// Guards against an estimate that ignores requests without a response.
test('pending requests without responses count as a queue', t => {
  const estimator = queueDelays.createQueueDelayEstimator()
  respondEach(estimator, 0, [60, 60, 60])
  estimator.onSent(200)
  estimator.onSent(220)
  t.true((estimator.estimateMs(900) ?? 0) >= 680)
})

test('a growing queue is estimated from the interval between responses', t => {
  const estimator = queueDelays.createQueueDelayEstimator()
  const now = respondEach(estimator, 0, [50, 50, 50, 50])
  for (let i = 0; i < 20; i++) estimator.onSent(now)
  t.true((estimator.estimateMs(now) ?? 0) >= 900)
})

test('an overtaken request does not count as a queue', t => {
  const estimator = queueDelays.createQueueDelayEstimator()
  const first = estimator.onSent(0)
  const second = estimator.onSent(1)
  t.is(estimator.classify(first), 'unresponsive')
  estimator.onResponse(estimator.onSent(100), 150)
  t.true((estimator.estimateMs(900) ?? 0) < 200)
  t.is(estimator.classify(first), 'overtaken')
  t.is(estimator.classify(second), 'overtaken')
})

test('a request stays queued while earlier ones are answered', t => {
  const estimator = queueDelays.createQueueDelayEstimator()
  const first = estimator.onSent(0)
  const second = estimator.onSent(100)
  estimator.onResponse(first, 2000)
  t.is(estimator.classify(second), 'queued')
})

test('old observations are ignored', t => {
  const estimator = queueDelays.createQueueDelayEstimator()
  const now = respondEach(estimator, 0, [900, 900, 900])
  t.true((estimator.estimateMs(now) ?? 0) >= 900)
  t.is(estimator.estimateMs(now + 1000), undefined)
  estimator.onSent(now + 20_000)
  estimator.onSent(now + 20_000)
  t.is(estimator.estimateMs(now + 20_000), 0)
})

test('the maximum delay follows the target latency, and is unlimited without one', t => {
  t.is(queueDelays.toDelayLimitMs(800), 560)
  t.is(queueDelays.toDelayLimitMs(0), Infinity)
})
