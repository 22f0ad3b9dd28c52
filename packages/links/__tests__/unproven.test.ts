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
