/** Listening on addresses that are not available, and errors of servers that listen. */
import * as net from 'node:net'
import * as ava from 'ava'
import * as links from '../src/index.js'

const test = ava.default

async function takeAddress (t: ava.ExecutionContext): Promise<{ address: string, release: () => void }> {
  const server = net.createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.close() })
  return { address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, release: () => { server.close() } }
}

// Guards against a start that fails because the process before it has not ended yet.
test('waits for an address that another process still has', async t => {
  const taken = await takeAddress(t)
  const server = net.createServer()
  t.teardown(() => { server.close() })
  setTimeout(taken.release, 200)
  await links.startListening(server, taken.address)
  t.is((server.address() as net.AddressInfo).port, links.parseAddress(taken.address).port)
})

test('an address that stays taken, is not of this machine, or is invalid is an error that names it', async t => {
  const taken = await takeAddress(t)
  for (const address of [taken.address, '192.0.2.1:80', '127.0.0.1:70000']) {
    const err = await t.throwsAsync(links.startListening(net.createServer(), address, { timeoutMs: 100 }))
    t.true(err.message.includes(address), err.message)
  }
})

// Guards against an end of the process for lack of file descriptors.
test('errors of a server that listens are not thrown, and are logged in bounds', async t => {
  const events: string[] = []
  const server = net.createServer()
  await links.startListening(server, '127.0.0.1:0', { log: { event (name) { events.push(name) } } })
  t.teardown(() => { server.close() })
  for (let i = 0; i < 100; i++) server.emit('error', new Error('accept EMFILE'))
  t.deepEqual(events, ['acceptFailed'])
})
