/** What an entry instance does while others hold a newer document than it does. */
import * as ava from 'ava'
import * as timers from 'node:timers/promises'
import * as testEntries from './helpers/testEntry.js'
import * as helper from './helpers/testFleet.js'

const test = ava.default

/** Longer than a control instance may be silent. */
const SILENT_MS = 3000

/** Paths of the first document; the second one adds the other. */
const OLD = ['/a/']
const NEW = ['/a/', '/b/']

// Guards against a route that was confirmed to the operator and is refused as unknown by an instance that waits for its document.
test('a path that a newer document may hold is not refused for good', async t => {
  const control = await helper.startControl()
  control.put(helper.toDocument(1, OLD))
  const instance = await helper.startInstance('i1', [control.inner])
  t.teardown(async () => { await Promise.all([instance.stop(), control.close()]) })
  t.is((await instance.ask('/b/x')).status, 404)
  control.withhold()
  control.put(helper.toDocument(2, NEW))
  await timers.setTimeout(200)
  const answer = await instance.ask('/b/x')
  t.is(answer.status, 503)
  t.true(Number(answer.retryAfter) > 0)
})

// Guards against a client that is sent away for a document that is a moment away.
test('a request on a path that the next document holds waits for it', async t => {
  const control = await helper.startControl()
  const endpoint = await testEntries.startEndpoint('e1', testEntries.sound)
  control.put(helper.toDocument(1, OLD))
  const instance = await helper.startInstance('i1', [control.inner])
  t.teardown(async () => {
    await Promise.all([instance.stop(), control.close()])
    endpoint.close()
  })
  await control.announce(endpoint)
  await helper.until('the endpoint is known', async () => (await instance.ask('/a/x')).status === 200)
  control.withhold()
  control.put(helper.toDocument(2, NEW))
  await timers.setTimeout(100)
  const answer = instance.ask('/b/x')
  await timers.setTimeout(50)
  control.release()
  t.is((await answer).status, 200)
})

// Guards against the same at an instance that is cut off from all control instances and has heard of no newer document.
test('an instance without news refuses no path for good', async t => {
  const control = await helper.startControl()
  control.put(helper.toDocument(1, OLD))
  const instance = await helper.startInstance('i1', [control.inner])
  t.teardown(async () => { await instance.stop() })
  await control.close()
  await timers.setTimeout(SILENT_MS)
  t.is((await instance.ask('/b/x')).status, 503)
})

// Guards against an instance that stays behind for as long as the control instances that it listens to hand nothing out.
test('a document that no control instance hands out comes from another entry instance', async t => {
  const group: helper.ControlGroup = new Set()
  const sound = await helper.startControl(group)
  const mute = await helper.startControl(group)
  for (const control of [sound, mute]) control.put(helper.toDocument(1, OLD))
  const first = await helper.startInstance('i1', [sound.inner])
  const second = await helper.startInstance('i2', [mute.inner])
  const endpoint = await testEntries.startEndpoint('e1', testEntries.sound)
  t.teardown(async () => {
    await Promise.all([first.stop(), second.stop(), sound.close(), mute.close()])
    endpoint.close()
  })
  await mute.announce(endpoint)
  mute.withhold()
  for (const control of [sound, mute]) control.put(helper.toDocument(2, NEW))
  await helper.until('the second has it', async () => (await second.ask('/b/x')).status === 200)
  t.pass()
})

// Guards against an instance that takes its document for the newest because all control instances that it listens to are behind.
test('an instance learns of a newer document from the other entry instances', async t => {
  const group: helper.ControlGroup = new Set()
  const sound = await helper.startControl(group)
  const behind = await helper.startControl(group)
  for (const control of [sound, behind]) control.put(helper.toDocument(1, OLD))
  const first = await helper.startInstance('i1', [sound.inner])
  const second = await helper.startInstance('i2', [behind.inner])
  const endpoint = await testEntries.startEndpoint('e1', testEntries.sound)
  t.teardown(async () => {
    await Promise.all([first.stop(), second.stop(), sound.close(), behind.close()])
    endpoint.close()
  })
  await behind.announce(endpoint)
  sound.put(helper.toDocument(2, NEW))
  await helper.until('the second has it', async () => (await second.ask('/b/x')).status === 200)
  t.pass()
})
