/** A TCP relay that delays what a server sends, as a slow link with a growing queue does. */
import * as net from 'node:net'

/** A relay under test. */
export interface SlowRelay {
  address: string
  /** Sets the delay of the bytes that the server sends from now on, milliseconds. */
  setDelayMs: (ms: number) => void
  close: () => void
}

/** Starts a relay to a server on loopback. */
export async function startRelay (target: () => string): Promise<SlowRelay> {
  const sockets = new Set<net.Socket>()
  let delayMs = 0
  const relay = net.createServer(client => {
    const [host, port] = target().split(':')
    const server = net.connect({ host, port: Number(port) })
    let lastDueAt = 0
    for (const [socket, other] of [[client, server], [server, client]]) {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => { other.destroy() })
    }
    client.on('data', chunk => { server.write(chunk) })
    server.on('data', chunk => {
      // Bytes stay in order when the delay becomes shorter.
      lastDueAt = Math.max(lastDueAt, performance.now() + delayMs)
      setTimeout(() => { client.write(chunk) }, lastDueAt - performance.now())
    })
  })
  await new Promise<void>(resolve => { relay.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${(relay.address() as net.AddressInfo).port}`,
    setDelayMs (ms) { delayMs = ms },
    close () {
      relay.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
