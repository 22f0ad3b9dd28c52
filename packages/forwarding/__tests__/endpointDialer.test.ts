/** Connections to endpoints: which verdicts a late or missing one leads to. */
import * as net from 'node:net'
import * as ava from 'ava'
import * as endpointDialers from '../src/paths/endpointDialer.js'

const test = ava.default
const STALL_MS = 500

function stall (ms: number): void {
  for (const until = performance.now() + ms; performance.now() < until;);
}

// Guards against taking an endpoint for unreachable because this process stalled.
test('a connection that was established during a stall is used', async t => {
  const server = net.createServer().listen(0, '127.0.0.1')
  await new Promise(resolve => { server.once('listening', resolve) })
  const { port } = server.address() as net.AddressInfo
  const dialling = endpointDialers.dial(endpointDialers.connectDirectly, `127.0.0.1:${port}`)
  stall(STALL_MS)
  const socket = await dialling
  t.false(socket.connecting)
  socket.destroy()
  server.close()
})

test('a connection that is not established in time fails as silent', async t => {
  // A socket that never connects.
  const silent = (): net.Socket => Object.assign(new net.Socket(), { connecting: true })
  const err = await t.throwsAsync(endpointDialers.dial(silent, '127.0.0.1:1'), { instanceOf: endpointDialers.DialError })
  t.true((err as endpointDialers.DialError).isSilent)
})
