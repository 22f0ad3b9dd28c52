/** Responses of plain services that break off, or are none. */
import * as net from 'node:net'
import * as ava from 'ava'
import * as links from '@kingcupdeck/links'
import * as plainCalls from '../src/plainCall.js'
import type * as sessions from '../src/session.js'

const test = ava.default

/** Has an endpoint respond to a call, and returns how the call ended. */
async function call (t: ava.ExecutionContext, respond: (socket: net.Socket) => void): Promise<plainCalls.CallEnd> {
  const server = net.createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => { respond(socket) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const client = links.createEndpointClient(`http://127.0.0.1:${(server.address() as net.AddressInfo).port}`)
  t.teardown(() => {
    client.close()
    server.close()
  })
  const session = { msg: { attempt: 'a1', request: 'r1', body: Buffer.from('x'), work: { kind: 'plain', call: 'c', method: 'POST' } }, abort: new AbortController() } as unknown as sessions.Session
  return await plainCalls.runPlainCall(await client.acquire(), session, 3000)
}

// Guards against a response that was broken off and reaches the caller as complete.
test('a response without a length is cut if its connection is reset', async t => {
  const end = await call(t, socket => { socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbeginning', () => { setTimeout(() => { socket.resetAndDestroy() }, 100) }) })
  t.is(end.kind, 'cut')
})

test('a response without a length is complete if its connection is closed', async t => {
  const end = await call(t, socket => { socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole') })
  t.is(end.kind === 'answer' ? Buffer.from(end.body).toString() : end.kind, 'whole')
})

// Guards against callers that get what is no response of the protocol.
for (const status of [600, 999]) {
  test(`a response with the status ${status} is none`, async t => {
    t.is((await call(t, socket => { socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\n\r\nok`) })).kind, 'cut')
  })
}
