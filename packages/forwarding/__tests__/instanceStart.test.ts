/** What reaches an entry instance while it starts. */
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as fleet from './helpers/testFleet.js'

const test = ava.default
const log = telemetry.createLog({ instance: 'test', level: 'silent' })

// Guards against "Cannot access 'subscriber' before initialization".
test('calls and events of other instances during the start break nothing', async t => {
  const control = await fleet.startControl()
  control.put(fleet.toDocument(1, ['/a/']))
  const [front, inner] = [fleet.freeAddress(), fleet.freeAddress()]
  const before = net.createServer()
  await new Promise<void>(resolve => { before.listen(links.parseAddress(front), resolve) })
  const starting = fleet.startInstance('e1', [control.inner], { front, inner })
  starting.catch(() => {})
  await timers.setTimeout(100)
  const link = await links.dial(inner, { identity: { role: 'router', id: 'other' }, secret: fleet.SECRET, log, handlers: { onEvent () {}, async onCall () {} } })
  t.is(discovery.discoveryReply.parse(await link.call({ t: 'fetch', version: 0 }, 5000)).version, 0)
  link.send({ t: 'version', version: 1 })
  link.send({ t: 'peer', from: 'other' })
  t.is(discovery.discoveryReply.parse(await link.call({ t: 'fetch', version: 0 }, 5000)).version, 0)
  before.close()
  const instance = await starting
  t.true(link.isOpen())
  link.close()
  await instance.stop()
  await control.close()
})
