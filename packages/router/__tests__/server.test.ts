/** What clients can make the HTTP server of a router instance hold. */
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as http from '../src/http.js'
import * as servers from '../src/server.js'

const test = ava.default
const LIMIT_BYTES = 300_000

/** Starts a server that reads bodies. @returns its port, the lengths of the bodies or the errors, and the most requests at a time */
async function startServer (t: ava.ExecutionContext): Promise<{ port: number, results: Array<number | string>, mostOpen: () => number }> {
  const results: Array<number | string> = []
  let open = 0
  let mostOpen = 0
  const log = telemetry.createLog({ instance: 'test', json: true, write () {} })
  const server = await servers.startServer('127.0.0.1:0', log, async (req, res, held) => {
    mostOpen = Math.max(mostOpen, ++open)
    res.once('close', () => { open-- })
    try {
      const body = await http.readBody({ req, res, held, requestId: 'r', url: new URL('http://instance/') }, LIMIT_BYTES)
      await timers.setTimeout(1)
      results.push(body.length)
      res.end('ok')
    } catch (err) {
      results.push(err instanceof Error ? err.message : String(err))
      res.writeHead(413, { connection: 'close' }).end()
    }
  })
  t.teardown(async () => { await server.close() })
  return { port: server.port, results, mostOpen: () => mostOpen }
}

async function send (port: number, text: string): Promise<string> {
  return await new Promise(resolve => {
    let answer = ''
    const socket = net.connect(port, '127.0.0.1', () => { socket.write(text) })
    socket.on('data', data => { answer += String(data) })
    socket.on('error', () => {})
    socket.on('close', () => { resolve(answer) })
  })
}

// Guards against a process that ends because clients send requests ahead.
test('requests that were sent ahead are handled one after the other', async t => {
  const { port, results, mostOpen } = await startServer(t)
  const answer = await send(port, `${'GET /a HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(199)}GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`)
  t.is(answer.split('HTTP/1.1 200').length - 1, 200)
  t.deepEqual([results.length, mostOpen()], [200, 1])
})

test('a body in chunks of a byte is read up to its limit', async t => {
  const { port, results } = await startServer(t)
  const head = 'POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n'
  t.regex(await send(port, `${head}${'1\r\nx\r\n'.repeat(200_000)}0\r\n\r\n`), /^HTTP\/1\.1 200 /)
  t.regex(await send(port, `${head}${'1\r\nx\r\n'.repeat(LIMIT_BYTES + 1)}0\r\n\r\n`), /^HTTP\/1\.1 413 /)
  t.is(results[0], 200_000)
  t.is(results.length, 2)
})

test('a body for which there is no room is rejected as overloaded', async t => {
  const held = links.createHeldBytes(() => 1000)
  const log = telemetry.createLog({ instance: 'test', json: true, write () {} })
  const kinds: string[] = []
  const server = await servers.startServer('127.0.0.1:0', log, async (req, res) => {
    await http.readBody({ req, res, held, requestId: 'r', url: new URL('http://instance/') }, LIMIT_BYTES).catch((err: { failure?: { kind: string } }) => { kinds.push(err.failure?.kind ?? String(err)) })
    res.writeHead(503, { connection: 'close' }).end()
  })
  t.teardown(async () => { await server.close() })
  t.regex(await send(server.port, `POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n${'x'.repeat(5000)}`), /^HTTP\/1\.1 503 /)
  t.deepEqual(kinds, ['overloaded'])
})
