/** A relay between two processes, to cut or silence the link between them. */
import * as net from 'node:net'

/** How a relay treats traffic: `silent` swallows it without a word, as a device that forgot the connection does. */
export type RelayMode = 'open' | 'silent' | 'cut'

/** A relay in front of one address. */
export interface Relay {
  readonly address: string
  setMode (mode: RelayMode): void
  /** Makes the connections that are open now silent for good; new ones work. */
  blackholeOpenConnections (): void
  close (): void
}

/**
 * Starts a relay.
 * @param host IP number of the target
 * @param port its port
 * @returns the relay
 */
export async function startRelay (host: string, port: number): Promise<Relay> {
  let mode: RelayMode = 'open'
  const pairs = new Set<{ left: net.Socket, right: net.Socket, isForgotten: boolean }>()
  const server = net.createServer(left => {
    if (mode === 'cut') {
      left.destroy()
      return
    }
    const right = net.connect({ host, port })
    const pair = { left, right, isForgotten: false }
    pairs.add(pair)
    const pass = (from: net.Socket, to: net.Socket): void => {
      from.on('data', data => { if (mode === 'open' && !pair.isForgotten) to.write(data) })
      from.on('error', () => {})
      from.on('close', () => {
        if (pair.isForgotten || mode === 'silent') return
        to.destroy()
        pairs.delete(pair)
      })
    }
    pass(left, right)
    pass(right, left)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const closeAll = (): void => {
    for (const pair of pairs) {
      pair.left.destroy()
      pair.right.destroy()
    }
    pairs.clear()
  }
  return {
    address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    setMode (next) {
      mode = next
      if (next === 'cut') closeAll()
    },
    blackholeOpenConnections () { for (const pair of pairs) pair.isForgotten = true },
    close () {
      closeAll()
      server.close()
    }
  }
}
