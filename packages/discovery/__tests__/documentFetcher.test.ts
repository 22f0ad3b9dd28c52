/** Documents on their way from control instances to entry instances, over loopback. */
import * as ava from 'ava'
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as helper from './helpers/testControl.js'

const test = ava.default

function toDocument (version: number, entries = 2000): contracts.VersionedText {
  const routes = Array.from({ length: entries }, (_, i) => ({ name: `r-${(i * 7919) % 100_003}`, timeoutMs: i === version ? 1 : 600 }))
  return contracts.toVersionedText(version, Buffer.from(JSON.stringify({ version, routes })))
}

// Operators change one route twenty times in a row in a document of 2,000. Each change was sent whole to each instance by
// each of the three control instances that it listens to, which kept their links busy for seconds: routes that were removed
// went on to be served after the change had been accepted.
test('changes in a row cost a control instance little, and the last one arrives', async t => {
  const controls = await Promise.all([helper.startControl(), helper.startControl(), helper.startControl()])
  for (const control of controls) control.put(toDocument(1))
  const entry = helper.startEntry('e1', controls.map(item => item.address))
  await helper.until('the first document is there', () => entry.documents.at(-1)?.version === 1)
  const before = controls.reduce((sum, item) => sum + item.sentBytes(), 0)
  for (let version = 2; version <= 21; version++) {
    for (const control of controls) control.put(toDocument(version))
    await timers.setTimeout(5)
  }
  await helper.until('the last document is there', () => entry.documents.at(-1)?.version === 21)
  t.deepEqual(entry.documents.at(-1)?.text, toDocument(21).text)
  const bytes = controls.reduce((sum, item) => sum + item.sentBytes(), 0) - before
  t.true(bytes < 20_000, `${bytes} bytes for 20 changes; one document is ${contracts.packFull(toDocument(1)).body.length} bytes`)
  entry.stop()
  await Promise.all(controls.map(async item => { await item.close() }))
})

// A fleet lost its power: nobody is served before the document is there. A small one comes with the answer to the subscription,
// without a second way to a control instance that has just started.
test('a small document comes with the subscription', async t => {
  const control = await helper.startControl()
  control.put(toDocument(1, 20))
  const entry = helper.startEntry('e1', [control.address])
  await helper.until('the document is there', () => entry.documents.at(-1)?.version === 1)
  t.is(control.fetchCount(), 0)
  entry.stop()
  await control.close()
})

// The same with a large document: entry instances know three of six control instances by their settings, whose links are slow.
// The other three help to hand it out.
test('a large first document is handed out by all control instances', async t => {
  const others: string[] = []
  const controls = await Promise.all([0, 1, 2, 3, 4, 5].map(async () => await helper.startControl({ peerAddresses: others })))
  others.push(...controls.map(item => item.address))
  for (const control of controls) control.put(toDocument(1, 8000))
  const entries = Array.from({ length: 24 }, (_, i) => helper.startEntry(`e${i}`, controls.slice(0, 3).map(item => item.address)))
  await helper.until('all have it', () => entries.every(item => item.documents.at(-1)?.version === 1))
  const byOthers = controls.slice(3).reduce((sum, item) => sum + item.fetchCount(), 0)
  // Half of 24 on average; fewer than 4 by chance once in 5,000 runs.
  t.true(byOthers >= 4, `${byOthers} of 24`)
  for (const entry of entries) entry.stop()
  await Promise.all(controls.map(async item => { await item.close() }))
})

// The control instance that announced a document freezes before it hands it out; another one that holds it is asked.
test('a document that one control instance does not hand out is fetched from another', async t => {
  const mute = await helper.startControl({ isUnresponsiveToFetch: true })
  const sound = await helper.startControl()
  const entry = helper.startEntry('e1', [mute.address, sound.address])
  await timers.setTimeout(300)
  mute.put(toDocument(3))
  sound.put(toDocument(3))
  await helper.until('the document is there', () => entry.documents.at(-1)?.version === 3)
  t.true(sound.fetchCount() >= 1)
  entry.stop()
  await Promise.all([mute.close(), sound.close()])
})

// An announcement is lost with its link, or came before the subscription: the next tick tells the version.
test('a document whose announcement was missed is fetched at the next tick', async t => {
  const control = await helper.startControl({ isAnnouncing: false })
  const entry = helper.startEntry('e1', [control.address], () => 0)
  await timers.setTimeout(300)
  control.put(toDocument(1))
  await timers.setTimeout(200)
  t.is(entry.documents.length, 0)
  control.tick()
  await timers.setTimeout(500)
  t.is(entry.documents.at(-1)?.version, 1, 'and not only when the silent subscription is renewed')
  control.tick()
  await timers.setTimeout(100)
  t.is(control.fetchCount(), 1, 'and not again')
  entry.stop()
  await control.close()
})

// A control instance that is behind, or wrong about what it holds, hands out an older document. An instance that went back
// would refuse routes that the operators were told are in force.
test('an older document is not taken', async t => {
  const sound = await helper.startControl({ isTicking: true })
  const wrong = await helper.startControl({ reportedVersion: 9 })
  const entry = helper.startEntry('e1', [sound.address])
  sound.put(toDocument(5))
  await helper.until('the document is there', () => entry.documents.at(-1)?.version === 5)
  wrong.put(toDocument(3))
  entry.seeds.push(wrong.address)
  await helper.until('the other one is asked', () => wrong.fetchCount() > 0)
  await timers.setTimeout(1500)
  t.deepEqual(entry.documents.map(item => item.version), [5])
  // It is left for 0.2, 0.4 and 0.8 s.
  t.true(wrong.fetchCount() <= 6, `asked without end: ${wrong.fetchCount()} times`)
  entry.stop()
  await Promise.all([sound.close(), wrong.close()])
})

// Guards against control instances that are left, one after the other, because their links are busy with a large document.
test('an instance asks again where a document is withheld for a busy link', async t => {
  const document = toDocument(1, 8000)
  const bytes = contracts.packFull(document).body.length
  const control = await helper.startControl({ bytesPerMs: bytes / 300, isTicking: true })
  control.put(document)
  const entries = Array.from({ length: 5 }, (_, i) => helper.startEntry(`e${i}`, [control.address]))
  await helper.until('all have it', () => entries.every(item => item.documents.at(-1)?.version === 1))
  t.true(control.fetchCount() > entries.length)
  t.is(control.subscribeCount(), entries.length, 'and leaves nobody')
  for (const entry of entries) entry.stop()
  await control.close()
})
