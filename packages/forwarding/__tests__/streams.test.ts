/** Event streams: whole events only, resumed where allowed, cut where not, and ended when the client leaves. */
import * as ava from 'ava'
import * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as helper from './helpers/testEntry.js'

const test = ava.default

/** Sends events from the one behind the client's last, as `id: n`. */
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

/** So long that no verdict rests on how fast the machine is: an answer that is later than its target is looked for elsewhere. */
const PATIENT = { targetMs: 10_000, timeoutMs: 20_000 }
const PATIENT_CLIENT = { 'x-deadline-ms': '20000' }

// A report stops in the middle because its endpoint crashed within an event. The route allows to go on elsewhere: the client
// sees one stream with every event once.
test('a stream that breaks off goes on at another endpoint', async t => {
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
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream', isResumable: true, ...PATIENT })], endpoints)
  const answer = await entry.ask({ method: 'POST', body: 'q', headers: PATIENT_CLIENT })
  t.true(answer.isWhole)
  t.is(answer.body, toEvents(1, 7))
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// The same where the route does not allow it: the client must see that the stream is not complete, and no second endpoint
// may run the request.
test('a stream that may not be resumed ends with a broken connection', async t => {
  const behave: helper.Behaviour = (req, res) => { sendEvents(req, res, 2, res => { res.destroy() }) }
  const endpoints = [await helper.startEndpoint('e1', behave), await helper.startEndpoint('e2', behave)]
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream' })], endpoints)
  const answer = await entry.ask({ method: 'POST', body: 'q' })
  t.false(answer.isWhole)
  t.is(answer.body, toEvents(1, 2))
  t.is(endpoints[0].seen.length + endpoints[1].seen.length, 1)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// An endpoint crashes within milliseconds of its last event. The event waits to be joined with the next one when the connection
// to the endpoint breaks, and the caller lost it with the connection to it, although it was ready.
test('events that came just before a stream broke off are passed on', async t => {
  const behave: helper.Behaviour = (req, res) => {
    sendEvents(req, res, 1, () => {
      res.write('id: 2\ndata: event 2\n\n')
      setTimeout(() => { res.destroy() }, 5)
    })
  }
  const endpoint = await helper.startEndpoint('e1', behave)
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream' })], [endpoint])
  const answer = await entry.ask({ method: 'POST', body: 'q' })
  t.false(answer.isWhole)
  t.is(answer.body, toEvents(1, 2))
  entry.close()
  endpoint.close()
})

// An endpoint goes silent in the middle of a stream while its connection stays open. Clients leave after two seconds.
test('a stream that stalls is taken elsewhere', async t => {
  let calls = 0
  const behave: helper.Behaviour = (req, res) => {
    if (++calls === 1) sendEvents(req, res, 2, () => {})
    else sendEvents(req, res, 2, res => { res.end() })
  }
  const endpoints = [await helper.startEndpoint('e1', behave), await helper.startEndpoint('e2', behave)]
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream', isResumable: true, ...PATIENT })], endpoints)
  const answer = await entry.ask({ method: 'POST', body: 'q', headers: PATIENT_CLIENT })
  t.true(answer.isWhole)
  t.is(answer.body, toEvents(1, 4))
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// A client leaves. Its endpoint would go on to make tokens for nobody.
test('a stream whose client left ends at the endpoint', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => { sendEvents(req, res, 2, () => {}) })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream' })], [endpoint])
  const [host, port] = entry.address.split(':')
  const req = http.get({ host, port, path: '/a/x', agent: false, headers: { host: 'test.example', 'x-attempt': 'leaver', 'x-deadline-ms': '5000' } })
  req.on('error', () => {})
  for (let i = 0; i < 250 && endpoint.seen.length === 0; i++) await timers.setTimeout(20)
  t.is(endpoint.seen.length, 1)
  req.destroy()
  for (let i = 0; i < 100 && !endpoint.seen[0].isClosed(); i++) await timers.setTimeout(20)
  t.true(endpoint.seen[0].isClosed())
  entry.close()
  endpoint.close()
})

// An instance is busy for a second, after its restart at the peak of a burst. A client sent its request and left meanwhile; both
// are read in one go, and the request was sent on before the instance looked at the rest: an endpoint works for nobody.
for (const kind of ['idempotent', 'once', 'stream'] as const) {
  test(`a request whose client left before it was read goes nowhere: ${kind}`, async t => {
    const endpoint = await helper.startEndpoint('e1', helper.sound)
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
    t.is(endpoint.seen.length, 0)
    t.is((await entry.ask()).status, 200)
    entry.close()
    endpoint.close()
  })
}

// Guards against a stream that is run by one endpoint after the other because each of them answers its resumption with a failure.
test('a stream that is resumed runs on no more endpoints than its route allows', async t => {
  let runs = 0
  const behave: helper.Behaviour = (req, res) => {
    if (++runs === 1) {
      sendEvents(req, res, 2, res => { res.destroy() })
      return
    }
    res.writeHead(500, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's', 'content-length': 0 }).end()
  }
  const endpoints = await Promise.all(['e1', 'e2', 'e3', 'e4', 'e5'].map(async id => await helper.startEndpoint(id, behave)))
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream', isResumable: true, maxAttempts: 2, ...PATIENT })], endpoints)
  t.teardown(() => {
    entry.close()
    endpoints.forEach(item => { item.close() })
  })
  const answer = await entry.ask({ method: 'POST', body: 'q', headers: PATIENT_CLIENT })
  t.false(answer.isWhole)
  t.is(answer.body, toEvents(1, 2))
  t.is(runs, 2)
})

// Guards against a request that crashes one endpoint after the other: each crash counts against the endpoint where the rest of the
// stream ran, and not against the first one again.
test('a stream that crashes the endpoints on which it is resumed is held back', async t => {
  const endpoints: helper.TestEndpoint[] = []
  const crashing = (place: number): helper.Behaviour => (req, res) => {
    sendEvents(req, res, 1, () => { endpoints[place].close() })
  }
  for (let i = 0; i < 5; i++) endpoints.push(await helper.startEndpoint(`e${i}`, crashing(i)))
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream', isResumable: true, maxAttempts: 3, ...PATIENT })], endpoints)
  t.teardown(() => {
    entry.close()
    endpoints.forEach(item => { item.close() })
  })
  t.false((await entry.ask({ method: 'POST', body: 'q', headers: PATIENT_CLIENT })).isWhole)
  await timers.setTimeout(200)
  t.is((await entry.ask({ method: 'POST', body: 'q', headers: PATIENT_CLIENT })).status, 503)
  t.is(endpoints.filter(item => item.seen.length > 0).length, 3)
})

// Guards against an endpoint that fails every resumption and gets as much work as the sound ones.
test('a failed resumption counts against its endpoint', async t => {
  const breaking: helper.Behaviour = (req, res) => { sendEvents(req, res, 1, res => { res.destroy() }) }
  const failing: helper.Behaviour = (req, res) => {
    res.writeHead(500, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's', 'content-length': 0 }).end()
  }
  const first = await helper.startEndpoint('e1', breaking)
  const second = await helper.startEndpoint('e2', failing)
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream', isResumable: true, maxAttempts: 2, ...PATIENT })], [first])
  t.teardown(() => {
    entry.close()
    first.close()
    second.close()
  })
  const answer = entry.ask({ method: 'POST', body: 'q', headers: PATIENT_CLIENT })
  for (let i = 0; i < 250 && first.seen.length === 0; i++) await timers.setTimeout(2)
  entry.announce(second)
  t.false((await answer).isWhole)
  t.is(second.seen.length, 1)
  t.deepEqual(entry.outcomes.takeDeltas(performance.now()).find(item => item[0] === 'e2'), ['e2', 1, 1])
})
