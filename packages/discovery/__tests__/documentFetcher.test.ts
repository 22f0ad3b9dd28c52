/** Transfer of documents from control instances to entry instances, over loopback. */
import * as ava from 'ava'
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as slowRelays from './helpers/slowRelay.js'
import * as helper from './helpers/testControl.js'

const test = ava.default

function toDocument (version: number, entries = 2000): contracts.VersionedText {
  const routes = Array.from({ length: entries }, (_, i) => ({ name: `r-${(i * 7919) % 100_003}`, timeoutMs: i === version ? 1 : 600 }))
  return contracts.toVersionedText(version, Buffer.from(JSON.stringify({ version, routes })))
}

// Sending the full document for each of several small changes would saturate the links of control instances.
test('consecutive small changes are sent as deltas, and the last one arrives', async t => {
  const controls = await Promise.all([helper.startControl(), helper.startControl(), helper.startControl()])
  for (const control of controls) control.put(toDocument(1))
  const entry = helper.startEntry('e1', controls.map(item => item.address))
  await helper.until('the first document arrived', () => entry.documents.at(-1)?.version === 1)
  const bytesBefore = controls.reduce((sum, item) => sum + item.sentBytes(), 0)
  for (let version = 2; version <= 21; version++) {
    for (const control of controls) control.put(toDocument(version))
    await timers.setTimeout(5)
  }
  await helper.until('the last document arrived', () => entry.documents.at(-1)?.version === 21)
  t.deepEqual(entry.documents.at(-1)?.text, toDocument(21).text)
  const bytes = controls.reduce((sum, item) => sum + item.sentBytes(), 0) - bytesBefore
  t.true(bytes < 20_000, `${bytes} bytes for 20 changes; one document is ${contracts.packFull(toDocument(1)).body.length} bytes`)
  entry.stop()
  await Promise.all(controls.map(async item => { await item.close() }))
})

// After a restart of the fleet, a separate fetch would delay the first document by another round trip.
test('a small document is included in the reply to the subscription', async t => {
  const control = await helper.startControl()
  control.put(toDocument(1, 20))
  const entry = helper.startEntry('e1', [control.address])
  await helper.until('the document arrived', () => entry.documents.at(-1)?.version === 1)
  t.is(control.fetchCount(), 0)
  entry.stop()
  await control.close()
})

// The seeds are three of six control instances; their links alone would limit the transfer.
test('a large first document is fetched from all control instances', async t => {
  const others: string[] = []
  const controls = await Promise.all([0, 1, 2, 3, 4, 5].map(async () => await helper.startControl({ peerAddresses: others })))
  others.push(...controls.map(item => item.address))
  for (const control of controls) control.put(toDocument(1, 8000))
  // The draws are spread evenly, so that four of the 24 choose each of the others.
  const entries = Array.from({ length: 24 }, (_, i) => helper.startEntry(`e${i}`, controls.slice(0, 3).map(item => item.address), undefined, undefined, undefined, () => (i + 0.5) / 24))
  await helper.until('all have the document', () => entries.every(item => item.documents.at(-1)?.version === 1))
  const byOthers = controls.slice(3).map(item => item.fetchCount())
  t.true(byOthers.every(count => count >= 4), `${byOthers.join(', ')} of 24`)
  for (const entry of entries) entry.stop()
  await Promise.all(controls.map(async item => { await item.close() }))
})

// Guards against an old document that passes for the latest once nobody who reported the newer one is subscribed.
test('a newer version stays known after the control instance that reported it is gone', async t => {
  const ahead = await helper.startControl({ isTicking: true, isUnresponsiveToFetch: true })
  const outdated = await helper.startControl({ isTicking: true })
  for (const control of [ahead, outdated]) control.put(toDocument(1))
  const entry = helper.startEntry('e1', [ahead.address, outdated.address])
  t.teardown(async () => {
    entry.stop()
    await outdated.close()
  })
  await helper.until('both are subscribed and the document is the latest', async () => entry.subscriptionCount() === 2 && await entry.confirmDocument())
  // Too large for the reply to a subscription.
  const newer = toDocument(2, 8000)
  ahead.put(newer)
  await helper.until('the newer version is known', async () => !await entry.confirmDocument())
  await ahead.close()
  await helper.until('only the other control instance is subscribed', () => entry.subscriptionCount() === 1)
  await timers.setTimeout(1000)
  t.false(await entry.confirmDocument())
  outdated.put(newer)
  await helper.until('the newer document is the latest', async () => await entry.confirmDocument())
  t.is(entry.documents.at(-1)?.version, 2)
})

// Guards against a rejection by the document that the question itself has just shown to be old.
test('a confirmation that reveals a newer document confirms nothing', async t => {
  const control = await helper.startControl({ isAnnouncing: false })
  control.put(toDocument(1, 20))
  const entry = helper.startEntry('e1', [control.address], () => 0)
  t.teardown(async () => {
    entry.stop()
    await control.close()
  })
  await helper.until('the document arrived', () => entry.documents.length === 1)
  control.put(toDocument(2, 20))
  t.false(await entry.confirmDocument())
  await helper.until('the newer document arrived', () => entry.documents.at(-1)?.version === 2)
})

// Guards against trust in a control instance that has not ticked yet.
test('a control instance without a quorum confirms nothing before its first tick', async t => {
  const control = await helper.startControl({ isCurrent: false })
  control.put(toDocument(1, 20))
  const entry = helper.startEntry('e1', [control.address])
  t.teardown(async () => {
    entry.stop()
    await control.close()
  })
  await helper.until('the document arrived', () => entry.documents.length === 1)
  t.false(await entry.confirmDocument())
})

// Guards against late ticks that pass for fresh ones while the announcement of a newer document is queued behind them.
test('late ticks do not make an old document the latest', async t => {
  const control: helper.TestControl = await helper.startControl({ isTicking: true, advertisedAddress: () => relay.address })
  const relay = await slowRelays.startRelay(() => control.address)
  control.put(toDocument(1, 20))
  const entry = helper.startEntry('e1', [relay.address])
  t.teardown(async () => {
    entry.stop()
    relay.close()
    await control.close()
  })
  await helper.until('the document is the latest', async () => await entry.confirmDocument())
  // The queue grows slowly, so that there is always a tick within the timeout of an unresponsive control instance.
  for (let delayMs = 0; delayMs <= 2000; delayMs += 100) {
    relay.setDelayMs(delayMs)
    await timers.setTimeout(150)
  }
  t.is(entry.subscriptionCount(), 1)
  control.put(toDocument(2, 20))
  await timers.setTimeout(1000)
  t.is(entry.documents.at(-1)?.version, 1, 'the announcement is still queued')
  t.false(await entry.confirmDocument())
  relay.setDelayMs(0)
  await helper.until('the newer document is the latest', async () => await entry.confirmDocument())
  t.is(entry.documents.at(-1)?.version, 2)
})

// A control instance may freeze after it announced a document.
test('a document is fetched from another control instance if one does not answer', async t => {
  const unresponsive = await helper.startControl({ isUnresponsiveToFetch: true })
  const healthy = await helper.startControl()
  const entry = helper.startEntry('e1', [unresponsive.address, healthy.address], () => 0)
  t.teardown(async () => {
    entry.stop()
    await Promise.all([unresponsive.close(), healthy.close()])
  })
  // Otherwise the reply to a later subscription would include the document, and no fetch would be needed.
  await helper.until('both control instances answered the subscription', () => {
    // The second subscription follows the first contact.
    for (const control of [unresponsive, healthy]) control.tick()
    return unresponsive.subscribeCount() === 1 && healthy.subscribeCount() === 1
  })
  unresponsive.put(toDocument(3))
  await helper.until('the unresponsive one received a fetch', () => unresponsive.fetchCount() === 1)
  healthy.put(toDocument(3))
  await helper.until('the document arrived', () => entry.documents.at(-1)?.version === 3)
  t.true(healthy.fetchCount() >= 1)
})

// An announcement may be lost with its link, or precede the subscription; ticks repeat the version.
test('a document whose announcement was missed is fetched at the next tick', async t => {
  const control = await helper.startControl({ isAnnouncing: false })
  const entry = helper.startEntry('e1', [control.address], () => 0)
  t.teardown(async () => {
    entry.stop()
    await control.close()
  })
  // The control instance computes its reply in the same turn as it counts the call, so that the reply precedes the document.
  await helper.until('the control instance answered the subscription', () => control.subscribeCount() === 1)
  // Its ticks follow the reply on the link, and the entry instance accepts them from subscriptions only.
  control.tick()
  await helper.until('the entry instance is subscribed', () => entry.quorumSince() > -Infinity)
  control.put(toDocument(1))
  await timers.setTimeout(200)
  t.is(entry.documents.length, 0)
  control.tick()
  await helper.sleepInSteps(500)
  t.is(entry.documents.at(-1)?.version, 1, 'fetched at the tick, not at a renewed subscription')
  control.tick()
  await timers.setTimeout(100)
  t.is(control.fetchCount(), 1, 'not fetched again')
})

// A control instance that reports a wrong version may send an older document, which must not replace a document in force.
test('an older document is ignored', async t => {
  const healthy = await helper.startControl({ isTicking: true })
  const misreporting = await helper.startControl({ reportedVersion: 9 })
  const entry = helper.startEntry('e1', [healthy.address])
  healthy.put(toDocument(5))
  await helper.until('the document arrived', () => entry.documents.at(-1)?.version === 5)
  misreporting.put(toDocument(3))
  entry.seeds.push(misreporting.address)
  await helper.until('the other control instance received a fetch', () => misreporting.fetchCount() > 0)
  await timers.setTimeout(1500)
  t.deepEqual(entry.documents.map(item => item.version), [5])
  // Limited by the back-off of 0.2, 0.4 and 0.8 s.
  t.true(misreporting.fetchCount() <= 6, `retried without back-off: ${misreporting.fetchCount()} times`)
  entry.stop()
  await Promise.all([healthy.close(), misreporting.close()])
})

// A busy link is no failure: replacing one busy control instance after another would only add load.
test('an instance retries where a document is withheld for a busy link', async t => {
  const document = toDocument(1, 8000)
  const bytes = contracts.packFull(document).body.length
  const control = await helper.startControl({ bytesPerMs: bytes / 300, isTicking: true })
  control.put(document)
  const entries = Array.from({ length: 5 }, (_, i) => helper.startEntry(`e${i}`, [control.address]))
  await helper.until('all have the document', () => entries.every(item => item.documents.at(-1)?.version === 1))
  t.true(control.fetchCount() > entries.length)
  t.is(control.subscribeCount(), entries.length, 'no subscription is replaced')
  for (const entry of entries) entry.stop()
  await control.close()
})
