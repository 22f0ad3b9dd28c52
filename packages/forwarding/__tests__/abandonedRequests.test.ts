/** What reaches an endpoint of a request that is not wanted any more. */
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as loopbackHosts from './helpers/loopbackHost.js'
import * as helper from './helpers/testEntry.js'

const test = ava.default
const BODY_BYTES = 1024 * 1024

// The kernel went on sending a request whose client had left, and it ran seconds later, at an endpoint that was leaving meanwhile.
test('a request whose client left does not arrive later from the buffers of the connection', async t => {
  let receivedBytes = 0
  const sockets: net.Socket[] = []
  const server = net.createServer({ pauseOnConnect: true }, socket => {
    sockets.push(socket)
    socket.on('data', chunk => { receivedBytes += chunk.length })
    socket.on('error', () => {})
  })
  const host = loopbackHosts.nextHost()
  await new Promise<void>(resolve => { server.listen(0, host, resolve) })
  const address = `${host}:${(server.address() as net.AddressInfo).port}`
  const entry = await helper.startEntry([helper.toRoute({ timeoutMs: 20_000, targetMs: 10_000, maxAttempts: 1 })], [], { limits: { maxBodyBytes: 2 * BODY_BYTES } })
  t.teardown(() => {
    entry.close()
    server.close()
    for (const socket of sockets) socket.destroy()
  })
  entry.announce({ id: 'e1', address } as helper.TestEndpoint)
  await t.throwsAsync(entry.send({ method: 'POST', body: 'x'.repeat(BODY_BYTES), headers: { 'x-deadline-ms': '20000' }, disconnectAfterMs: 300 }))
  await timers.setTimeout(300)
  t.is(sockets.length, 1)
  for (const socket of sockets) socket.resume()
  await timers.setTimeout(500)
  t.true(receivedBytes < BODY_BYTES, `${receivedBytes} bytes arrived`)
})
