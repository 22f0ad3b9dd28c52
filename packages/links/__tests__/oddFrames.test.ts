/** Odd frames of other instances: each costs one message or one link. */
import * as net from 'node:net'
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as telemetry from '@kingcupdeck/telemetry'
import * as links from '../src/index.js'

const test = ava.default
const SECRET = 'a-secret-for-links'
const silent = telemetry.createLog({ instance: 'test', level: 'silent' })

const settings = (id: string, handlers: Partial<links.LinkHandlers> = {}, log: telemetry.Log = silent): links.LinkSettings => ({ identity: { role: 'router', id }, secret: SECRET, log, handlers: { onEvent: () => {}, onCall: async body => body, ...handlers } })

/** Completes the handshake over a plain socket; sends bytes together with its last frame. */
async function dialRaw (t: ava.ExecutionContext, port: number, bytes: Buffer): Promise<net.Socket> {
  const socket = net.connect(port, '127.0.0.1')
  t.teardown(() => { socket.destroy() })
  socket.on('error', () => {})
  const who: links.Identity = { role: 'router', id: 'raw' }
  const nonce = links.createNonce()
  socket.write(links.encodeFrame([links.FrameKind.event, 0, { protocol: links.PROTOCOL, who, nonce }]))
  const reader = links.createFrameReader(() => 1024)
  const hello = await new Promise<unknown>(resolve => { socket.on('data', chunk => { for (const item of reader.push(chunk)) resolve(item.frame[2]) }) })
  const proof = links.createProof(SECRET, 'dials', links.serverHello.parse(hello).nonce, nonce, who)
  socket.write(Buffer.concat([links.encodeFrame([links.FrameKind.event, 0, { proof }]), bytes]))
  return socket
}

// An instance that was busy reads the end of a handshake and the first call at once.
test('a long message that arrives together with the end of the handshake is received', async t => {
  let receive: (body: unknown) => void = () => {}
  const received = new Promise<unknown>(resolve => { receive = resolve })
  const server = await links.listen('127.0.0.1:0', settings('server', { onEvent: receive, onClose () { receive('closed') } }), () => {})
  t.teardown(server.close)
  const text = 'x'.repeat(200_000)
  const socket = await dialRaw(t, server.port, links.encodeFrame([links.FrameKind.event, 0, text]))
  socket.on('close', () => { receive('refused') })
  t.true(await received === text)
})

// Guards against links that close without a line in the log.
test('an event that cannot be handled costs neither the link nor other events, and is logged in bounds', async t => {
  const events: string[] = []
  const bodies: unknown[] = []
  const onEvent = (body: unknown): void => {
    if (body === 'odd') throw new Error('cannot be handled')
    bodies.push(body)
  }
  const server = await links.listen('127.0.0.1:0', settings('server', { onEvent }, { event (name) { events.push(name) } }), () => {})
  t.teardown(server.close)
  const link = await links.dial(`127.0.0.1:${server.port}`, settings('client'))
  for (const body of ['odd', 'odd', 'good']) link.send(body)
  t.is(await link.call('still open', 2000), 'still open')
  t.deepEqual(bodies, ['good'])
  t.deepEqual(events, ['messageFailed'])
  link.close()
})

test('odd frames, before the handshake or after it, cost one link at most', async t => {
  const server = await links.listen('127.0.0.1:0', settings('server', { onEvent (body) { (body as { list: unknown[] }).list.map(item => (item as string).length) } }), () => {})
  t.teardown(server.close)
  const good = await links.dial(`127.0.0.1:${server.port}`, settings('good'))
  const frame = fc.oneof(
    fc.uint8Array({ maxLength: 60 }).map(bytes => Buffer.from(bytes)),
    fc.tuple(fc.oneof(fc.integer(), fc.double()), fc.oneof(fc.integer(), fc.double()), fc.anything()).map(item => links.encodeFrame(item as unknown as links.Frame)),
    // Arrays within each other, or of a length that does not follow.
    fc.tuple(fc.constantFrom(0x81, 0x9a, 0x9f, 0xa1, 0xba, 0xbf, 0xc1, 0xd9, 0x5a, 0x7a, 0xfb), fc.integer({ min: 1, max: 200_000 })).map(([byte, count]) => {
      const body = Buffer.concat([Buffer.from([0x83, 0, 0]), Buffer.alloc(count, byte)])
      const length = Buffer.alloc(4)
      length.writeUInt32BE(body.length)
      return Buffer.concat([length, body])
    })
  )
  await fc.assert(fc.asyncProperty(fc.array(frame, { minLength: 1, maxLength: 5 }), fc.boolean(), async (list, isAuthenticated) => {
    const bytes = Buffer.concat(list)
    const socket = isAuthenticated ? await dialRaw(t, server.port, bytes) : net.connect(server.port, '127.0.0.1')
    socket.on('error', () => {})
    if (!isAuthenticated) socket.write(bytes)
    t.is(await good.call('alive', 5000), 'alive')
    socket.destroy()
  }), { seed: 20261205, numRuns: 150 })
  good.close()
})
