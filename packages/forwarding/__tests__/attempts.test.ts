/** Which sends are repeated, which are not, and what the client is told. */
import * as ava from 'ava'
import * as helper from './helpers/testEntry.js'

const test = ava.default

const reset: helper.Behaviour = (req, res) => { res.destroy() }
const full: helper.Behaviour = (req, res) => { res.writeHead(503, { 'x-not-run': '1', 'content-length': 0 }).end() }

/** Two endpoints: one goes silent with its first request and takes no further connections, the other one is sound. */
async function startSilentAndSound (): Promise<helper.TestEndpoint[]> {
  const endpoints: helper.TestEndpoint[] = []
  const silent: helper.Behaviour = () => { endpoints[0].refuse() }
  endpoints.push(await helper.startEndpoint('e1', silent), await helper.startEndpoint('e2', helper.sound))
  return endpoints
}

// A booking is charged twice. The endpoint charges, its connection breaks before the answer, and the entry instance sends the
// same booking to a second endpoint.
test('a request that may run once is not sent again after a reset', async t => {
  const endpoints = [await helper.startEndpoint('e1', reset), await helper.startEndpoint('e2', reset)]
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once', maxAttempts: 2 })], endpoints)
  const answer = await entry.ask({ method: 'POST', body: 'pay' })
  t.is(answer.status, 502, 'neither "not run" nor a success')
  t.is(endpoints[0].seen.length + endpoints[1].seen.length, 1)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// A client asks for its status and gets an error although a sound endpoint stands beside the one that broke.
test('an idempotent request goes to a second endpoint after a reset', async t => {
  const endpoints = [await helper.startEndpoint('e1', reset), await helper.startEndpoint('e2', helper.sound)]
  const entry = await helper.startEntry([helper.toRoute()], endpoints)
  for (let i = 0; i < 6; i++) t.is((await entry.ask()).status, 200)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// One endpoint in seven fails a status check by itself, early; the client is given the failure although there was time for
// another try.
test('an endpoint\'s own failure of an idempotent request is tried elsewhere, and passed on if that fails too', async t => {
  const failing: helper.Behaviour = (req, res) => {
    res.writeHead(500, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': req.url, 'content-length': 3 })
    res.end('bad')
  }
  const endpoints = [await helper.startEndpoint('e1', failing), await helper.startEndpoint('e2', failing)]
  const entry = await helper.startEntry([helper.toRoute()], endpoints)
  const answer = await entry.ask()
  t.is(answer.status, 500)
  t.is(answer.headers['x-seal'], '/a/x')
  t.is(endpoints[0].seen.length + endpoints[1].seen.length, 2)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// After a crash the address refuses connections: nothing was sent, so even a booking may go elsewhere at once.
test('an endpoint that cannot be connected to costs no request', async t => {
  const dead = await helper.startEndpoint('e1', helper.sound)
  dead.close()
  const sound = await helper.startEndpoint('e2', helper.sound)
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once', maxAttempts: 1 })], [dead, sound])
  for (let i = 0; i < 6; i++) t.is((await entry.ask({ method: 'POST', body: 'pay' })).status, 200)
  entry.close()
  sound.close()
})

// Another process has taken over the address of an endpoint that is gone. It says so, did not run the request, and must not
// be asked again before the endpoint announces itself anew.
test('an address that belongs to another process is left alone', async t => {
  const other = await helper.startEndpoint('e1', (req, res) => { res.writeHead(421, { 'content-length': 0 }).end() })
  const sound = await helper.startEndpoint('e2', helper.sound)
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once', maxAttempts: 1 })], [other, sound])
  for (let i = 0; i < 8; i++) t.is((await entry.ask({ method: 'POST', body: 'pay' })).status, 200)
  t.true(other.seen.length <= 1)
  t.true(other.seen.every(item => item.headers['x-expect'] === 'e1'))
  entry.announce(other, { startedAt: 2 })
  for (let i = 0; i < 8; i++) t.is((await entry.ask({ method: 'POST', body: 'pay' })).status, 200)
  t.true(other.seen.length >= 1, 'it is asked again after a new announcement')
  entry.close()
  other.close()
  sound.close()
})

// All endpoints are full and say that they did not run the request: the client is told at once that it did not run, and when
// to come back, and does not wait for its deadline.
test('a request that no endpoint ran is refused at once as not run', async t => {
  const endpoints = [await helper.startEndpoint('e1', full), await helper.startEndpoint('e2', full)]
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once', maxAttempts: 1 })], endpoints)
  const answer = await entry.ask({ method: 'POST', body: 'pay' })
  t.is(answer.status, 503)
  t.true(Number(answer.headers['retry-after']) > 0)
  t.is(endpoints[0].seen.length, 1)
  t.is(endpoints[1].seen.length, 1)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// An outage of some endpoints must not multiply the load of the others: second sends are paid for.
test('second sends end when their budget is used up', async t => {
  const endpoints = [await helper.startEndpoint('e1', reset), await helper.startEndpoint('e2', reset)]
  const entry = await helper.startEntry([helper.toRoute()], endpoints, { retrySlack: 5 })
  for (let i = 0; i < 20; i++) await entry.ask()
  t.true(endpoints[0].seen.length + endpoints[1].seen.length <= 20 + 8)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// A client reads another client's answer: it came late on a kept connection, where the next answer was expected.
test('an answer that belongs to another request is not passed on', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    res.writeHead(200, { 'x-attempt': 'somebody-else', 'x-seal': 's', 'content-length': 5 })
    res.end('alien')
  })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
  const answer = await entry.ask({ method: 'POST', body: 'pay' })
  t.is(answer.status, 502)
  t.false(answer.body.includes('alien'))
  entry.close()
  endpoint.close()
})

// A proxy or a broken endpoint answers with a success that no engine made.
test('a success without the endpoint\'s seal is not passed on', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    res.writeHead(200, { 'x-attempt': req.headers['x-attempt'] as string, 'content-length': 2 })
    res.end('ok')
  })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
  t.is((await entry.ask({ method: 'POST', body: 'pay' })).status, 502)
  entry.close()
  endpoint.close()
})

// An answer breaks off after half of its length. The client must not take the half for the whole.
test('half an answer is not passed on', async t => {
  const half: helper.Behaviour = (req, res) => {
    res.writeHead(200, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's', 'content-length': 10 })
    res.write('half!')
    setTimeout(() => { res.destroy() }, 20)
  }
  const endpoint = await helper.startEndpoint('e1', half)
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
  t.is((await entry.ask({ method: 'POST', body: 'pay' })).status, 502)
  entry.close()
  endpoint.close()
})

// An answer without a length ends with its connection, and the connection is reset half-way. The HTTP library calls that
// the end of the body; the client would take half an answer for the whole.
for (const kind of ['once', 'stream'] as const) {
  test(`an answer without a length that is reset is not whole, ${kind}`, async t => {
    const endpoint = await helper.startEndpoint('e1', (req, res) => {
      const type = kind === 'stream' ? 'text/event-stream' : 'text/plain'
      const text = `HTTP/1.1 200 OK\r\nX-Attempt: ${req.headers['x-attempt'] as string}\r\nX-Seal: s\r\nContent-Type: ${type}\r\n\r\nid: 1\ndata: half\n\n`
      req.socket.write(text)
      setTimeout(() => { req.socket.resetAndDestroy() }, 50)
    })
    const entry = await helper.startEntry([helper.toRoute({ kind })], [endpoint])
    const answer = await entry.ask({ method: 'POST', body: 'pay' })
    t.true(answer.status === 502 || !answer.isWhole)
    entry.close()
    endpoint.close()
  })
}

// The same where the last bytes and the reset arrive in one go: the event loop then reports an orderly end and no error.
test('an answer without a length whose reset comes with its last bytes is not whole', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    req.socket.write(`HTTP/1.1 200 OK\r\nX-Attempt: ${req.headers['x-attempt'] as string}\r\nX-Seal: s\r\nConnection: close\r\n\r\nhalf`, () => { req.socket.resetAndDestroy() })
  })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
  for (let i = 0; i < 20; i++) t.is((await entry.ask({ method: 'POST', body: 'pay' })).status, 502)
  entry.close()
  endpoint.close()
})

// The same with an orderly end of the connection is a whole answer.
test('an answer without a length that ends in order is whole', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    req.socket.end(`HTTP/1.1 200 OK\r\nX-Attempt: ${req.headers['x-attempt'] as string}\r\nX-Seal: s\r\n\r\nwhole`)
  })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
  const answer = await entry.ask({ method: 'POST', body: 'pay' })
  t.is(answer.status, 200)
  t.is(answer.body, 'whole')
  entry.close()
  endpoint.close()
})

// The operator allows a second for a route. A client that would wait longer still gets its final answer then.
test('a request is answered when its route\'s time is over', async t => {
  const endpoint = await helper.startEndpoint('e1', () => {})
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once', timeoutMs: 300 })], [endpoint])
  const startedAt = performance.now()
  const answer = await entry.ask({ method: 'POST', body: 'pay', headers: { 'x-deadline-ms': '5000' } })
  t.is(answer.status, 504)
  t.true(performance.now() - startedAt < 2000)
  t.true(Number(endpoint.seen[0].headers['x-deadline-ms']) <= 300, 'the endpoint is told no more than is left')
  entry.close()
  endpoint.close()
})

// A request crashes each endpoint that runs it, and its caller sends it again. After three crashes it reaches none.
test('a request that crashed three endpoints reaches no further one', async t => {
  const endpoints: helper.TestEndpoint[] = []
  for (let i = 0; i < 5; i++) endpoints.push(await helper.startEndpoint(`e${i}`, () => { endpoints[i].close() }))
  const entry = await helper.startEntry([helper.toRoute({ maxAttempts: 1 })], endpoints)
  const reached = (): number => endpoints.reduce((sum, item) => sum + item.seen.length, 0)
  for (let i = 0; i < 10; i++) await entry.ask({ path: '/a/poison' })
  t.true(reached() <= 4, `${reached()} endpoints were reached`)
  const answer = await entry.ask({ path: '/a/poison' })
  t.is(answer.status, 503)
  t.true(Number(answer.headers['retry-after']) >= 10)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// A runner loses its power in the middle of the day, with connections open. A client that asks for its status waited for two
// fifths of its time, 8 s here, before a sound endpoint was asked.
test('an endpoint that is down and silent is left as soon as that is known', async t => {
  const endpoints = await startSilentAndSound()
  const entry = await helper.startEntry([helper.toRoute({ timeoutMs: 20_000 })], endpoints)
  const beganAt = performance.now()
  while (endpoints[0].seen.length === 0) t.is((await entry.ask({ headers: { 'x-deadline-ms': '20000' } })).status, 200)
  t.true(performance.now() - beganAt < 6000)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// The same for a booking: it may not be sent again, but those that come after it are not to wait at the same endpoint.
test('a request that may run once stays at a silent endpoint, others go elsewhere meanwhile', async t => {
  const endpoints = await startSilentAndSound()
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once', timeoutMs: 5000 })], endpoints)
  const answers: Array<Promise<helper.TestAnswer>> = []
  while (endpoints[0].seen.length === 0) {
    answers.push(entry.ask({ method: 'POST', body: 'pay', headers: { 'x-deadline-ms': '5000' } }))
    await new Promise(resolve => { setTimeout(resolve, 20) })
  }
  const end = performance.now() + 3000
  while (performance.now() < end && !entry.lines.some(line => line.event === 'endpointGone')) await new Promise(resolve => { setTimeout(resolve, 20) })
  t.true(entry.lines.some(line => line.event === 'endpointGone'), 'known while the first still waits')
  t.is(endpoints[0].seen[0].isClosed(), false)
  t.is((await entry.ask({ method: 'POST', body: 'pay' })).status, 200)
  t.is(endpoints[0].seen.length + endpoints[1].seen.length, answers.length + 1)
  entry.close()
  endpoints.forEach(item => { item.close() })
  await Promise.allSettled(answers)
})
