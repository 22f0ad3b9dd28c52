/** What callers may send, and what endpoints get of it. */
import * as ava from 'ava'
import * as net from 'node:net'
import * as helper from './helpers/testEntry.js'

const test = ava.default

/** Sends bytes and reads until the connection ends. */
async function raw (address: string, text: string): Promise<string> {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    let got = ''
    const socket = net.connect({ host, port: Number(port) }, () => { socket.write(text) })
    socket.on('data', chunk => { got += String(chunk) })
    socket.on('close', () => { resolve(got) })
    socket.on('error', () => {})
    setTimeout(() => { socket.destroy() }, 2500)
  })
}

const HEAD = 'Host: test.example\r\nX-Attempt: raw1\r\n'

test('the endpoint gets what the client sent, and what only the fleet may set is the fleet\'s', async t => {
  const endpoint = await helper.startEndpoint('e1', helper.sound)
  const accounts = [{ name: 'clerks', keys: ['k1'], rank: null }]
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint], { accounts })
  await entry.ask({ method: 'POST', path: '/a/x?page=1', body: 'hello', headers: { 'x-key': 'k1', 'x-account': 'forged', 'x-reserved': 'forged', 'x-expect': 'forged', 'x-other': 'kept' } })
  const [seen] = endpoint.seen
  t.is(seen.url, '/a/x?page=1')
  t.is(seen.body, 'hello')
  t.is(seen.headers['x-account'], 'clerks')
  t.is(seen.headers['x-expect'], 'e1')
  t.is(seen.headers['x-other'], 'kept')
  t.is(seen.headers['x-key'], undefined)
  t.is(seen.headers['x-reserved'], undefined)
  t.true(Number(seen.headers['x-deadline-ms']) <= 2000)
  entry.close()
  endpoint.close()
})

test('requests without route, key or attempt are refused with what to correct', async t => {
  const endpoint = await helper.startEndpoint('e1', helper.sound)
  const accounts = [{ name: 'clerks', keys: ['k1'], rank: null }]
  const entry = await helper.startEntry([helper.toRoute(), helper.toRoute({ name: 'open', pathPrefix: '/open/', isKeyless: true })], [endpoint], { accounts })
  t.is((await entry.ask({ path: '/none/x' })).status, 404)
  t.is((await entry.ask()).status, 401)
  t.is((await entry.ask({ headers: { 'x-key': 'wrong' } })).status, 401)
  t.is((await entry.ask({ headers: { 'x-key': 'k1', host: 'other.example' } })).status, 404)
  t.is((await entry.ask({ path: '/open/x' })).status, 200)
  t.is((await entry.ask({ headers: { 'x-key': 'k1', host: 'TEST.example:80' } })).status, 200)
  t.is(endpoint.seen.length, 2)
  entry.close()
  endpoint.close()
})

test('requests beyond the limits are refused', async t => {
  const endpoint = await helper.startEndpoint('e1', helper.sound)
  const entry = await helper.startEntry([helper.toRoute()], [endpoint], { limits: { maxBodyBytes: 1000, headerTimeoutMs: 700 } })
  t.is((await entry.ask({ method: 'POST', body: 'x'.repeat(1001) })).status, 413)
  t.is((await entry.ask({ headers: { 'x-long': 'y'.repeat(17_000) } })).status, 431)
  t.regex(await raw(entry.address, `POST /a/x HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\n\r\n`.concat('400\r\n', 'x'.repeat(1024), '\r\n')), /^HTTP\/1\.1 413 /)
  t.regex(await raw(entry.address, 'GET /a/x HTTP/1.1\r\nHost: te'), /^HTTP\/1\.1 408 /)
  t.is(endpoint.seen.length, 0)
  entry.close()
  endpoint.close()
})

// Two readers take the same bytes for different requests: one goes by the length, the other by the chunks, and a request that
// no client sent reaches an endpoint under another caller's connection.
for (const [name, text] of [
  ['a length beside chunks', `POST /a/x HTTP/1.1\r\n${HEAD}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /a/smuggled HTTP/1.1\r\n${HEAD}\r\n`],
  ['two lengths', `POST /a/x HTTP/1.1\r\n${HEAD}Content-Length: 4\r\nContent-Length: 40\r\n\r\nabcdGET /a/smuggled HTTP/1.1\r\n${HEAD}\r\n`],
  ['a space before the colon', `POST /a/x HTTP/1.1\r\n${HEAD}Content-Length : 40\r\n\r\nGET /a/smuggled HTTP/1.1\r\n${HEAD}\r\n`],
  ['two hosts', `GET /a/x HTTP/1.1\r\n${HEAD}Host: other.example\r\n\r\n`],
  ['two attempts', `GET /a/x HTTP/1.1\r\n${HEAD}X-Attempt: raw2\r\n\r\n`],
  ['a line feed in a header', `GET /a/x HTTP/1.1\r\n${HEAD}X-Other: a\nX-Account: forged\r\n\r\n`]
]) {
  test(`nothing is smuggled by ${name}`, async t => {
    const endpoint = await helper.startEndpoint('e1', helper.sound)
    const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
    const got = await raw(entry.address, text)
    t.regex(got, /^HTTP\/1\.1 400 /)
    t.is(endpoint.seen.length, 0)
    entry.close()
    endpoint.close()
  })
}

test('an instance that leaves serves on and closes its connections, then refuses as not run', async t => {
  const endpoint = await helper.startEndpoint('e1', helper.sound)
  const entry = await helper.startEntry([helper.toRoute()], [endpoint])
  entry.stop(true)
  const served = await entry.ask({ headers: { connection: 'keep-alive' } })
  t.is(served.status, 200)
  t.is(served.headers.connection, 'close')
  entry.stop(false)
  const refused = await entry.ask({ headers: { connection: 'keep-alive' } })
  t.is(refused.status, 503)
  t.is(refused.headers.connection, 'close')
  entry.close()
  endpoint.close()
})
