/** Event streams: complete events only, resumption, and client disconnects. */
import * as ava from 'ava'
import * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as helper from './helpers/testEntry.js'

const test = ava.default

/** Sends `count` events after the last event of the client. */
function sendEvents (req: http.IncomingMessage, res: http.ServerResponse, count: number, end: (res: http.ServerResponse) => void): void {
  const from = Number(req.headers['last-event-id'] ?? 0)
  helper.beginStream(req, res)
  for (let i = from + 1; i <= from + count; i++) res.write(`id: ${i}\ndata: event ${i}\n\n`)
  setTimeout(() => { end(res) }, 50)
}

function toEvents (from: number, to: number): string {
  let text = ''
  for (let i = from; i <= to; i++) text += `id: ${i}\ndata: event ${i}\n\n`
  return text
}

/** Generous timeouts, so that no result depends on the speed of the machine. */
const LONG_TIMEOUTS = { targetMs: 10_000, timeoutMs: 20_000 }
const LONG_DEADLINE = { 'x-deadline-ms': '20000' }

// Guards against lost, repeated or partial events when an endpoint crashes within an event.
test('a broken stream is resumed at another endpoint', async t => {
  let calls = 0
  const behave: helper.Behaviour = (req, res) => {
    if (++calls > 1) {
      sendEvents(req, res, 3, res => { res.end() })
      return
    }
    sendEvents(req, res, 4, res => {
      res.write('id: 5\ndata: eve')
      setTimeout(() => { res.destroy() }, 20)
    })
  }
  const endpoints = [await helper.startEndpoint('e1', behave), await helper.startEndpoint('e2', behave)]
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream', isResumable: true, ...LONG_TIMEOUTS })], endpoints)
  const response = await entry.send({ method: 'POST', body: 'q', headers: LONG_DEADLINE })
  t.true(response.isComplete)
  t.is(response.body, toEvents(1, 7))
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// The client must detect the incomplete stream, and no second endpoint may run the request.
test('a broken stream that is not resumable ends with a broken connection', async t => {
  const behave: helper.Behaviour = (req, res) => { sendEvents(req, res, 2, res => { res.destroy() }) }
  const endpoints = [await helper.startEndpoint('e1', behave), await helper.startEndpoint('e2', behave)]
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream' })], endpoints)
  const response = await entry.send({ method: 'POST', body: 'q' })
  t.false(response.isComplete)
  t.is(response.body, toEvents(1, 2))
  t.is(endpoints[0].requests.length + endpoints[1].requests.length, 1)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// Guards against losing batched events when the connection to the endpoint breaks.
test('events received just before a stream breaks off are relayed', async t => {
  const behave: helper.Behaviour = (req, res) => {
    sendEvents(req, res, 1, () => {
      res.write('id: 2\ndata: event 2\n\n')
      setTimeout(() => { res.destroy() }, 5)
    })
  }
  const endpoint = await helper.startEndpoint('e1', behave)
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream', ...LONG_TIMEOUTS })], [endpoint])
  const response = await entry.send({ method: 'POST', body: 'q', headers: LONG_DEADLINE })
  t.false(response.isComplete)
  t.is(response.body, toEvents(1, 2))
  entry.close()
  endpoint.close()
})

// Guards against waiting for an unresponsive endpoint whose connection stays open.
test('a stalled stream is resumed at another endpoint', async t => {
  let calls = 0
  const behave: helper.Behaviour = (req, res) => {
    if (++calls === 1) sendEvents(req, res, 2, () => {})
    else sendEvents(req, res, 2, res => { res.end() })
  }
  const endpoints = [await helper.startEndpoint('e1', behave), await helper.startEndpoint('e2', behave)]
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream', isResumable: true, ...LONG_TIMEOUTS })], endpoints)
  const response = await entry.send({ method: 'POST', body: 'q', headers: LONG_DEADLINE })
  t.true(response.isComplete)
  t.is(response.body, toEvents(1, 4))
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// Guards against endpoints that keep generating for a disconnected client.
test('a stream is aborted at the endpoint when the client disconnects', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => { sendEvents(req, res, 2, () => {}) })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream' })], [endpoint])
  const [host, port] = entry.address.split(':')
  const req = http.get({ host, port, path: '/a/x', agent: false, headers: { host: 'test.example', 'x-attempt': 'leaver', 'x-deadline-ms': '5000' } })
  req.on('error', () => {})
  for (let i = 0; i < 250 && endpoint.requests.length === 0; i++) await timers.setTimeout(20)
  t.is(endpoint.requests.length, 1)
  req.destroy()
  for (let i = 0; i < 100 && !endpoint.requests[0].isClosed(); i++) await timers.setTimeout(20)
  t.true(endpoint.requests[0].isClosed())
  entry.close()
  endpoint.close()
})

// Guards against forwarding a request when its data and the end of the connection are read together.
for (const kind of ['idempotent', 'once', 'stream'] as const) {
  test(`a request is not forwarded if the client disconnected before it was read: ${kind}`, async t => {
    const endpoint = await helper.startEndpoint('e1', helper.healthy)
    const entry = await helper.startEntry([helper.toRoute({ kind })], [endpoint])
    const [host, port] = entry.address.split(':')
    const socket = net.connect({ host, port: Number(port) })
    await new Promise(resolve => { socket.on('connect', resolve) })
    await timers.setTimeout(50)
    socket.write('GET /a/x HTTP/1.1\r\nhost: test.example\r\nx-attempt: gone\r\nx-deadline-ms: 500\r\n\r\n')
    socket.end()
    const until = performance.now() + 100
    while (performance.now() < until);
    await timers.setTimeout(200)
    t.is(endpoint.requests.length, 0)
    t.is((await entry.send()).status, 200)
    entry.close()
    endpoint.close()
  })
}

// Guards against unlimited attempts when every resumption fails.
test('a resumed stream runs on no more endpoints than its route allows', async t => {
  let runs = 0
  const behave: helper.Behaviour = (req, res) => {
    if (++runs === 1) {
      sendEvents(req, res, 2, res => { res.destroy() })
      return
    }
    res.writeHead(500, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's', 'content-length': 0 }).end()
  }
  const endpoints = await Promise.all(['e1', 'e2', 'e3', 'e4', 'e5'].map(async id => await helper.startEndpoint(id, behave)))
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream', isResumable: true, maxAttempts: 2, ...LONG_TIMEOUTS })], endpoints)
  t.teardown(() => {
    entry.close()
    endpoints.forEach(item => { item.close() })
  })
  const response = await entry.send({ method: 'POST', body: 'q', headers: LONG_DEADLINE })
  t.false(response.isComplete)
  t.is(response.body, toEvents(1, 2))
  t.is(runs, 2)
})

// Guards against attributing all crashes to the first endpoint, which would prevent the quarantine.
test('a stream that crashes the endpoints that resume it is quarantined', async t => {
  const endpoints: helper.TestEndpoint[] = []
  const crashing = (place: number): helper.Behaviour => (req, res) => {
    sendEvents(req, res, 1, () => { endpoints[place].close() })
  }
  for (let i = 0; i < 5; i++) endpoints.push(await helper.startEndpoint(`e${i}`, crashing(i)))
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream', isResumable: true, maxAttempts: 3, ...LONG_TIMEOUTS })], endpoints)
  t.teardown(() => {
    entry.close()
    endpoints.forEach(item => { item.close() })
  })
  t.false((await entry.send({ method: 'POST', body: 'q', headers: LONG_DEADLINE })).isComplete)
  await timers.setTimeout(200)
  t.is((await entry.send({ method: 'POST', body: 'q', headers: LONG_DEADLINE })).status, 503)
  t.is(endpoints.filter(item => item.requests.length > 0).length, 3)
})

// Guards against an endpoint that fails every resumption and is not ejected.
test('a failed resumption counts against its endpoint', async t => {
  const breaking: helper.Behaviour = (req, res) => { sendEvents(req, res, 1, res => { res.destroy() }) }
  const failing: helper.Behaviour = (req, res) => {
    res.writeHead(500, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's', 'content-length': 0 }).end()
  }
  const first = await helper.startEndpoint('e1', breaking)
  const second = await helper.startEndpoint('e2', failing)
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream', isResumable: true, maxAttempts: 2, ...LONG_TIMEOUTS })], [first])
  t.teardown(() => {
    entry.close()
    first.close()
    second.close()
  })
  const response = entry.send({ method: 'POST', body: 'q', headers: LONG_DEADLINE })
  for (let i = 0; i < 250 && first.requests.length === 0; i++) await timers.setTimeout(2)
  entry.announce(second)
  t.false((await response).isComplete)
  t.is(second.requests.length, 1)
  t.deepEqual(entry.outliers.takeDeltas(performance.now()).find(item => item[0] === 'e2'), ['e2', 1, 1])
})

// Guards against waiting for a drain event that was emitted before anybody waited for it.
test('a stream goes on after a batch of events that reaches the high-water mark', async t => {
  const BURST_EVENTS = 80
  const data = 'x'.repeat(360)
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    helper.beginStream(req, res)
    const write = (from: number, to: number): void => { for (let i = from; i <= to; i++) res.write(`id: ${i}\ndata: ${data}\n\n`) }
    write(1, 2)
    setTimeout(() => { write(3, BURST_EVENTS) }, 200)
    setTimeout(() => { write(BURST_EVENTS + 1, BURST_EVENTS + 2) }, 600)
    setTimeout(() => {
      write(BURST_EVENTS + 3, BURST_EVENTS + 3)
      res.end()
    }, 800)
  })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream', maxAttempts: 1, ...LONG_TIMEOUTS, timeoutMs: 8000 })], [endpoint])
  t.teardown(() => {
    entry.close()
    endpoint.close()
  })
  const response = await entry.send({ headers: LONG_DEADLINE })
  t.true(response.isComplete)
  t.is(response.body.split('\n\n').length - 1, BURST_EVENTS + 3)
})

// Guards against a connection that is reset instead of an answer when a stream ends before its first event.
test('a stream that breaks off before its first event is answered with 502', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    res.useChunkedEncodingByDefault = false
    res.writeHead(200, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's', 'content-type': 'text/event-stream', connection: 'close' })
    res.flushHeaders()
    endpoint.stopListening()
    setTimeout(() => { res.end() }, 50)
  })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream' })], [endpoint])
  const res = await entry.send()
  t.is(res.status, 502)
  t.true(res.isComplete)
  entry.close()
  endpoint.close()
})
