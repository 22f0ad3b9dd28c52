/** Periodic checks of links. */
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as linkMonitor from '../src/linkMonitor.js'

const test = ava.default

// Guards against silent links that stay open for ever because the check of another one fails.
test('a check that fails keeps no other link from being checked', async t => {
  const events: string[] = []
  const log = { event (name: string) { events.push(name) } }
  let checked = 0
  const stops = [
    linkMonitor.monitorLink(() => { throw new Error('test') }, log),
    linkMonitor.monitorLink(() => { checked++ }, log)
  ]
  await timers.setTimeout(4 * linkMonitor.CHECK_INTERVAL_MS)
  for (const stop of stops) stop()
  t.true(checked >= 2, `${checked} checks`)
  t.deepEqual(events, ['uncaught'])
  t.is(linkMonitor.openLinkCount(), 0)
})
