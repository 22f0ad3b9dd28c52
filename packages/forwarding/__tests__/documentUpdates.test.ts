/** Entry instances while a newer configuration document is not available to them. */
import * as ava from 'ava'
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as testEntries from './helpers/testEntry.js'
import * as helper from './helpers/testFleet.js'

const test = ava.default

/** Longer than the timeout of an unresponsive control instance. */
const UNRESPONSIVE_MS = 3000

/** Path prefixes of the first and the second document. */
const OLD = ['/a/']
const NEW = ['/a/', '/b/']

// Guards against rejecting a newly confirmed route permanently at an instance with an older document.
test('a path that a newer document may contain is not rejected permanently', async t => {
  const control = await helper.startControl()
  control.put(helper.toDocument(1, OLD))
  const instance = await helper.startInstance('i1', [control.inner])
  t.teardown(async () => { await Promise.all([instance.stop(), control.close()]) })
  t.is((await instance.send('/b/x')).status, 404)
  control.blockDocuments()
  control.put(helper.toDocument(2, NEW))
  await timers.setTimeout(200)
  const response = await instance.send('/b/x')
  t.is(response.status, 503)
  t.true(Number(response.retryAfter) > 0)
})

// Guards against rejecting a request shortly before the document arrives.
test('a request waits for the document that contains its path', async t => {
  const control = await helper.startControl()
  const endpoint = await testEntries.startEndpoint('e1', testEntries.healthy)
  control.put(helper.toDocument(1, OLD))
  const instance = await helper.startInstance('i1', [control.inner])
  t.teardown(async () => {
    await Promise.all([instance.stop(), control.close()])
    endpoint.close()
  })
  await control.announce(endpoint)
  await helper.until('the endpoint is known', async () => (await instance.send('/a/x')).status === 200)
  control.blockDocuments()
  control.put(helper.toDocument(2, NEW))
  await timers.setTimeout(100)
  const response = instance.send('/b/x')
  await timers.setTimeout(50)
  control.unblockDocuments()
  t.is((await response).status, 200)
})

// Guards against permanent rejections by an instance that is disconnected from all control instances.
test('an instance without control instances rejects no path permanently', async t => {
  const control = await helper.startControl()
  control.put(helper.toDocument(1, OLD))
  const instance = await helper.startInstance('i1', [control.inner])
  t.teardown(async () => { await instance.stop() })
  await control.close()
  await timers.setTimeout(UNRESPONSIVE_MS)
  t.is((await instance.send('/b/x')).status, 503)
})

// Guards against an instance that stays outdated while its control instances do not reply with the document.
test('a document is fetched from another entry instance if no control instance provides it', async t => {
  const group: helper.ControlGroup = new Set()
  const healthy = await helper.startControl(group)
  const blocked = await helper.startControl(group)
  for (const control of [healthy, blocked]) control.put(helper.toDocument(1, OLD))
  const first = await helper.startInstance('i1', [healthy.inner])
  const second = await helper.startInstance('i2', [blocked.inner])
  const endpoint = await testEntries.startEndpoint('e1', testEntries.healthy)
  t.teardown(async () => {
    await Promise.all([first.stop(), second.stop(), healthy.close(), blocked.close()])
    endpoint.close()
  })
  await blocked.announce(endpoint)
  blocked.blockDocuments()
  for (const control of [healthy, blocked]) control.put(helper.toDocument(2, NEW))
  await helper.until('the second has it', async () => (await second.send('/b/x')).status === 200)
  t.pass()
})

// Guards against an instance that considers its document the latest because its control instances are outdated.
test('an instance discovers a newer document through other entry instances', async t => {
  const group: helper.ControlGroup = new Set()
  const healthy = await helper.startControl(group)
  const outdated = await helper.startControl(group)
  for (const control of [healthy, outdated]) control.put(helper.toDocument(1, OLD))
  const first = await helper.startInstance('i1', [healthy.inner])
  const second = await helper.startInstance('i2', [outdated.inner])
  const endpoint = await testEntries.startEndpoint('e1', testEntries.healthy)
  t.teardown(async () => {
    await Promise.all([first.stop(), second.stop(), healthy.close(), outdated.close()])
    endpoint.close()
  })
  await outdated.announce(endpoint)
  healthy.put(helper.toDocument(2, NEW))
  await helper.until('the second has it', async () => (await second.send('/b/x')).status === 200)
  t.pass()
})

// Guards against a permanent rejection by the old document while the newer one, which this version cannot read, has the path.
test('an instance that cannot read the latest document rejects no path permanently', async t => {
  const control = await helper.startControl()
  control.put(helper.toDocument(1, OLD))
  const instance = await helper.startInstance('i1', [control.inner])
  t.teardown(async () => { await Promise.all([instance.stop(), control.close()]) })
  t.is((await instance.send('/b/x')).status, 404)
  control.put(contracts.toVersionedText(2, Buffer.from('not a document')))
  await timers.setTimeout(1000)
  t.is((await instance.send('/b/x')).status, 503)
})
