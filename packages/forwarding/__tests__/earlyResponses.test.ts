/** Responses that come before their request was sent, and responses with a status that the protocol does not have. */
import * as net from 'node:net'
import * as ava from 'ava'
import * as loopbackHosts from './helpers/loopbackHost.js'
import * as helper from './helpers/testEntry.js'

const test = ava.default
/** More than the buffers of a connection hold. */
const BODY = 'x'.repeat(24 * 1024 * 1024)

/** Starts an endpoint that reads the head of a request, and no more, and an entry instance with a route to it alone. */
async function startEarly (t: ava.ExecutionContext, respond: (socket: net.Socket, head: string) => void): Promise<helper.TestEntry> {
  const sockets: net.Socket[] = []
  const server = net.createServer({ allowHalfOpen: true }, socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.once('data', data => {
      socket.pause()
      respond(socket, `X-Attempt: ${/\r\nx-attempt: ([^\r]*)/i.exec(String(data))?.[1]}\r\nX-Seal: s\r\n`)
    })
  })
  const host = loopbackHosts.nextHost()
  await new Promise<void>(resolve => { server.listen(0, host, resolve) })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once', maxAttempts: 1, timeoutMs: 8000 })], [], { limits: { maxBodyBytes: BODY.length } })
  t.teardown(() => {
    entry.close()
    server.close()
    for (const socket of sockets) socket.destroy()
  })
  entry.announce({ id: 'e1', address: `${host}:${(server.address() as net.AddressInfo).port}` } as helper.TestEndpoint)
  return entry
}

const headers = { 'x-deadline-ms': '8000' }

// Guards against a response that was broken off and reaches the client as complete.
test('a response that only its connection ends is not complete if its request was not sent completely', async t => {
  const entry = await startEarly(t, (socket, head) => { socket.end(`HTTP/1.1 200 OK\r\n${head}\r\nbeginning`) })
  t.is((await entry.send({ method: 'POST', body: BODY, headers })).status, 502)
})

// Guards against the same where the buffers of the connection took the whole request: the reset comes after the end.
test('a response that only its connection ends is not complete if a reset follows its end', async t => {
  const entry = await startEarly(t, (socket, head) => { socket.end(`HTTP/1.1 200 OK\r\n${head}\r\nbeginning`, () => { setTimeout(() => { socket.destroy() }, 20) }) })
  t.is((await entry.send({ method: 'POST', body: BODY.slice(0, 500_000), headers })).status, 502)
})

test('a response with a length is complete although its request was not sent completely', async t => {
  const entry = await startEarly(t, (socket, head) => { socket.write(`HTTP/1.1 200 OK\r\n${head}Content-Length: 5\r\n\r\nwhole`) })
  const response = await entry.send({ method: 'POST', body: BODY, headers })
  t.deepEqual([response.status, response.body, response.isComplete], [200, 'whole', true])
})

test('a response that only its connection ends is complete if its request was sent', async t => {
  const entry = await startEarly(t, (socket, head) => { socket.end(`HTTP/1.1 200 OK\r\n${head}\r\nwhole`) })
  const response = await entry.send({ method: 'POST', body: 'x', headers })
  t.deepEqual([response.status, response.body, response.isComplete], [200, 'whole', true])
})

for (const status of ['600', '999', '000', '099']) {
  // Guards against clients that get what is no response of the protocol.
  test(`a response with the status ${status} is none`, async t => {
    const entry = await startEarly(t, (socket, head) => { socket.write(`HTTP/1.1 ${status} Odd\r\n${head}Content-Length: 2\r\n\r\nok`) })
    t.is((await entry.send({ method: 'POST', body: 'x', headers })).status, 502)
  })
}
