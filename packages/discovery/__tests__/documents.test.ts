/** Documents on their way from control instances to entry instances, over loopback. */
import * as ava from 'ava'
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as discovery from '../src/index.js'

const test = ava.default
const log = telemetry.createLog({ instance: 'test', level: 'silent' })
const SECRET = 'test-secret-of-16'
const WAIT_MS = 10_000

interface TestControl {
  address: string
  /** Bytes that it sent. */
  sent: () => number
  /** Times that the document was asked for. */
  fetches: () => number
  put: (document: contracts.HeldText) => void
  tick: () => void
  close: () => Promise<void>
}

/** A control instance that hands out differences from the version before, and the whole to everyone else. */
async function startControl (isSilentOnFetch = false): Promise<TestControl> {
  const texts: contracts.HeldText[] = []
  const open: links.Link[] = []
  let bytes = 0
  let fetches = 0
  const since = (version: number): contracts.PackedText | null => {
    const latest = texts.at(-1)
    if (latest === undefined || latest.version <= version) return null
    const from = texts.find(item => item.version === version)
    return from === undefined ? contracts.packWhole(latest) : contracts.packDifference(from, latest)
  }
  const publisher = discovery.createPublisher({
    self: 'control',
    table: discovery.createRecordTable(),
    others: () => [],
    reach: async () => { throw new Error('there are no others') },
    version: () => texts.at(-1)?.version ?? 0,
    documentSince: since,
    isCurrent: () => true,
    log
  })
  const handlers: links.LinkHandlers = {
    onEvent (body) { publisher.onEvent(discovery.discoveryEvent.parse(body)) },
    async onCall (body, link) {
      const call = discovery.discoveryCall.parse(body)
      if (call.t === 'fetch') fetches++
      if (call.t === 'fetch' && isSilentOnFetch) return await new Promise(() => {})
      return await publisher.onCall(call, link)
    }
  }
  const cfg: links.LinkSettings = { who: { role: 'control', id: 'control' }, secret: SECRET, log, handlers, count: (direction, size) => { if (direction === 'out') bytes += size } }
  const server = await links.listen('127.0.0.1:0', cfg, link => { open.push(link) })
  return {
    address: `127.0.0.1:${server.port}`,
    sent: () => bytes,
    fetches: () => fetches,
    put (document) {
      texts.push(document)
      publisher.publishDocument()
    },
    tick: publisher.tick,
    async close () {
      for (const link of open) link.close()
      await server.close()
    }
  }
}

function startEntry (id: string, seeds: string[]): { documents: contracts.HeldText[], stop: () => void } {
  const documents: contracts.HeldText[] = []
  const handlers: links.LinkHandlers = {
    onEvent (body, link) { subscriber.onEvent(discovery.discoveryEvent.parse(body), link) },
    async onCall () { throw new Error('no calls') }
  }
  const subscriber = discovery.startSubscriber({
    seeds: () => seeds,
    table: discovery.createRecordTable(),
    dial: async address => await links.dial(address, { who: { role: 'router', id }, secret: SECRET, log, handlers }),
    self: () => ({ kind: 'entry', id, startedAt: 1, seq: 1, zone: 'z', region: 'r', front: '127.0.0.1:1', inner: '127.0.0.1:2', state: 'ready' }),
    onDocument: document => { documents.push(document) },
    onRecords: () => {},
    log
  })
  return { documents, stop: subscriber.stop }
}

async function until (what: string, holds: () => boolean): Promise<void> {
  const end = performance.now() + WAIT_MS
  while (!holds()) {
    if (performance.now() > end) throw new Error(`waited in vain until ${what}`)
    await timers.setTimeout(10)
  }
}

function toDocument (version: number, entries = 2000): contracts.HeldText {
  const routes = Array.from({ length: entries }, (_, i) => ({ name: `r-${(i * 7919) % 100_003}`, timeoutMs: i === version ? 1 : 600 }))
  return contracts.toHeldText(version, Buffer.from(JSON.stringify({ version, routes })))
}

// Operators change one route twenty times in a row in a document of 2,000. Each change was sent whole to each instance by
// each of the three control instances that it listens to, which kept their links busy for seconds: routes that were removed
// went on to be served after the change had been accepted.
test('changes in a row cost a control instance little, and the last one arrives', async t => {
  const controls = await Promise.all([startControl(), startControl(), startControl()])
  for (const control of controls) control.put(toDocument(1))
  const entry = startEntry('e1', controls.map(item => item.address))
  await until('the first document is there', () => entry.documents.at(-1)?.version === 1)
  const before = controls.reduce((sum, item) => sum + item.sent(), 0)
  for (let version = 2; version <= 21; version++) {
    for (const control of controls) control.put(toDocument(version))
    await timers.setTimeout(5)
  }
  await until('the last document is there', () => entry.documents.at(-1)?.version === 21)
  t.deepEqual(entry.documents.at(-1)?.text, toDocument(21).text)
  const bytes = controls.reduce((sum, item) => sum + item.sent(), 0) - before
  t.true(bytes < 20_000, `${bytes} bytes for 20 changes; one document is ${contracts.packWhole(toDocument(1)).body.length} bytes`)
  entry.stop()
  await Promise.all(controls.map(async item => { await item.close() }))
})

// The control instance that announced a document freezes before it hands it out; another one that holds it is asked.
test('a document that one control instance does not hand out is fetched from another', async t => {
  const mute = await startControl(true)
  const sound = await startControl()
  const entry = startEntry('e1', [mute.address, sound.address])
  await timers.setTimeout(300)
  mute.put(toDocument(3))
  sound.put(toDocument(3))
  await until('the document is there', () => entry.documents.at(-1)?.version === 3)
  t.true(sound.fetches() >= 1)
  entry.stop()
  await Promise.all([mute.close(), sound.close()])
})

// An announcement is lost with its link, or came before the subscription: the next tick tells the version.
test('a document whose announcement was missed is fetched at the next tick', async t => {
  const control = await startControl()
  const entry = startEntry('e1', [control.address])
  await timers.setTimeout(300)
  control.put(toDocument(1))
  await until('the first document is there', () => entry.documents.at(-1)?.version === 1)
  control.tick()
  await until('nothing more is asked for', () => control.fetches() === 1)
  t.is(entry.documents.length, 1)
  entry.stop()
  await control.close()
})
