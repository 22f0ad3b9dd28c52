/** Connections whose peer has not proven the fleet secret: what they may hold. */
import * as net from 'node:net'
import * as ava from 'ava'
import * as telemetry from '@kingcupdeck/telemetry'
import * as links from '../src/index.js'

const test = ava.default
const silent = telemetry.createLog({ instance: 'test', level: 'silent' })
const settings = (id: string, log = silent): links.LinkSettings => ({ identity: { role: 'router', id }, secret: 'a-secret-for-links', log, handlers: { onEvent: () => {}, onCall: async body => body } })
const sleep = async (ms: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

async function listen (t: ava.ExecutionContext, log = silent): Promise<number> {
  const server = await links.listen('127.0.0.1:0', settings('server', log), () => {})
  t.teardown(server.close)
  return server.port
}

/** Opens connections that send bytes, and counts those that are open. */
async function open (t: ava.ExecutionContext, port: number, count: number, bytes: Buffer): Promise<() => number> {
  const sockets = new Set<net.Socket>()
  for (let i = 0; i < count; i++) {
    await new Promise<void>(resolve => {
      const socket = net.connect(port, '127.0.0.1', () => { socket.write(bytes, () => { resolve() }) })
      sockets.add(socket)
      socket.resume()
      socket.on('error', () => {})
      socket.on('close', () => { sockets.delete(socket); resolve() })
      t.teardown(() => { socket.destroy() })
    })
  }
  return () => sockets.size
}

// A refused connection that keeps what it has read until its timeout takes 60 KB each: hundreds of megabytes from thousands of them.
test.serial('what a refused connection has sent is not held', async t => {
  const port = await listen(t)
  const openCount = await open(t, port, 500, Buffer.alloc(60 * 1024))
  for (let i = 0; i < 100 && openCount() > 0; i++) await sleep(10)
  t.is(openCount(), 0)
  // The collector is asked for by allocating; what is referenced stays whatever it does.
  let bytes = Infinity
  for (let i = 0; i < 20 && bytes > 15e6; i++) {
    for (let j = 0; j < 40; j++) Buffer.alloc(1e6)
    await sleep(20)
    bytes = process.memoryUsage().arrayBuffers
  }
  t.true(bytes <= 15e6, `${bytes} bytes`)
})

// Guards against handshakes that hold what was sent along with their first frame, or thousands of small pieces.
test('a handshake with more than its frame, or in very small pieces, is refused', async t => {
  const port = await listen(t)
  const hello = links.encodeFrame([links.FrameKind.event, 0, { protocol: links.PROTOCOL, who: { role: 'router', id: 'x' }, nonce: links.createNonce() }])
  const openCount = await open(t, port, 1, Buffer.concat([hello, Buffer.alloc(100)]))
  const socket = net.connect(port, '127.0.0.1')
  t.teardown(() => { socket.destroy() })
  const state = { isClosed: false }
  socket.setNoDelay(true)
  socket.on('error', () => {})
  socket.on('close', () => { state.isClosed = true })
  socket.write(Buffer.from([0, 0, 4]))
  for (let i = 0; i < 200 && !state.isClosed; i++) {
    socket.write(Buffer.alloc(1))
    await sleep(2)
  }
  t.true(state.isClosed)
  t.is(openCount(), 0)
})

// Guards against a flood of connections that takes descriptors and memory, and against peers that are closed in its favour.
test.serial('connections without a proof are few, and peers get in beside thousands of them, also those that take their time', async t => {
  const events: string[] = []
  const port = await listen(t, { event (name) { events.push(name) } })
  const relay = net.createServer(socket => {
    const upstream = net.connect(port, '127.0.0.1')
    upstream.on('error', () => {})
    socket.on('error', () => {})
    socket.pipe(upstream)
    upstream.on('data', data => { setTimeout(() => { socket.write(data) }, 1000) })
    upstream.on('close', () => { socket.destroy() })
    t.teardown(() => { upstream.destroy() })
  })
  await new Promise<void>(resolve => { relay.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { relay.close() })
  const { port: relayPort } = relay.address() as net.AddressInfo
  const slow = Promise.all(Array.from({ length: 60 }, async (_, i) => await links.dial(`127.0.0.1:${relayPort}`, settings(`slow-${i}`))))
  const openCount = await open(t, port, 1500, Buffer.from([0, 0, 1, 0]))
  // Connections that the listener has closed may not have been seen to close yet.
  for (let i = 0; i < 100 && openCount() > 512 + 20; i++) await sleep(10)
  t.true(openCount() <= 512 + 20, `${openCount()} are open`)
  const quick = await Promise.all(Array.from({ length: 300 }, async (_, i) => await links.dial(`127.0.0.1:${port}`, settings(`quick-${i}`))))
  const all = [...await slow, ...quick]
  t.deepEqual(new Set(await Promise.all(all.map(async link => await link.call('x', 5000)))), new Set(['x']))
  for (const link of all) link.close()
  t.deepEqual(events, ['linksCrowded'])
})
