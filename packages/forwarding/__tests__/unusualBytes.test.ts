/** Bytes of clients that are no request: what was sent before them gets its answer. */
import * as ava from 'ava'
import * as helper from './helpers/testEntry.js'
import * as rawClients from './helpers/rawClient.js'

const test = ava.default
const REQUEST = 'POST /a/x HTTP/1.1\r\nHost: test.example\r\nX-Attempt: r1\r\nContent-Length: 2\r\n\r\nok'
const slow: helper.Behaviour = (req, res) => { setTimeout(() => { helper.healthy(req, res, 1) }, 1500) }

for (const [name, later] of [
  ['are no request', '\u0000\u0001\r\n\r\n'],
  ['are half a request', 'GET /a/y HTT'],
  ['ask for a tunnel', 'CONNECT test.example:80 HTTP/1.1\r\nHost: test.example\r\n\r\n']
] as const) {
  // Guards against a running request that gets no answer because of what its client sends after it.
  test(`a request is answered although the bytes after it ${name}`, async t => {
    const endpoint = await helper.startEndpoint('e1', slow)
    const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint], { limits: { headerTimeoutMs: 100 } })
    const { text } = await rawClients.sendRaw(entry.address, REQUEST + later, { timeoutMs: 4000 })
    t.regex(text, /^HTTP\/1\.1 200 [^]*\r\n\r\nok/)
    t.is(endpoint.requests.length, 1)
    entry.close()
    endpoint.close()
  })
}

for (const [name, bytes, status] of [
  ['a body whose chunks are malformed', 'POST /a/x HTTP/1.1\r\nHost: test.example\r\nX-Attempt: r1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n', 400],
  ['a request for a tunnel', 'CONNECT test.example:80 HTTP/1.1\r\nHost: test.example\r\nX-Attempt: r1\r\n\r\n', 501]
] as const) {
  // Guards against connections that close without an answer to a request that was not passed on.
  test(`${name} is answered with ${status}`, async t => {
    const endpoint = await helper.startEndpoint('e1', helper.healthy)
    const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
    const { text } = await rawClients.sendRaw(entry.address, bytes)
    t.regex(text, new RegExp(`^HTTP/1\\.1 ${status} [^]*\r\n\r\n`))
    t.is(endpoint.requests.length, 0)
    entry.close()
    endpoint.close()
  })
}
