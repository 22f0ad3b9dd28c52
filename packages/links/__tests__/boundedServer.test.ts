/** The input of clients is parsed in slices, and one request of a connection after the other. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as links from '../src/index.js'

const test = ava.default

interface Received { target: string, body: string }

interface TestServer { port: number, received: Received[], refused: links.Refused[], limits: links.ClientLimits, /** Most requests of a connection at a time. */ mostOpen: () => number, sockets: net.Socket[] }

/** Starts a server that responds with the length of each body, on `/large` with a large response, and on `/slow` after a while. */
async function startServer (t: ava.ExecutionContext, maxHeld = Infinity): Promise<TestServer> {
  const received: Received[] = []
  const refused: links.Refused[] = []
  const sockets: net.Socket[] = []
  let open = 0
  let mostOpen = 0
  const limits = { ...links.createClientLimits(), held: links.createHeldBytes(() => maxHeld) }
  const { server } = links.createBoundedServer({ server: {}, limits, onRefused (item) { refused.push(item) } }, (req, res) => {
    mostOpen = Math.max(mostOpen, ++open)
    res.once('close', () => { open-- })
    const serve = async (): Promise<void> => {
      if (req.url === '/slow') await timers.setTimeout(50)
      const holder = limits.held.open()
      const read = await links.readRequestBody(req, { maxBytes: 2 ** 20, holder })
      holder.release()
      if (read.kind !== 'complete') {
        res.writeHead(413, { connection: 'close' }).end()
        return
      }
      received.push({ target: req.url ?? '', body: read.body.toString('latin1') })
      res.end(req.url === '/large' ? Buffer.alloc(2 ** 20) : `${read.body.length};`)
    }
    void serve()
  })
  server.on('connection', socket => { sockets.push(socket) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  return { port: (server.address() as net.AddressInfo).port, received, refused, limits, mostOpen: () => mostOpen, sockets }
}

/** Sends parts one after the other, and resolves to what was received until the server closes the connection. */
async function sendParts (port: number, parts: readonly string[]): Promise<string> {
  return await new Promise(resolve => {
    let text = ''
    const socket = net.connect(port, '127.0.0.1', () => {
      const send = (i: number): void => {
        if (i === parts.length || socket.destroyed) return
        socket.write(parts[i], 'latin1', () => { setImmediate(send, i + 1) })
      }
      send(0)
    })
    socket.setNoDelay(true)
    socket.on('data', data => { text += data.toString('latin1') })
    socket.on('error', () => {})
    socket.on('close', () => { resolve(text) })
  })
}

const bodyText = fc.stringMatching(/^[ab\r\n]{0,40}$/)
const request = fc.oneof(
  fc.constant({ head: 'GET', body: '', text: '\r\n' }),
  bodyText.map(body => ({ head: 'POST', body, text: `Content-Length: ${body.length}\r\n\r\n${body}` })),
  fc.tuple(fc.array(bodyText.filter(item => item !== ''), { maxLength: 5 }), fc.constantFrom('', 'a: b\r\n')).map(([chunks, trailer]) => ({ head: 'POST', body: chunks.join(''), text: `Transfer-Encoding: chunked\r\n\r\n${chunks.map(item => `${item.length.toString(16)}\r\n${item}\r\n`).join('')}0\r\n${trailer}\r\n` }))
)

test('requests are the same however their bytes are divided', async t => {
  const { port, received, mostOpen } = await startServer(t)
  await fc.assert(fc.asyncProperty(fc.array(request, { minLength: 1, maxLength: 6 }), fc.array(fc.nat(600), { maxLength: 12 }), async (requests, cuts) => {
    received.length = 0
    const text = requests.map((item, i) => `${item.head} /${i} HTTP/1.1\r\nHost: a\r\n${i === requests.length - 1 ? 'Connection: close\r\n' : ''}${item.text}`).join('')
    const at = [0, ...cuts.filter(cut => cut < text.length).sort((a, b) => a - b), text.length]
    const answer = await sendParts(port, at.slice(1).map((end, i) => text.slice(at[i], end)))
    t.deepEqual(received, requests.map((item, i) => ({ target: `/${i}`, body: item.body })))
    t.is(answer.split('HTTP/1.1 200').length - 1, requests.length)
  }), { seed: 76, numRuns: 150 })
  t.is(mostOpen(), 1)
})

test('a body in chunks of a byte is complete', async t => {
  const { port, received } = await startServer(t)
  const answer = await sendParts(port, [`POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(100_000)}0\r\n\r\n`])
  t.regex(answer, /200 OK[^]*100000;/)
  t.is(received[0].body, 'x'.repeat(100_000))
})

// Guards against requests that are made of all bytes that a client sends ahead.
test('requests that were sent ahead wait in the client', async t => {
  const { port, received, sockets } = await startServer(t)
  const client = net.connect(port, '127.0.0.1')
  client.pause()
  client.on('error', () => {})
  t.teardown(() => { client.destroy() })
  const block = 'GET /large HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(1000)
  const pour = (): void => { while (!client.destroyed && client.write(block)); }
  client.on('drain', pour)
  pour()
  await timers.setTimeout(1500)
  // What one response after the other fits into the buffers of the connection.
  t.true(received.length < 40, `${received.length} requests`)
  t.true(sockets[0].readableLength < 256 * 1024)
  t.true(sockets[0].bytesRead < 512 * 1024, `${sockets[0].bytesRead} bytes`)
})

test('the connection that holds most is closed, and others are served', async t => {
  const { port, refused } = await startServer(t, 60_000)
  const client = net.connect(port, '127.0.0.1')
  const closed = new Promise(resolve => { client.once('close', resolve) })
  client.on('error', () => {})
  client.resume()
  client.write(`POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n${'x'.repeat(20_000)}`)
  const heavy = net.connect(port, '127.0.0.1')
  const heavyClosed = new Promise(resolve => { heavy.once('close', resolve) })
  heavy.on('error', () => {})
  heavy.resume()
  heavy.write(`GET /slow HTTP/1.1\r\nHost: a\r\n\r\n${'GET /a HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(3000)}`)
  await heavyClosed
  t.true(refused.some(item => item.cause === 'memory'))
  t.regex(await sendParts(port, ['GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n']), /200 OK/)
  client.destroy()
  await closed
})

// Guards against a request that is broken off by the end of another connection, which had its parser before.
test('the end of a connection with a request for a tunnel concerns no other one', async t => {
  const { port } = await startServer(t)
  for (let i = 0; i < 20; i++) {
    const tunnel = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true })
    tunnel.on('error', () => {})
    tunnel.write('CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n')
    await new Promise(resolve => { tunnel.once('data', resolve) })
    const client = net.connect(port, '127.0.0.1')
    client.write('POST /a HTTP/1.1\r\nHost: a\r\nContent-Le')
    await timers.setTimeout(10)
    tunnel.end()
    await timers.setTimeout(10)
    client.write('ngth: 2\r\n\r\nab')
    const answer = await new Promise(resolve => {
      client.once('data', data => { resolve(String(data)) })
      client.once('close', () => { resolve('closed') })
    })
    t.regex(String(answer), /^HTTP\/1\.1 200 /)
    client.destroy()
    tunnel.destroy()
  }
})

// Guards against one connection that keeps the others waiting with input that costs much per byte.
test('a request is served between the chunks of others', async t => {
  const { port } = await startServer(t)
  const clients = Array.from({ length: 20 }, () => net.connect(port, '127.0.0.1'))
  for (const client of clients) {
    client.on('error', () => {})
    client.write(`POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(150_000)}`)
  }
  t.teardown(() => { for (const client of clients) client.destroy() })
  const agent = new http.Agent({ keepAlive: true })
  const status = await new Promise(resolve => { http.get({ port, host: '127.0.0.1', agent }, res => { resolve(res.statusCode) }) })
  t.is(status, 200)
  agent.destroy()
})
