/** Retries of attempts, and the responses to the client. */
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as helper from './helpers/testEntry.js'
import * as stallClocks from './helpers/stallClock.js'
import * as endpointDialers from '../src/paths/endpointDialer.js'

const test = ava.default

const reset: helper.Behaviour = (req, res) => { res.destroy() }
const full: helper.Behaviour = (req, res) => { res.writeHead(503, { 'x-attempt': req.headers['x-attempt'] as string, 'x-not-run': '1', 'content-length': 0 }).end() }

/** Starts two endpoints: the first becomes unresponsive and unreachable with its first request, the second is healthy. */
async function startUnresponsiveAndHealthy (): Promise<helper.TestEndpoint[]> {
  const endpoints: helper.TestEndpoint[] = []
  const unresponsive: helper.Behaviour = () => { endpoints[0].stopListening() }
  endpoints.push(await helper.startEndpoint('e1', unresponsive), await helper.startEndpoint('e2', helper.healthy))
  return endpoints
}

// Guards against running a non-idempotent request twice when the response is lost.
test('a request that may run only once is not retried after a reset', async t => {
  const endpoints = [await helper.startEndpoint('e1', reset), await helper.startEndpoint('e2', reset)]
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once', maxAttempts: 2 })], endpoints)
  const response = await entry.send({ method: 'POST', body: 'pay' })
  t.is(response.status, 502, 'neither "not run" nor a success')
  t.is(endpoints[0].requests.length + endpoints[1].requests.length, 1)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// Guards against an error response although a healthy endpoint is available.
test('an idempotent request is retried at a second endpoint after a reset', async t => {
  const endpoints = [await helper.startEndpoint('e1', reset), await helper.startEndpoint('e2', helper.healthy)]
  const entry = await helper.startEntry([helper.toRoute()], endpoints)
  for (let i = 0; i < 6; i++) t.is((await entry.send()).status, 200)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// Guards against returning a server error although there is time for a retry.
test('a server error for an idempotent request is retried, and returned if the retry fails too', async t => {
  const failing: helper.Behaviour = (req, res) => {
    res.writeHead(500, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': req.url, 'content-length': 3 })
    res.end('bad')
  }
  const endpoints = [await helper.startEndpoint('e1', failing), await helper.startEndpoint('e2', failing)]
  const entry = await helper.startEntry([helper.toRoute()], endpoints)
  const response = await entry.send()
  t.is(response.status, 500)
  t.is(response.headers['x-seal'], '/a/x')
  t.is(endpoints[0].requests.length + endpoints[1].requests.length, 2)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// A request that was not sent may be retried even if it may run only once.
test('no request fails because of an unreachable endpoint', async t => {
  const closed = await helper.startEndpoint('e1', helper.healthy)
  closed.close()
  // The system gives the port of a closed endpoint to that of another test; this one is never given.
  const unreachable = { ...closed, address: '127.0.0.1:1' }
  const healthy = await helper.startEndpoint('e2', helper.healthy)
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once', maxAttempts: 1 })], [unreachable, healthy])
  for (let i = 0; i < 6; i++) t.is((await entry.send({ method: 'POST', body: 'pay' })).status, 200)
  entry.close()
  healthy.close()
})

// Guards against repeated requests to an address that now belongs to another process.
test('an endpoint whose address belongs to another process is not used', async t => {
  const other = await helper.startEndpoint('e1', (req, res) => { res.writeHead(421, { 'x-attempt': req.headers['x-attempt'] as string, 'content-length': 0 }).end() })
  const healthy = await helper.startEndpoint('e2', helper.healthy)
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once', maxAttempts: 1 })], [other, healthy])
  for (let i = 0; i < 8; i++) t.is((await entry.send({ method: 'POST', body: 'pay' })).status, 200)
  t.true(other.requests.length <= 1)
  t.true(other.requests.every(item => item.headers['x-expect'] === 'e1'))
  entry.announce(other, { startedAt: 2 })
  for (let i = 0; i < 8; i++) t.is((await entry.send({ method: 'POST', body: 'pay' })).status, 200)
  t.true(other.requests.length >= 1, 'it is used again after a new announcement')
  entry.close()
  other.close()
  healthy.close()
})

// Guards against waiting for the deadline when all endpoints reject the request.
test('a request that no endpoint ran is rejected immediately as not run', async t => {
  const endpoints = [await helper.startEndpoint('e1', full), await helper.startEndpoint('e2', full)]
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once', maxAttempts: 1 })], endpoints)
  const response = await entry.send({ method: 'POST', body: 'pay' })
  t.is(response.status, 503)
  t.true(Number(response.headers['retry-after']) > 0)
  t.is(endpoints[0].requests.length, 1)
  t.is(endpoints[1].requests.length, 1)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// Guards against overloading the remaining endpoints during an outage.
test('retries stop when the retry budget is exhausted', async t => {
  const endpoints = [await helper.startEndpoint('e1', reset), await helper.startEndpoint('e2', reset)]
  const entry = await helper.startEntry([helper.toRoute()], endpoints, { retrySlack: 5 })
  for (let i = 0; i < 20; i++) await entry.send()
  t.true(endpoints[0].requests.length + endpoints[1].requests.length <= 20 + 8)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// Guards against returning a late response on a reused connection to another client.
test('a response to another request is not returned', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    res.writeHead(200, { 'x-attempt': 'somebody-else', 'x-seal': 's', 'content-length': 5 })
    res.end('alien')
  })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
  const response = await entry.send({ method: 'POST', body: 'pay' })
  t.is(response.status, 502)
  t.false(response.body.includes('alien'))
  entry.close()
  endpoint.close()
})

// Guards against a second run because additional bytes on a reused connection pass for the promise that the request was not run.
test('a rejection without the attempt id is no promise', async t => {
  for (const status of [421, 408, 429, 503, 400]) {
    const rejecting: helper.Behaviour = (req, res) => { res.writeHead(status, { 'x-not-run': '1', 'content-length': 0 }).end() }
    const endpoints = [await helper.startEndpoint('e1', rejecting), await helper.startEndpoint('e2', rejecting)]
    const entry = await helper.startEntry([helper.toRoute({ kind: 'once', maxAttempts: 2 })], endpoints)
    const response = await entry.send({ method: 'POST', body: 'pay' })
    t.is(response.status, 502, `status ${status}: neither "not run" nor a success`)
    t.is(endpoints[0].requests.length + endpoints[1].requests.length, 1)
    entry.close()
    endpoints.forEach(item => { item.close() })
  }
})

// Guards against success responses of a proxy or a faulty endpoint.
test('a success response without the endpoint seal is not returned', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    res.writeHead(200, { 'x-attempt': req.headers['x-attempt'] as string, 'content-length': 2 })
    res.end('ok')
  })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
  t.is((await entry.send({ method: 'POST', body: 'pay' })).status, 502)
  entry.close()
  endpoint.close()
})

// Guards against returning a truncated response as complete.
test('a truncated response is not returned', async t => {
  const half: helper.Behaviour = (req, res) => {
    res.writeHead(200, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's', 'content-length': 10 })
    res.write('half!')
    setTimeout(() => { res.destroy() }, 20)
  }
  const endpoint = await helper.startEndpoint('e1', half)
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
  t.is((await entry.send({ method: 'POST', body: 'pay' })).status, 502)
  entry.close()
  endpoint.close()
})

// The HTTP library reports a reset as the end of a body without a length.
for (const kind of ['once', 'stream'] as const) {
  test(`a response without a length is incomplete after a reset: ${kind}`, async t => {
    const endpoint = await helper.startEndpoint('e1', (req, res) => {
      const type = kind === 'stream' ? 'text/event-stream' : 'text/plain'
      const text = `HTTP/1.1 200 OK\r\nX-Attempt: ${req.headers['x-attempt'] as string}\r\nX-Seal: s\r\nContent-Type: ${type}\r\n\r\nid: 1\ndata: half\n\n`
      req.socket.write(text)
      setTimeout(() => { req.socket.resetAndDestroy() }, 50)
    })
    const entry = await helper.startEntry([helper.toRoute({ kind })], [endpoint])
    const response = await entry.send({ method: 'POST', body: 'pay' })
    t.true(response.status === 502 || !response.isComplete)
    entry.close()
    endpoint.close()
  })
}

// If the last bytes and the reset arrive together, the event loop reports an orderly end without an error.
test('a response without a length is incomplete if the reset arrives with its last bytes', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    req.socket.write(`HTTP/1.1 200 OK\r\nX-Attempt: ${req.headers['x-attempt'] as string}\r\nX-Seal: s\r\nConnection: close\r\n\r\nhalf`, () => { req.socket.resetAndDestroy() })
  })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
  for (let i = 0; i < 20; i++) t.is((await entry.send({ method: 'POST', body: 'pay' })).status, 502)
  entry.close()
  endpoint.close()
})

test('a response without a length is complete after an orderly close', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    req.socket.end(`HTTP/1.1 200 OK\r\nX-Attempt: ${req.headers['x-attempt'] as string}\r\nX-Seal: s\r\n\r\nwhole`)
  })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
  const response = await entry.send({ method: 'POST', body: 'pay' })
  t.is(response.status, 200)
  t.is(response.body, 'whole')
  entry.close()
  endpoint.close()
})

// Guards against ignoring the timeout of the route if the client deadline is longer.
test('a request fails with 504 after the timeout of its route', async t => {
  // A stall may use up the time before the request is sent.
  const { response, tookMs, requests } = await stallClocks.playWithoutStall(100, async () => {
    const endpoint = await helper.startEndpoint('e1', () => {})
    const entry = await helper.startEntry([helper.toRoute({ kind: 'once', timeoutMs: 300 })], [endpoint])
    const startedAt = performance.now()
    const response = await entry.send({ method: 'POST', body: 'pay', headers: { 'x-deadline-ms': '5000' } })
    const tookMs = performance.now() - startedAt
    entry.close()
    endpoint.close()
    return { response, tookMs, requests: endpoint.requests }
  })
  t.is(response.status, 504)
  t.true(tookMs < 2000)
  t.true(Number(requests[0].headers['x-deadline-ms']) <= 300, 'the endpoint receives the remaining time')
})

// Guards against a retried request that crashes one endpoint after the other.
test('a request that crashed three endpoints is quarantined', async t => {
  const endpoints: helper.TestEndpoint[] = []
  for (let i = 0; i < 5; i++) endpoints.push(await helper.startEndpoint(`e${i}`, () => { endpoints[i].close() }))
  const entry = await helper.startEntry([helper.toRoute({ maxAttempts: 1 })], endpoints)
  const countReached = (): number => endpoints.reduce((sum, item) => sum + item.requests.length, 0)
  for (let i = 0; i < 10; i++) await entry.send({ path: '/a/poison' })
  t.true(countReached() <= 4, `${countReached()} endpoints were reached`)
  const response = await entry.send({ path: '/a/poison' })
  t.is(response.status, 503)
  t.true(Number(response.headers['retry-after']) >= 10)
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// Guards against waiting for the response timeout at a host that is down with open connections.
test('an idempotent request leaves an unresponsive endpoint as soon as a probe fails', async t => {
  const endpoints = await startUnresponsiveAndHealthy()
  const entry = await helper.startEntry([helper.toRoute({ timeoutMs: 20_000 })], endpoints)
  const clock = stallClocks.startStallClock()
  while (endpoints[0].requests.length === 0) t.is((await entry.send({ headers: { 'x-deadline-ms': '20000' } })).status, 200)
  t.true(clock.now() < 6000)
  clock.stop()
  entry.close()
  endpoints.forEach(item => { item.close() })
})

// Guards against further requests to an unresponsive endpoint while a request that cannot be retried waits there.
test('a request that may run only once stays at an unresponsive endpoint, and others are sent elsewhere', async t => {
  const endpoints = await startUnresponsiveAndHealthy()
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once', timeoutMs: 5000 })], endpoints)
  const responses: Array<Promise<helper.TestResponse>> = []
  while (endpoints[0].requests.length === 0) {
    responses.push(entry.send({ method: 'POST', body: 'pay', headers: { 'x-deadline-ms': '5000' } }))
    await new Promise(resolve => { setTimeout(resolve, 20) })
  }
  const end = performance.now() + 3000
  while (performance.now() < end && !entry.lines.some(line => line.event === 'endpointGone')) await new Promise(resolve => { setTimeout(resolve, 20) })
  t.true(entry.lines.some(line => line.event === 'endpointGone'), 'detected while the first request is still waiting')
  t.is(endpoints[0].requests[0].isClosed(), false)
  t.is((await entry.send({ method: 'POST', body: 'pay' })).status, 200)
  t.is(endpoints[0].requests.length + endpoints[1].requests.length, responses.length + 1)
  entry.close()
  endpoints.forEach(item => { item.close() })
  await Promise.allSettled(responses)
})

// Guards against work for a client that has left: a request that may run only once is not aborted, but not sent again either.
test('a request whose client left is not sent to another endpoint after a rejection', async t => {
  const lateRejection: helper.Behaviour = (req, res, count) => { setTimeout(() => { full(req, res, count) }, 300) }
  const endpoints = [await helper.startEndpoint('e1', lateRejection), await helper.startEndpoint('e2', lateRejection)]
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once', maxAttempts: 1 })], endpoints)
  t.teardown(() => {
    entry.close()
    endpoints.forEach(item => { item.close() })
  })
  const countRequests = (): number => endpoints[0].requests.length + endpoints[1].requests.length
  const reached = async (): Promise<void> => { while (countRequests() === 0) await timers.setTimeout(20) }
  await t.throwsAsync(entry.send({ method: 'POST', body: 'pay', disconnect: reached() }))
  await timers.setTimeout(1000)
  t.is(countRequests(), 1)
})

// The endpoint closes the connection after a response to HEAD, so that each request has its own.
for (const [name, method, status, expected] of [['a status without a body', 'GET', 204, 1], ['a HEAD request', 'HEAD', 200, 3]] as const) {
  // Guards against taking every response without a length for one that the end of its connection delimits.
  test(`a response without a body is complete without another connection: ${name}`, async t => {
    let dials = 0
    const endpoint = await helper.startEndpoint('e1', (req, res) => { res.writeHead(status, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's' }).end() })
    const connect: endpointDialers.Connect = address => {
      dials++
      return endpointDialers.connectDirectly(address)
    }
    // A response that is late for this target would be probed for.
    const entry = await helper.startEntry([helper.toRoute({ targetMs: 10_000 })], [endpoint], { connect })
    t.teardown(() => {
      entry.close()
      endpoint.close()
    })
    for (let i = 0; i < 3; i++) t.is((await entry.send({ method })).status, status)
    await timers.setTimeout(300)
    t.is(dials, expected)
  })
}
