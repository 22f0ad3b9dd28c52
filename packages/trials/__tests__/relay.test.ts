/** The relay between two processes, as a network: what it may do to a connection. */
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as trials from '../src/index.js'

const test = ava.default
const SETTLE_MS = 150

// Guards against a response that lacks bytes in its middle but ends complete, which no network delivers.
test('a connection whose bytes were dropped delivers no later ones', async t => {
  const servers: net.Socket[] = []
  const server = net.createServer(socket => { servers.push(socket) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const relay = await trials.startRelay('127.0.0.1', (server.address() as net.AddressInfo).port)
  t.teardown(() => {
    relay.close()
    server.close()
  })
  const received = ['', '']
  const clients = received.map((_, i) => {
    const client = net.connect(Number(relay.address.split(':')[1]), '127.0.0.1')
    client.on('data', data => { received[i] += String(data) })
    return client
  })
  for (const client of clients) client.write('hello')
  await timers.setTimeout(SETTLE_MS)
  const sendAll = async (text: string, sockets: readonly net.Socket[]): Promise<void> => {
    for (const socket of sockets) socket.write(text)
    await timers.setTimeout(SETTLE_MS)
  }
  await sendAll('first ', servers)
  relay.setMode('silent')
  await sendAll('second ', servers.slice(0, 1))
  relay.setMode('open')
  await sendAll('third', servers)
  t.deepEqual(received.sort(), ['first ', 'first third'])
})
