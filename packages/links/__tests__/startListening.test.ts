/** Listening on addresses that are not available, and errors of servers that listen. */
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as links from '../src/index.js'

const test = ava.default
/** Longer than any bound that such waits ever had. */
const LONG_WAIT_MS = 16_000

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

// Guards against processes that end one after the other because an address stays taken: a restart meets it again.
test('waits without bound, and says so', async t => {
  const taken = await takeAddress(t)
  const server = net.createServer()
  t.teardown(() => { server.close() })
  const events: string[] = []
  const waiting = links.startListening(server, taken.address, { log: { event (name) { events.push(name) } } })
  t.is(await Promise.race([waiting.then(() => 'listens', () => 'failed'), timers.setTimeout(LONG_WAIT_MS, 'waits')]), 'waits')
  t.deepEqual(events, ['listenRetried', 'listenRetried'])
  taken.release()
  await waiting
  t.is(events.at(-1), 'listenStarted')
})

test('an address that is not permitted yet is waited for', async t => {
  const server = net.createServer()
  t.teardown(() => { server.close() })
  const { listen } = server
  let attempts = 0
  server.listen = ((...args: Parameters<typeof listen>) => {
    if (++attempts === 3) return listen.apply(server, args)
    process.nextTick(() => { server.emit('error', Object.assign(new Error('listen EACCES'), { code: 'EACCES' })) })
    return server
  }) as typeof listen
  await links.startListening(server, '127.0.0.1:0')
  t.is(attempts, 3)
})

test('a wait for an address can be ended', async t => {
  const taken = await takeAddress(t)
  const stopped = new AbortController()
  const server = net.createServer()
  const waiting = links.startListening(server, taken.address, { signal: stopped.signal })
  stopped.abort()
  await t.throwsAsync(waiting, { name: 'AbortError' })
  t.false(server.listening)
})

test('an address that stays taken, is not of this machine, or is invalid is an error that names it', async t => {
  const taken = await takeAddress(t)
  for (const address of [taken.address, '192.0.2.1:80', '127.0.0.1:70000']) {
    const err = await t.throwsAsync(links.startListening(net.createServer(), address, { timeoutMs: 100 }))
    t.true(err.message.includes(address), err.message)
  }
})

// Guards against processes that end one after the other because their settings name an address that can never be listened on.
test('an invalid address is waited for without a timeout, and named', async t => {
  const events: string[] = []
  const log: links.ListeningOptions['log'] = { event (name, fields) { events.push(`${name} ${String(fields?.address)}`) } }
  const stopped = new AbortController()
  const servers = [net.createServer(), net.createServer()]
  const waiting = links.startListening(servers[0], '[fe80::1]:8083', { log, signal: stopped.signal })
  t.is(await Promise.race([waiting.then(() => 'listens', () => 'failed'), timers.setTimeout(300, 'waits')]), 'waits')
  t.false(await links.listenWhenAvailable(servers[1], '127.0.0.1:70000', { log, signal: stopped.signal }, () => {}))
  t.deepEqual(events, ['listenRetried [fe80::1]:8083', 'listenRetried 127.0.0.1:70000'])
  stopped.abort()
  await t.throwsAsync(waiting, { name: 'AbortError' })
  t.false(servers.some(server => server.listening))
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
