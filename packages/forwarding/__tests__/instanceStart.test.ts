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
  control.put(fleet.toDocument(1, ['/a/']))
  const instance = await starting
  t.true(link.isOpen())
  link.close()
  await instance.stop()
  await control.close()
})

// Guards against clients that are directed to an instance that they cannot reach.
test('an instance whose address for clients is taken learns the document, and is named to clients once it listens', async t => {
  const control = await fleet.startControl()
  control.put(fleet.toDocument(1, ['/a/']))
  const other = await fleet.startInstance('e2', [control.inner])
  const [front, inner] = [fleet.freeAddress(), fleet.freeAddress()]
  const before = net.createServer()
  await new Promise<void>(resolve => { before.listen(links.parseAddress(front), resolve) })
  const starting = fleet.startInstance('e1', [control.inner], { front, inner })
  starting.catch(() => {})
  const identity: links.Identity = { role: 'router', id: 'other' }
  await fleet.until('the instance has the document', async () => {
    const link = await links.dial(inner, { identity, secret: fleet.SECRET, log, handlers: { onEvent () {}, async onCall () {} } }).catch(() => undefined)
    const reply = await link?.call({ t: 'fetch', version: 0 }, 5000)
    link?.close()
    return reply !== undefined && discovery.discoveryReply.parse(reply).version === 1
  })
  t.deepEqual(other.addresses(), [other.front])
  before.close()
  const instance = await starting
  await fleet.until('the other instance names it', () => other.addresses().includes(front))
  t.deepEqual(instance.addresses().sort(), [front, other.front].sort())
  await Promise.all([instance.stop(), other.stop()])
  await control.close()
})
