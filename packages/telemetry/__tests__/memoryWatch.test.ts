/** Lines about memory that gets short. */
import * as ava from 'ava'
import * as telemetry from '../src/index.js'

const test = ava.default

// An end for lack of memory writes nothing, so the shares reached before tell it from a kill.
test('each level of memory is logged once in a while, and the peak is kept', t => {
  const lines: string[] = []
  const levels: number[] = []
  let at = 0
  const use = { rss: 0, heap: 0, heapLimit: 200 }
  const watch = telemetry.createMemoryWatch({
    machineLimit: () => 400,
    log: { event (name, fields) { lines.push(`${name} ${fields?.of} ${fields?.share}`) } },
    onLevel: (of, share) => { levels.push(share) },
    read: () => use,
    now: () => at
  })
  for (const [heap, rss] of [[100, 100], [150, 100], [150, 100], [100, 100], [150, 100], [195, 100], [175, 300]]) {
    Object.assign(use, { heap, rss })
    watch.check()
    at += 1000
  }
  t.deepEqual(lines, ['memoryShort heap 0.75', 'memoryShort heap 0.97', 'memoryShort machine 0.75'])
  at += 60_000
  watch.check()
  t.is(lines.length, 5)
  t.is(levels.length, 5)
  t.is(watch.peakShare('heap'), 0.975)
})

test('memory that cannot be read costs one line, and no error', t => {
  const lines: string[] = []
  const watch = telemetry.createMemoryWatch({ machineLimit: () => 400, log: { event (name) { lines.push(name) } }, read () { throw new Error('EMFILE: too many open files') } })
  for (let i = 0; i < 5; i++) watch.check()
  t.deepEqual(lines, ['memoryUnknown'])
})
