/** Tunnels to a target that ends its connection. */
import * as net from 'node:net'
import * as ava from 'ava'
import * as tunnels from '../src/tunnel.js'

const test = ava.default
const TRIES = 20

async function listen (t: ava.ExecutionContext, onConnection: (socket: net.Socket) => void): Promise<number> {
  const server = net.createServer(onConnection)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.close() })
  return (server.address() as net.AddressInfo).port
}

/** Connects through a tunnel. @returns how the connection ended */
async function connectThrough (tunnelPort: number): Promise<'ended' | 'reset'> {
  return await new Promise(resolve => {
    const socket = net.connect(tunnelPort, '127.0.0.1')
    socket.on('error', () => { resolve('reset') })
    socket.write('request')
    socket.on('data', () => {})
    socket.on('end', () => { resolve(socket.remoteAddress === undefined ? 'reset' : 'ended') })
  })
}

for (const [how, expected] of [['resets', 'reset'], ['ends', 'ended']] as const) {
  // Guards against a response without a length that is cut off by a reset, and looks complete behind a tunnel.
  test(`a tunnel passes on how its target ends: ${how}`, async t => {
    const targetPort = await listen(t, socket => {
      socket.on('error', () => {})
      socket.once('data', () => {
        socket.write('half', () => {
          if (how === 'resets') socket.resetAndDestroy()
          else socket.end()
        })
      })
    })
    const tunnelPort = await listen(t, socket => {
      void tunnels.serveTunnel(socket, async () => await new Promise((resolve, reject) => {
        const target = net.connect(targetPort, '127.0.0.1')
        target.once('error', reject)
        target.once('connect', () => { resolve(target) })
      }))
    })
    for (let i = 0; i < TRIES; i++) t.is(await connectThrough(tunnelPort), expected)
  })
}
