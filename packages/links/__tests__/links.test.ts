/** Links: frames, the mutual proof, calls, and connections that go silent. */
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

test('frames survive any cut of the stream', t => {
  fc.assert(fc.property(fc.array(fc.record({ t: fc.string(), n: fc.integer(), data: fc.uint8Array({ maxLength: 50 }) }), { minLength: 1, maxLength: 8 }), fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }), (bodies, cuts) => {
    const bytes = Buffer.concat(bodies.map((body, i) => links.encodeFrame([links.FrameKind.event, i, body])))
    const reader = links.createFrameReader(() => 1e6)
    const seen: unknown[] = []
    for (let at = 0, i = 0; at < bytes.length; i++) {
      const next = at + cuts[i % cuts.length]
      seen.push(...reader.push(bytes.subarray(at, next)).map(item => item.frame[2]))
      at = next
    }
    t.deepEqual(JSON.parse(JSON.stringify(seen)), JSON.parse(JSON.stringify(bodies.map(body => ({ ...body, data: Buffer.from(body.data) })))))
  }), { seed: 20261203 })
})

test('frames that are too large or no frames are refused', t => {
  const reader = links.createFrameReader(() => 100)
  t.throws(() => reader.push(links.encodeFrame([0, 0, 'x'.repeat(200)])), { instanceOf: links.FrameError })
  t.throws(() => links.createFrameReader(() => 100).push(Buffer.from([0, 0, 0, 2, 0x82, 0x01])), { instanceOf: links.FrameError })
})

test('calls get their own replies, failures reach the caller', async t => {
  const server = await listen(t, { ...settings('server'), handlers: { onEvent: () => {}, onCall: async body => { if (body === 'bad') throw new Error('no'); return body } } })
  const link = await links.dial(`127.0.0.1:${server.port}`, settings('client'))
  const replies = await Promise.all(Array.from({ length: 50 }, async (_, i) => await link.call(i, 2000)))
  t.deepEqual(replies, Array.from({ length: 50 }, (_, i) => i))
  const err = await t.throwsAsync(link.call('bad', 2000), { instanceOf: links.CallError })
  t.is((err as links.CallError).kind, 'failed')
  link.close()
  await t.throwsAsync(link.call(1, 2000), { instanceOf: links.CallError })
})

// A stranger, or an instance of another fleet, connects. Neither side may take the other for one of its own.
test('without the secret there is no link, from either side', async t => {
  const server = await listen(t)
  await t.throwsAsync(links.dial(`127.0.0.1:${server.port}`, settings('client', 'another-secret-16')))
  const impostor = net.createServer(socket => { socket.write(links.encodeFrame([0, 0, { protocol: 1, who: { role: 'router', id: 'server' }, nonce: 'n'.repeat(32), proof: 'p' }])) })
  await new Promise<void>(resolve => { impostor.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { impostor.close() })
  await t.throwsAsync(links.dial(`127.0.0.1:${(impostor.address() as net.AddressInfo).port}`, settings('client')), { message: /could not prove/ })
})

// Something between two instances forgets their connection: no reset comes, nothing comes through. A call on it must not
// wait for its own timeout.
test('a silent link is destroyed while a call waits', async t => {
  const server = await listen(t)
  let isSilent = false
  const middle = net.createServer(left => {
    const right = net.connect(server.port, '127.0.0.1')
    left.on('data', data => { if (!isSilent) right.write(data) })
    right.on('data', data => { if (!isSilent) left.write(data) })
    left.on('error', () => {})
    right.on('error', () => {})
  })
  await new Promise<void>(resolve => { middle.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { middle.close() })
  const link = await links.dial(`127.0.0.1:${(middle.address() as net.AddressInfo).port}`, settings('client'))
  t.deepEqual(await link.call('first', 2000), { echo: 'first' })
  isSilent = true
  const err = await t.throwsAsync(link.call('second', 60_000), { instanceOf: links.CallError })
  t.is((err as links.CallError).kind, 'closed')
  t.is(await link.closed, 'silent')
})
