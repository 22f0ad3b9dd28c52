/** Links: framing, handshake, calls, and detection of unresponsive connections. */
import * as net from 'node:net'
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as telemetry from '@kingcupdeck/telemetry'
import * as links from '../src/index.js'

const test = ava.default
const log = telemetry.createLog({ instance: 'test', level: 'silent' })
const handlers: links.LinkHandlers = { onEvent: () => {}, onCall: async body => ({ echo: body }) }

const settings = (id: string, secret = 'a-secret-for-links'): links.LinkSettings => ({ identity: { role: 'router', id }, secret, log, handlers })

async function listen (t: ava.ExecutionContext, cfg = settings('server')): Promise<links.LinkServer> {
  const server = await links.listen('127.0.0.1:0', cfg, () => {})
  t.teardown(server.close)
  return server
}

test('frames are decoded from arbitrary chunks of the stream', t => {
  fc.assert(fc.property(fc.array(fc.record({ t: fc.string(), n: fc.integer(), data: fc.uint8Array({ maxLength: 50 }) }), { minLength: 1, maxLength: 8 }), fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }), (bodies, chunkSizes) => {
    const bytes = Buffer.concat(bodies.map((body, i) => links.encodeFrame([links.FrameKind.event, i, body])))
    const reader = links.createFrameReader(() => 1e6)
    const received: unknown[] = []
    for (let offset = 0, i = 0; offset < bytes.length; i++) {
      const next = offset + chunkSizes[i % chunkSizes.length]
      received.push(...reader.push(bytes.subarray(offset, next)).map(item => item.frame[2]))
      offset = next
    }
    t.deepEqual(JSON.parse(JSON.stringify(received)), JSON.parse(JSON.stringify(bodies.map(body => ({ ...body, data: Buffer.from(body.data) })))))
  }), { seed: 20261203 })
})

test('oversized and malformed frames throw a FrameError', t => {
  const reader = links.createFrameReader(() => 100)
  t.throws(() => reader.push(links.encodeFrame([0, 0, 'x'.repeat(200)])), { instanceOf: links.FrameError })
  t.throws(() => links.createFrameReader(() => 100).push(Buffer.from([0, 0, 0, 2, 0x82, 0x01])), { instanceOf: links.FrameError })
})

test('concurrent calls receive their own replies, and handler errors reject the call', async t => {
  const server = await listen(t, { ...settings('server'), handlers: { onEvent: () => {}, onCall: async body => { if (body === 'bad') throw new Error('no'); return body } } })
  const link = await links.dial(`127.0.0.1:${server.port}`, settings('client'))
  const replies = await Promise.all(Array.from({ length: 50 }, async (_, i) => await link.call(i, 2000)))
  t.deepEqual(replies, Array.from({ length: 50 }, (_, i) => i))
  const err = await t.throwsAsync(link.call('bad', 2000), { instanceOf: links.CallError })
  t.is((err as links.CallError).kind, 'failed')
  link.close()
  await t.throwsAsync(link.call(1, 2000), { instanceOf: links.CallError })
})

// Guards against links to processes of another fleet.
test('a wrong secret on either side fails the handshake', async t => {
  const server = await listen(t)
  await t.throwsAsync(links.dial(`127.0.0.1:${server.port}`, settings('client', 'another-secret-16')))
  const impostor = net.createServer(socket => { socket.write(links.encodeFrame([0, 0, { protocol: 1, who: { role: 'router', id: 'server' }, nonce: 'n'.repeat(32), proof: 'p' }])) })
  await new Promise<void>(resolve => { impostor.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { impostor.close() })
  await t.throwsAsync(links.dial(`127.0.0.1:${(impostor.address() as net.AddressInfo).port}`, settings('client')), { message: /could not prove/ })
})

// A middlebox may drop the state of a connection without a reset; a call must then fail before its own timeout.
test('an unresponsive link is destroyed while a call is pending', async t => {
  const server = await listen(t)
  let isDropping = false
  const proxy = net.createServer(client => {
    const upstream = net.connect(server.port, '127.0.0.1')
    client.on('data', data => { if (!isDropping) upstream.write(data) })
    upstream.on('data', data => { if (!isDropping) client.write(data) })
    client.on('error', () => {})
    upstream.on('error', () => {})
  })
  await new Promise<void>(resolve => { proxy.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { proxy.close() })
  const link = await links.dial(`127.0.0.1:${(proxy.address() as net.AddressInfo).port}`, settings('client'))
  t.deepEqual(await link.call('first', 2000), { echo: 'first' })
  isDropping = true
  const err = await t.throwsAsync(link.call('second', 60_000), { instanceOf: links.CallError })
  t.is((err as links.CallError).kind, 'closed')
  t.is(await link.closed, 'silent')
})

// A busy listener that answers after the dial timed out would otherwise accumulate links that nobody uses or closes.
test('a dial that times out closes its connection', async t => {
  const sockets = new Set<net.Socket>()
  const busy = net.createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    const upstream = net.connect(server.port, '127.0.0.1')
    upstream.on('error', () => {})
    socket.on('close', () => upstream.destroy())
    socket.on('data', data => { setTimeout(() => upstream.write(data), 300) })
    upstream.on('data', data => { socket.write(data) })
  })
  const server = await listen(t)
  await new Promise<void>(resolve => { busy.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { busy.close() })
  const address = `127.0.0.1:${(busy.address() as net.AddressInfo).port}`
  await t.throwsAsync(links.dial(address, settings('client'), 100), { message: /no link within 100 ms/ })
  await new Promise(resolve => { setTimeout(resolve, 900) })
  t.is(sockets.size, 0)
  const link = await links.dial(address, settings('client'), 5000)
  t.deepEqual(await link.call('x', 5000), { echo: 'x' })
  link.close()
})
