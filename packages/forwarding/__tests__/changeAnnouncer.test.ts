/** Announcements of what an entry instance quarantines. */
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import type * as crashQuarantines from '../src/quarantine/crashQuarantine.js'
import * as changeAnnouncers from '../src/instance/changeAnnouncer.js'

const test = ava.default

// Guards against a change that nobody hears of, because its only announcement failed.
test('an announcement that fails is repeated', async t => {
  let isImpaired = false
  let attempts = 0
  const quarantine = { quarantined: () => [] } as unknown as crashQuarantines.CrashQuarantine
  const changes = changeAnnouncers.createChangeAnnouncer({
    id: 'a',
    otherIds: () => [],
    quarantine,
    paths: { isImpaired: () => isImpaired },
    record: () => undefined,
    announce () {
      attempts++
      if (attempts === 1) throw new Error('test')
    },
    log: { event () {} },
    now: () => performance.now()
  })
  changes.start()
  t.teardown(() => { changes.stop() })
  await timers.setTimeout(300)
  t.is(attempts, 0)
  isImpaired = true
  await timers.setTimeout(1200)
  t.is(attempts, 2)
})
