/** Batching of stream events. */
import * as ava from 'ava'
import * as eventBatchers from '../src/streams/eventBatcher.js'

const test = ava.default

/** Returns the writes of a stream with an event every `gapMs`. */
function replay (events: number, gapMs: number): Array<{ at: number, text: string }> {
  const writes: Array<{ at: number, text: string }> = []
  const timers: Array<{ at: number, run: () => void }> = []
  let now = 0
  const batcher = eventBatchers.createEventBatcher({
    write: bytes => { writes.push({ at: now, text: bytes.toString() }) },
    schedule (run, ms) {
      const timer = { at: now + ms, run }
      timers.push(timer)
      return () => { timers.splice(timers.indexOf(timer), 1) }
    },
    now: () => now
  })
  for (let i = 0; i < events; i++) {
    const at = i * gapMs
    for (const timer of [...timers].filter(item => item.at <= at)) {
      now = timer.at
      if (timers.includes(timer)) timer.run()
    }
    now = at
    batcher.push(Buffer.from(`${i} `))
  }
  batcher.flush()
  return writes
}

// Guards against one packet for each event, which makes retransmission delays likely.
test('64 events are sent in less than half as many writes', t => {
  const writes = replay(64, 22)
  t.true(writes.length <= 24, `${writes.length} writes`)
  t.is(writes.map(item => item.text).join(''), Array.from({ length: 64 }, (_, i) => `${i} `).join(''))
})

test('the first event is written immediately', t => {
  t.deepEqual(replay(3, 22)[0], { at: 0, text: '0 ' })
})

test('no event is delayed longer than the batch window', t => {
  for (const { at, text } of replay(50, 17)) {
    const oldest = Number(text.split(' ')[0]) * 17
    t.true(at - oldest <= eventBatchers.MIN_WINDOW_MS)
  }
})

// A window of fixed length joins nothing once endpoints put more tokens into an event.
test('a stream with longer intervals has two events in most writes, within the maximum window', t => {
  const writes = replay(32, 50)
  t.true(writes.length <= 18, `${writes.length} writes`)
  for (const { at, text } of writes) t.true(at - Number(text.split(' ')[0]) * 50 <= eventBatchers.MAX_WINDOW_MS)
})

test('a stream whose intervals exceed the window is not delayed longer than it', t => {
  for (const { at, text } of replay(10, 200)) t.true(at - Number(text.split(' ')[0]) * 200 <= eventBatchers.MAX_WINDOW_MS)
})
