/** Connections that are refused, to callers that go on sending. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as links from '../src/index.js'

const test = ava.default
/** More than a connection is kept after its answer, with a check of heads that arrive late. */
const CLOSE_WITHIN_MS = 4500
const SEND_INTERVAL_MS = 200

/** Sends a beginning, then a byte each interval. @returns whether the server closes the connection within a time */
async function isClosed (t: ava.ExecutionContext, beginning: string): Promise<boolean> {
  const server = http.createServer({ headersTimeout: 500, requestTimeout: 1000, connectionsCheckingInterval: 200 }, (req, res) => { res.end() })
  links.handleClientErrors(server, { lastResponse: () => undefined, onRefused () {} })
  const closed = new Promise<true>(resolve => { server.on('connection', socket => { socket.once('close', () => { resolve(true) }) }) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const client = net.connect({ port: (server.address() as net.AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
  client.on('error', () => {})
  client.resume()
  client.write(beginning)
  const sending = setInterval(() => { client.write('a') }, SEND_INTERVAL_MS)
  t.teardown(() => {
    clearInterval(sending)
    client.destroy()
    server.close()
  })
  return await Promise.race([closed, timers.setTimeout(CLOSE_WITHIN_MS, false)])
}

// Guards against connections that callers keep for as long as they like, by sending on after the answer.
test('a refused connection is closed although its caller goes on sending', async t => {
  const beginnings = ['CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n', 'GET / HTTP/1.1\r\na: ', 'no request\r\n\r\n']
  t.deepEqual(await Promise.all(beginnings.map(async beginning => await isClosed(t, beginning))), [true, true, true])
})
