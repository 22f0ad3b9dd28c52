/** Turns that the input of connections takes. */
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as inputSchedulers from '../src/inputScheduler.js'

const test = ava.default

// Guards against requests that wait for the chunked bodies of all other connections.
test('heads go before chunked bodies that wait for longer, and these go on', async t => {
  const scheduler = inputSchedulers.createInputScheduler()
  const order: string[] = []
  let isEnding = false
  for (let i = 0; i < 100; i++) {
    const source = {
      run () {
        order.push('chunked')
        scheduler.charge('chunked', 4096)
        if (!isEnding) scheduler.defer('chunked', source)
      }
    }
    scheduler.defer('chunked', source)
  }
  scheduler.defer('prompt', { run () { order.push('prompt') } })
  await timers.setImmediate()
  t.is(order[0], 'prompt')
  t.is(order.length, 5, 'one turn of chunked bodies')
  for (let i = 0; i < 30; i++) await timers.setImmediate()
  t.true(order.length > 100, 'all of them had a turn')
  isEnding = true
})

test('a source that was cancelled does not run', async t => {
  const scheduler = inputSchedulers.createInputScheduler()
  const source = { run () { t.fail() } }
  scheduler.defer('prompt', source)
  scheduler.cancel(source)
  await timers.setImmediate()
  t.pass()
})
