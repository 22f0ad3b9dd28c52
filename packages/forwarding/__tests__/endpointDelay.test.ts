/** How long requests wait at an endpoint, as an instance sees it. */
import * as ava from 'ava'
import * as endpointDelays from '../src/endpointDelay.js'

const test = ava.default

/** Answers requests that were sent one after the other, each after so long. */
function answerEach (meter: endpointDelays.DelayMeter, from: number, waitsMs: readonly number[]): number {
  let now = from
  for (const ms of waitsMs) {
    const wait = meter.begin(now)
    now += ms
    meter.answered(wait, now)
  }
  return now
}

test('nothing is expected where nothing was seen', t => {
  const meter = endpointDelays.createDelayMeter()
  t.is(meter.expectedMs(0), undefined)
  meter.left(meter.begin(0))
  t.is(meter.expectedMs(10), undefined)
})

// One packet of an answer is lost, and it comes a second late. An instance that took that for a queue would turn callers away
// from an idle endpoint.
test('one answer that comes late is no queue, nor is one request that waits', t => {
  const meter = endpointDelays.createDelayMeter()
  const now = answerEach(meter, 0, [60, 1100, 60])
  t.true((meter.expectedMs(now) ?? 0) <= 60)
  meter.begin(now)
  t.true((meter.expectedMs(now + 600) ?? 0) <= 60)
})

// An endpoint reads the prompts of those that crashed beside it. Nothing is answered for a second; all that time requests were
// sent to it and waited.
test('requests that wait without an answer show a queue', t => {
  const meter = endpointDelays.createDelayMeter()
  answerEach(meter, 0, [60, 60, 60])
  meter.begin(200)
  meter.begin(220)
  t.true((meter.expectedMs(900) ?? 0) >= 680)
})

test('a queue shows while it grows, by the pace of answers', t => {
  const meter = endpointDelays.createDelayMeter()
  const now = answerEach(meter, 0, [50, 50, 50, 50])
  for (let i = 0; i < 20; i++) meter.begin(now)
  t.true((meter.expectedMs(now) ?? 0) >= 900)
})

test('a request that was overtaken shows no queue', t => {
  const meter = endpointDelays.createDelayMeter()
  const first = meter.begin(0)
  const second = meter.begin(1)
  t.is(meter.judge(first), 'silent')
  meter.answered(meter.begin(100), 150)
  t.true((meter.expectedMs(900) ?? 0) < 200)
  t.is(meter.judge(first), 'overtaken')
  t.is(meter.judge(second), 'overtaken')
})

test('an answer to an earlier request keeps the later ones in their places', t => {
  const meter = endpointDelays.createDelayMeter()
  const first = meter.begin(0)
  const second = meter.begin(100)
  meter.answered(first, 2000)
  t.is(meter.judge(second), 'queued')
})

test('what was seen long ago says nothing of now', t => {
  const meter = endpointDelays.createDelayMeter()
  const now = answerEach(meter, 0, [900, 900, 900])
  t.true((meter.expectedMs(now) ?? 0) >= 900)
  t.is(meter.expectedMs(now + 1000), undefined)
  meter.begin(now + 20_000)
  meter.begin(now + 20_000)
  t.is(meter.expectedMs(now + 20_000), 0)
})

test('the limit follows the target, and there is none without one', t => {
  t.is(endpointDelays.toDelayLimitMs(800), 560)
  t.is(endpointDelays.toDelayLimitMs(0), Infinity)
})
