/** Exceptions in the handling of a request: its client gets an answer, and what the answer promises is true. */
import * as ava from 'ava'
import * as helper from './helpers/testEntry.js'
import * as rawClients from './helpers/rawClient.js'

const test = ava.default
const REQUESTS = 30

const sendMany = async (entry: helper.TestEntry, n = REQUESTS): Promise<number[]> => await Promise.all(Array.from({ length: n }, async (_, i) => (await entry.send({ method: i % 2 === 0 ? 'GET' : 'POST', headers: { 'x-deadline-ms': '20000' } }).catch(() => ({ status: 0 }))).status))

for (const [name, change] of [
  ['an id with control characters', { id: 'a\u0000\n' }],
  ['an id outside Latin-1', { id: 'รถ' }],
  ['a port that is out of range', { id: 'odd', address: '127.0.0.1:99999' }],
  ['no address', { id: 'odd', address: undefined as unknown as string }],
  ['an address with a line break', { id: 'odd', address: '1.2.3.4:80\r\nX: y' }]
] as const) {
  // Guards against requests without an answer after the values of an endpoint made an exception.
  test(`an endpoint with ${name} costs no request its answer`, async t => {
    const endpoint = await helper.startEndpoint('e1', helper.healthy)
    const entry = await helper.startEntry([helper.toRoute({ kind: 'once', timeoutMs: 20_000 })], [endpoint])
    entry.announce(endpoint, { address: '127.0.0.1:9', ...change })
    t.deepEqual(await sendMany(entry), Array<number>(REQUESTS).fill(200))
    t.false(entry.lines.some(line => line.event === 'uncaught' || line.event === 'requestUnsendable'))
    t.is(entry.lines.filter(line => line.event === 'endpointUnusable').length, 1)
    entry.close()
    endpoint.close()
  })
}

// Guards against a request that no endpoint can be sent, and that ends without an answer.
test('a request that cannot be sent to any endpoint is answered as not run', async t => {
  const endpoints = await Promise.all(Array.from({ length: 6 }, async (_, i) => await helper.startEndpoint(`e${i}`, helper.healthy)))
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], endpoints)
  for (const { record } of entry.pool.all()) Object.assign(record, { address: undefined })
  const res = await entry.send({ method: 'POST' }).catch(() => ({ status: 0 }))
  t.is(res.status, 503)
  t.is(endpoints.flatMap(item => item.requests).length, 0)
  entry.close()
  for (const endpoint of endpoints) endpoint.close()
})

const fail = (): never => { throw new TypeError('injected') }
for (const [where, inject, status] of [
  ['admission', () => ({ route: { pathPrefix: /x/ as unknown as string } }), 503],
  ['the choice of a service', () => ({ route: { split: [] } }), 503],
  ['quarantine', (entry: helper.TestEntry) => { entry.quarantine.isQuarantined = fail }, 503],
  ['placement', (entry: helper.TestEntry) => { entry.outliers.findOutliers = fail }, 503],
  ['the record of a response', (entry: helper.TestEntry) => { entry.outliers.record = fail }, 502]
] satisfies Array<[string, ((entry: helper.TestEntry) => void) | (() => { route: object }), number]>) {
  // Guards against exceptions that close the connection of the client.
  test(`an exception in ${where} is answered with ${status}`, async t => {
    const endpoint = await helper.startEndpoint('e1', helper.healthy)
    const change = inject.length === 0 ? (inject as () => { route: object })().route : {}
    const entry = await helper.startEntry([helper.toRoute({ kind: 'once', ...change })], [endpoint])
    if (inject.length > 0) (inject as (entry: helper.TestEntry) => void)(entry)
    const res = await entry.send({ method: 'POST', body: 'x' }).catch(() => ({ status: 0, headers: {} as { [name: string]: string | undefined } }))
    t.is(res.status, status)
    t.is(res.headers['x-seal'], undefined)
    t.is(endpoint.requests.length, status === 503 ? 0 : 1)
    t.true(entry.lines.some(line => (line.event === 'requestEnded' || line.event === 'requestRefused') && String(line.outcome ?? line.status).startsWith(String(status))))
    entry.close()
    endpoint.close()
  })
}

// Guards against a stream that looks complete, or stays open, after an exception in its midst.
test('a response that has begun is broken off after an exception', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    helper.beginStream(req, res)
    res.write('id: 1\ndata: a\n\n')
    setTimeout(() => res.end('id: 2\ndata: b\n\n'), 50)
  })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream' })], [endpoint])
  const startRun = entry.quarantine.startRun
  entry.quarantine.startRun = (...args) => ({ ...startRun(...args), end: reason => { if (reason === 'completed') fail() } })
  const { text } = await rawClients.sendRaw(entry.address, 'GET /a/x HTTP/1.1\r\nHost: test.example\r\nX-Attempt: r1\r\n\r\n')
  t.regex(text, /^HTTP\/1\.1 200 /)
  t.notRegex(text, /\r\n0\r\n\r\n$/)
  const { values } = await entry.metrics.broken.get()
  t.deepEqual(values.map(item => [item.labels.cause, item.value]), [['error', 1]])
  t.true(entry.lines.some(line => line.event === 'requestEnded'))
  entry.close()
  endpoint.close()
})

// Guards against an exception when a stream is resumed after an event id that no header can carry.
test('a stream whose event id cannot be sent is not resumed', async t => {
  const endpoints = await Promise.all(['e1', 'e2'].map(async id => await helper.startEndpoint(id, (req, res) => {
    helper.beginStream(req, res)
    res.write('id: \u0001\ndata: a\n\n', () => { setTimeout(() => res.socket?.destroy(), 50) })
  })))
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream', isResumable: true })], endpoints)
  const res = await entry.send()
  t.is(res.status, 200)
  t.false(res.isComplete)
  t.false(entry.lines.some(line => line.event === 'uncaught'))
  t.is(endpoints.flatMap(item => item.requests).length, 1)
  entry.close()
  for (const endpoint of endpoints) endpoint.close()
})
