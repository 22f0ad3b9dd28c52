/** Validation of client requests, and the requests that endpoints receive. */
import * as ava from 'ava'
import * as net from 'node:net'
import * as helper from './helpers/testEntry.js'

const test = ava.default

/** Sends bytes and reads until the connection closes. */
async function sendRaw (address: string, text: string): Promise<string> {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    let received = ''
    const socket = net.connect({ host, port: Number(port) }, () => { socket.write(text) })
    socket.on('data', chunk => { received += String(chunk) })
    socket.on('close', () => { resolve(received) })
    socket.on('error', () => {})
    setTimeout(() => { socket.destroy() }, 2500)
  })
}

const HEAD = 'Host: test.example\r\nX-Attempt: raw1\r\n'

// Guards against requests that are never answered because they were sent before the response to an earlier one.
test('pipelined requests are answered in order', async t => {
  const endpoint = await helper.startEndpoint('e1', helper.healthy)
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
  const toRequest = (n: number, close = ''): string => `POST /a/${n} HTTP/1.1\r\nHost: test.example\r\nX-Attempt: raw${n}\r\nContent-Length: 2\r\n${close}\r\n${n}${n}`
  const received = await sendRaw(entry.address, toRequest(1) + toRequest(2) + toRequest(3, 'Connection: close\r\n'))
  t.deepEqual([...received.matchAll(/^x-attempt: (raw\d)/gmi)].map(match => match[1]), ['raw1', 'raw2', 'raw3'])
  t.is(received.match(/HTTP\/1\.1 200/g)?.length, 3)
  t.deepEqual(endpoint.requests.map(item => item.body), ['11', '22', '33'])
  entry.close()
  endpoint.close()
})

// Guards against forwarding a request whose client left before its turn came.
test('a pipelined request of a client that left is not forwarded', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => { setTimeout(() => { helper.healthy(req, res, 1) }, 600) })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
  const [host, port] = entry.address.split(':')
  const socket = net.connect({ host, port: Number(port) }, () => { socket.write(`POST /a/1 HTTP/1.1\r\n${HEAD}Content-Length: 0\r\n\r\nPOST /a/2 HTTP/1.1\r\n${HEAD}Content-Length: 0\r\n\r\n`) })
  socket.on('error', () => {})
  setTimeout(() => { socket.destroy() }, 200)
  await new Promise(resolve => { setTimeout(resolve, 1500) })
  t.deepEqual(endpoint.requests.map(item => item.url), ['/a/1'])
  entry.close()
  endpoint.close()
})

test('the endpoint receives the client request with the headers of the fleet', async t => {
  const endpoint = await helper.startEndpoint('e1', helper.healthy)
  const accounts = [{ name: 'clerks', keys: ['k1'], rank: null }]
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint], { accounts })
  await entry.send({ method: 'POST', path: '/a/x?page=1', body: 'hello', headers: { 'x-key': 'k1', 'x-account': 'forged', 'x-reserved': 'forged', 'x-expect': 'forged', 'x-other': 'kept' } })
  const [request] = endpoint.requests
  t.is(request.url, '/a/x?page=1')
  t.is(request.body, 'hello')
  t.is(request.headers['x-account'], 'clerks')
  t.is(request.headers['x-expect'], 'e1')
  t.is(request.headers['x-other'], 'kept')
  t.is(request.headers['x-key'], undefined)
  t.is(request.headers['x-reserved'], undefined)
  t.true(Number(request.headers['x-deadline-ms']) <= 2000)
  entry.close()
  endpoint.close()
})

test('requests without a route or a valid API key are rejected', async t => {
  const endpoint = await helper.startEndpoint('e1', helper.healthy)
  const accounts = [{ name: 'clerks', keys: ['k1'], rank: null }]
  const entry = await helper.startEntry([helper.toRoute(), helper.toRoute({ name: 'open', pathPrefix: '/open/', isKeyless: true })], [endpoint], { accounts })
  t.is((await entry.send({ path: '/none/x' })).status, 404)
  t.is((await entry.send()).status, 401)
  t.is((await entry.send({ headers: { 'x-key': 'wrong' } })).status, 401)
  t.is((await entry.send({ headers: { 'x-key': 'k1', host: 'other.example' } })).status, 404)
  t.is((await entry.send({ path: '/open/x' })).status, 200)
  t.is((await entry.send({ headers: { 'x-key': 'k1', host: 'TEST.example:80' } })).status, 200)
  t.is(endpoint.requests.length, 2)
  entry.close()
  endpoint.close()
})

test('requests beyond the limits are rejected', async t => {
  const endpoint = await helper.startEndpoint('e1', helper.healthy)
  const entry = await helper.startEntry([helper.toRoute()], [endpoint], { limits: { maxBodyBytes: 1000, headerTimeoutMs: 700 } })
  t.is((await entry.send({ method: 'POST', body: 'x'.repeat(1001) })).status, 413)
  t.is((await entry.send({ headers: { 'x-long': 'y'.repeat(17_000) } })).status, 431)
  t.regex(await sendRaw(entry.address, `POST /a/x HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\n\r\n`.concat('400\r\n', 'x'.repeat(1024), '\r\n')), /^HTTP\/1\.1 413 /)
  t.regex(await sendRaw(entry.address, 'GET /a/x HTTP/1.1\r\nHost: te'), /^HTTP\/1\.1 408 /)
  t.is(endpoint.requests.length, 0)
  entry.close()
  endpoint.close()
})

// Guards against request smuggling by ambiguous framing or headers.
for (const [name, text] of [
  ['a length beside chunks', `POST /a/x HTTP/1.1\r\n${HEAD}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /a/smuggled HTTP/1.1\r\n${HEAD}\r\n`],
  ['two lengths', `POST /a/x HTTP/1.1\r\n${HEAD}Content-Length: 4\r\nContent-Length: 40\r\n\r\nabcdGET /a/smuggled HTTP/1.1\r\n${HEAD}\r\n`],
  ['a space before the colon', `POST /a/x HTTP/1.1\r\n${HEAD}Content-Length : 40\r\n\r\nGET /a/smuggled HTTP/1.1\r\n${HEAD}\r\n`],
  ['two hosts', `GET /a/x HTTP/1.1\r\n${HEAD}Host: other.example\r\n\r\n`],
  ['two attempts', `GET /a/x HTTP/1.1\r\n${HEAD}X-Attempt: raw2\r\n\r\n`],
  ['a line feed in a header', `GET /a/x HTTP/1.1\r\n${HEAD}X-Other: a\nX-Account: forged\r\n\r\n`]
]) {
  test(`no request is smuggled by ${name}`, async t => {
    const endpoint = await helper.startEndpoint('e1', helper.healthy)
    const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
    const received = await sendRaw(entry.address, text)
    t.regex(received, /^HTTP\/1\.1 400 /)
    t.is(endpoint.requests.length, 0)
    entry.close()
    endpoint.close()
  })
}

test('a draining instance serves requests and closes their connections, then rejects requests', async t => {
  const endpoint = await helper.startEndpoint('e1', helper.healthy)
  const entry = await helper.startEntry([helper.toRoute()], [endpoint])
  entry.drain(true)
  const served = await entry.send({ headers: { connection: 'keep-alive' } })
  t.is(served.status, 200)
  t.is(served.headers.connection, 'close')
  entry.drain(false)
  const refused = await entry.send({ headers: { connection: 'keep-alive' } })
  t.is(refused.status, 503)
  t.is(refused.headers.connection, 'close')
  entry.close()
  endpoint.close()
})
