/** Events that are joined on their way to the client. */
import * as ava from 'ava'
import * as eventBatchers from '../src/eventBatcher.js'

const test = ava.default

/** Writes of a stream whose events come every `gapMs`, as pairs of time and events. */
function play (events: number, gapMs: number): Array<{ at: number, text: string }> {
  const writes: Array<{ at: number, text: string }> = []
  const timers: Array<{ at: number, run: () => void }> = []
  let now = 0
  const joiner = eventBatchers.createEventBatcher({
    write: bytes => { writes.push({ at: now, text: bytes.toString() }) },
    schedule (run, ms) {
      const timer = { at: now + ms, run }
      timers.push(timer)
      return () => { timers.splice(timers.indexOf(timer), 1) }
    }
  })
  for (let i = 0; i < events; i++) {
    const at = i * gapMs
    for (const timer of [...timers].filter(item => item.at <= at)) {
      now = timer.at
      if (timers.includes(timer)) timer.run()
    }
    now = at
    joiner.push(Buffer.from(`${i} `))
  }
  joiner.flush()
  return writes
}

// A conservator's report stutters: of 64 events in 64 packets one is lost in ten streams, and holds the rest back for longer
// than they may take. The load is a stream with an event every 22 ms.
test('a stream of 64 events goes out in less than half as many writes', t => {
  const writes = play(64, 22)
  t.true(writes.length <= 24, `${writes.length} writes`)
  t.is(writes.map(item => item.text).join(''), Array.from({ length: 64 }, (_, i) => `${i} `).join(''))
})

test('the first event waits for no other', t => {
  t.deepEqual(play(3, 22)[0], { at: 0, text: '0 ' })
})

test('no event waits longer than the bound', t => {
  for (const { at, text } of play(50, 17)) {
    const oldest = Number(text.split(' ')[0]) * 17
    t.true(at - oldest <= eventBatchers.BATCH_WINDOW_MS)
  }
})
