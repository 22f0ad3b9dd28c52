/** Heads of requests and responses with odd values, drawn: each request gets a complete response or is lawfully broken off, and the next one is served. */
import * as http from 'node:http'
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as net from 'node:net'
import * as helper from './helpers/testEntry.js'
import * as rawClients from './helpers/rawClient.js'

const test = ava.default
const RUNS = 150
const NUMBERS = ['1e308', '-1', 'NaN', '0', '', '99999999999999999999', '2147483648', '0x10', '1,2', 'Infinity', '1e-9'] as const
const TEXTS = ['', '\u0080\u00ff', 'a\u0000b', 'a\u0001b', 'a\tb', '"', 'y'.repeat(300), 'y'.repeat(9000), 'a\r\n folded', 'a\nb', 'a\rb', '\u007f'] as const

const draw = (...values: string[]): fc.Arbitrary<string> => fc.constantFrom(...values)
const header = (name: string, ...values: string[]): fc.Arbitrary<string> => draw(...values).map(value => `${name}: ${value}\r\n`)
const heads = (...items: Array<fc.Arbitrary<string>>): fc.Arbitrary<string> => fc.array(fc.oneof(...items), { maxLength: 3 }).map(list => list.join(''))

const clientHeaders = heads(
  header('X-Deadline-Ms', ...NUMBERS),
  header('X-Parts', ...TEXTS, ...NUMBERS, ',,,::,:', 'zz:1,aa:1e308', Array.from({ length: 2000 }, (_, i) => `${i}:1`).join(','), ','.repeat(9000)),
  header('Last-Event-Id', ...TEXTS, ...NUMBERS),
  header('X-Key', ...TEXTS), header('X-Model', ...TEXTS), header('X-Attempt', ...TEXTS), header('X-Fetch-From', ...TEXTS), header('X-Expect', ...TEXTS),
  header('Content-Length', '0', '-1', '1e3', '0x1', '+0', '0, 0', '99999999999999999999'),
  header('Transfer-Encoding', 'gzip', 'chunked, gzip', 'x'),
  header('Expect', '100-continue', 'x'), header('Connection', 'upgrade', 'host, x-attempt', ...TEXTS), header('Upgrade', 'h2c', 'websocket'),
  header('Host', ...TEXTS), header('Trailer', 'x'), header('TE', 'trailers'), header('X Y', 'a'), header('', 'a'), header('X-\u0080', 'a'),
  fc.constant('X-Many: a\r\n'.repeat(600)), fc.constant('no colon\r\n')
)
const request = fc.record({
  method: fc.oneof({ weight: 3, arbitrary: draw('GET', 'POST') }, draw('HEAD', 'TRACE', 'QUERY', 'CONNECT', 'M-SEARCH', 'OPTIONS', 'PUT', 'get', 'G@T', '')),
  path: fc.oneof({ weight: 2, arbitrary: draw('/a/x') }, draw('/a/\u0080\u00ff', '/a/\t', '/a/\f', '/a/\u0001', '/a/%00%zz', '//', '*', '/a/#f', 'http://test.example/a/x', '/a/"<>|\\^`{}', '/a/\u007f', '/a/é', `/a/${'p'.repeat(9000)}`, '/a/x?a=\u00e9&b', '')),
  host: fc.oneof({ weight: 4, arbitrary: draw('Host: test.example\r\n') }, draw('', 'Host: \r\n', 'Host: test.example:99999\r\n', 'Host: __proto__\r\n', 'Host: [::1\r\n')),
  headers: clientHeaders
})

/** Returns the status of a complete response, or what is wrong with what was received. */
function toStatus (text: string, isHead = false): string {
  const rest = text.replace(/^HTTP\/1\.1 1\d\d [^]*?\r\n\r\n/, '')
  const at = rest.indexOf('\r\n\r\n')
  const head = rest.slice(0, at + 2)
  const body = rest.slice(at + 4)
  const status = /^HTTP\/1\.1 (\d{3}) /.exec(head)?.[1]
  if (at < 0 || status === undefined) return `no response: ${JSON.stringify(text.slice(0, 200))}`
  const length = /\r\ncontent-length: (\d+)\r\n/i.exec(head)?.[1]
  if (isHead || status === '204' || status === '304') return body === '' ? status : 'a body that must not be'
  if (length !== undefined) return body.length === Number(length) ? status : `${body.length} of ${length} bytes`
  return body.endsWith('0\r\n\r\n') ? status : `${status} broken off`
}

// Guards against requests without an answer because of odd values in their heads.
test('a request with an odd head gets a complete response, and the next one is served', async t => {
  const endpoint = await helper.startEndpoint('e1', helper.healthy)
  const entry = await helper.startEntry([helper.toRoute({ hasPrompt: true })], [endpoint])
  await fc.assert(fc.asyncProperty(request, async ({ method, path, host, headers }) => {
    const head = `${method} ${path} HTTP/1.1\r\n${host}X-Attempt: odd\r\n${headers}Connection: close\r\n\r\n`
    const { text } = await rawClients.sendRaw(entry.address, Buffer.from(head, 'latin1'), { timeoutMs: 4000 })
    const status = toStatus(text, method === 'HEAD')
    if (!/^\d{3}$/.test(status)) throw new Error(status)
    const next = await entry.send()
    if (next.status !== 200) throw new Error(`the next request got ${next.status}`)
  }), { seed: 67, numRuns: RUNS })
  t.deepEqual(entry.lines.filter(line => line.event === 'uncaught'), [])
  entry.close()
  endpoint.close()
})

const response = fc.record({
  status: fc.oneof({ weight: 3, arbitrary: draw('200 OK') }, draw('200', '099 X', '101 X', '100 X', '102 X', '999 X', '204 X', '304 X', '429 X', '503 X', '200 \u0080\u00ff', '000 X', '1000 X', '20 X', '600 X', '421 X', '500 X', '404 X')),
  headers: heads(
    header('X-Brittle', ...NUMBERS), header('Keep-Alive', 'timeout=1e308', 'timeout=-1', 'timeout=99999999999', 'timeout=0', 'max=0', ...TEXTS),
    header('Content-Length', '2', '-1', '1e3', '2, 2', '3', '99999999999999999999'), header('Transfer-Encoding', 'chunked', 'gzip', 'chunked, chunked'),
    header('Content-Type', 'text/event-stream', 'text/event-stream; x', ...TEXTS), header('Connection', 'close', 'upgrade', 'x-seal', 'x-attempt, x-seal', ...TEXTS),
    header('Retry-After', ...NUMBERS), header('X-Not-Run', '1', ''), header('X-Load', 'a,b,c', ...NUMBERS), header('X-Seal', ...TEXTS), header('X-Attempt', 'other', ...TEXTS),
    header('X-Other', ...TEXTS, 'y'.repeat(20_000)), header('Trailer', 'x'), header('Upgrade', 'h2c'), header('Content-Encoding', 'gzip'), header('Date', 'x'), header('X Y', 'a'), header('', 'a'),
    header('X-\u0080', 'a'), header('X-Weight', ...NUMBERS), fc.constant('Set-Cookie: a\r\n'.repeat(700)), fc.constant('no colon\r\n')
  ),
  before: draw('', '', '', 'HTTP/1.1 100 X\r\n\r\n', 'HTTP/1.1 103 X\r\nX: y\r\n\r\n'.repeat(20), '\u0000'),
  end: draw('Content-Length: 2\r\n\r\nok', 'Content-Length: 2\r\n\r\nok', '\r\nok', 'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n', 'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n', 'Content-Length: 9\r\n\r\nok', '', 'Content-Length: 2\r\n\r\nok and more')
})

// Guards against requests without an answer, and against successes that are none, because of odd heads of responses.
test('a response with an odd head is passed on whole, answered for or broken off, and the next request is served', async t => {
  let toSend = ''
  const odd = net.createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', chunk => {
      const id = /\r\nx-attempt: ([^\r]*)/i.exec(String(chunk))?.[1]
      if (id !== undefined) socket.end(Buffer.from(toSend.replace('ATTEMPT', id), 'latin1'))
    })
  })
  await new Promise<void>(resolve => { odd.listen(0, '127.0.0.1', resolve) })
  const endpoint = await helper.startEndpoint('e1', helper.healthy)
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' }), helper.toRoute({ name: 'sound', pathPrefix: '/sound/', split: [{ service: 'sound', weight: 1 }] })], [])
  entry.announce(endpoint, { service: 'sound' })
  const seen = new Map<string, number>()
  await fc.assert(fc.asyncProperty(response, async ({ status, headers, before, end }) => {
    // Another process at its address answers 421, and the endpoint is used again after its next announcement.
    entry.announce({ ...endpoint, id: 'odd', address: `127.0.0.1:${(odd.address() as net.AddressInfo).port}` })
    toSend = `${before}HTTP/1.1 ${status}\r\nX-Attempt: ATTEMPT\r\nX-Seal: s\r\n${headers}${end}`
    const { text } = await rawClients.sendRaw(entry.address, `GET /a/${seen.size} HTTP/1.1\r\nHost: test.example\r\nX-Attempt: r1\r\nX-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n`, { timeoutMs: 4000 })
    const result = toStatus(text)
    seen.set(result, (seen.get(result) ?? 0) + 1)
    if (!/^\d{3}( broken off)?$/.test(result)) throw new Error(result)
    if (result === '200' && !/\r\nx-seal: /i.test(text)) throw new Error('a success without a seal')
    const next = await entry.send({ path: '/sound/x' })
    if (next.status !== 200) throw new Error(`the next request got ${next.status}`)
  }), { seed: 67, numRuns: RUNS })
  t.deepEqual(entry.lines.filter(line => line.event === 'uncaught'), [])
  t.log([...seen].map(([result, count]) => `${result}: ${count}`).join(', '))
  entry.close()
  odd.close()
  endpoint.close()
})

// Guards against answers that are lost because their heads are longer than the HTTP library allows by default.
test('a response with a long head is passed on', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    res.setHeader('x-long', 'y'.repeat(30_000))
    helper.healthy(req, res, 1)
  })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
  const [host, port] = entry.address.split(':')
  const res = await new Promise<http.IncomingMessage>((resolve, reject) => {
    http.get({ host, port, agent: false, path: '/a/x', maxHeaderSize: 65_536, headers: { host: 'test.example', 'x-attempt': 'r1' } }, resolve).on('error', reject)
  })
  res.resume()
  t.is(res.statusCode, 200)
  t.is(res.headers['x-long']?.length, 30_000)
  entry.close()
  endpoint.close()
})
