/** Connections of several servers of a process. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as ava from 'ava'
import * as links from '../src/index.js'

const test = ava.default
const LIMIT = 32

interface Watched { port: number, refused: () => number, /** Answers the requests that wait. */ answer: () => void }

/** Starts a server whose requests wait until they are answered, unless their path is `/at-once`. */
async function startServer (t: ava.ExecutionContext, budget: links.ConnectionBudget, requestCost?: number): Promise<Watched> {
  const waiting: http.ServerResponse[] = []
  let refused = 0
  const server = http.createServer((req, res) => {
    if (req.url === '/at-once') res.end('x')
    else waiting.push(res)
  })
  budget.watch(server, { requestCost, onRefused () { refused++ } })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.close(); server.closeAllConnections() })
  return { port: (server.address() as net.AddressInfo).port, refused: () => refused, answer () { for (const res of waiting.splice(0)) res.end('x') } }
}

/** Opens a connection, sends a request for a path on it, and resolves once it is answered; without a path or for one that waits, once connected. */
async function open (t: ava.ExecutionContext, port: number, path?: string): Promise<{ isClosed: boolean }> {
  const state = { isClosed: false }
  const socket = net.connect(port, '127.0.0.1')
  t.teardown(() => { socket.destroy() })
  socket.on('error', () => {})
  await new Promise<void>(resolve => {
    socket.on('close', () => { state.isClosed = true; resolve() })
    socket.on('connect', () => {
      if (path !== undefined) socket.write(`GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`)
      if (path !== '/at-once') setTimeout(resolve, 5)
    })
    socket.on('data', () => { resolve() })
  })
  return state
}

async function openMany (t: ava.ExecutionContext, port: number, count: number, path?: string): Promise<() => number> {
  const list: Array<{ isClosed: boolean }> = []
  for (let i = 0; i < count; i++) list.push(await open(t, port, path))
  await new Promise(resolve => { setTimeout(resolve, 50) })
  return () => list.filter(item => !item.isClosed).length
}

// Guards against callers of one server that leave the process no descriptors for the others, its links and its files.
test('the servers of a process have a limit together, and each can always be reached', async t => {
  const budget = links.createConnectionBudget(() => LIMIT)
  const [first, second] = [await startServer(t, budget), await startServer(t, budget)]
  const openFirst = await openMany(t, first.port, LIMIT + 10)
  t.is(openFirst(), LIMIT)
  t.is(first.refused(), 10)
  t.false((await open(t, second.port, '/at-once')).isClosed)
})

// Guards against new callers that are turned away while others only keep connections open.
test('idle connections of the server that has the most make room', async t => {
  const budget = links.createConnectionBudget(() => LIMIT)
  const [first, second] = [await startServer(t, budget), await startServer(t, budget)]
  const idle = await openMany(t, first.port, LIMIT - 4, '/at-once')
  const busy = await openMany(t, second.port, 4, '/waits')
  const added = await openMany(t, second.port, 10, '/at-once')
  t.deepEqual([idle(), busy(), added()], [LIMIT - 14, 4, 10])
  t.is(first.refused() + second.refused(), 0)
})

// Guards against callers that are turned away for as long as others keep back the ends of their requests.
test('connections without a request make room after a while', async t => {
  const budget = links.createConnectionBudget(() => LIMIT)
  const server = await startServer(t, budget)
  const unused = await openMany(t, server.port, LIMIT)
  await new Promise(resolve => { setTimeout(resolve, 1100) })
  const added = await openMany(t, server.port, 10, '/waits')
  t.deepEqual([unused(), added()], [LIMIT - 10, 10])
})

// Guards against a lack of descriptors for the connections on which requests are forwarded.
test('requests that are forwarded count in addition to their connections', async t => {
  const budget = links.createConnectionBudget(() => LIMIT)
  const server = await startServer(t, budget, 1)
  const busy = await openMany(t, server.port, LIMIT, '/waits')
  t.is(busy(), LIMIT / 2)
  server.answer()
  const added = await openMany(t, server.port, 4, '/waits')
  t.is(added(), 4)
})

// Guards against a process that goes on taking descriptors which the settings no longer allow.
test('the limit of connections may change', async t => {
  let limit = LIMIT
  const budget = links.createConnectionBudget(() => limit)
  const server = await startServer(t, budget)
  t.is((await openMany(t, server.port, LIMIT, '/waits'))(), LIMIT)
  limit += 4
  t.is((await openMany(t, server.port, 4, '/waits'))(), 4)
  limit = LIMIT / 2
  t.is((await openMany(t, server.port, 4, '/waits'))(), 0)
  t.is(server.refused(), 4)
})
