/** A TCP relay between two processes that can close connections or drop their traffic. */
import * as net from 'node:net'

/**
 * How a relay treats traffic: `cut` closes and refuses connections; `silent` keeps them open and drops all data. Nothing more passes on a
 * connection whose data was dropped: TCP delivers no later bytes without the earlier ones.
 */
export type RelayMode = 'open' | 'silent' | 'cut'

/** A relay in front of one target address. */
export interface Relay {
  readonly address: string
  setMode (mode: RelayMode): void
  /** Drops all further data on the connections that are open now; later connections work. */
  blackholeOpenConnections (): void
  close (): void
}

/**
 * Starts a relay on a free port of the target's host.
 * @param host IP address of the target
 * @param port port of the target
 */
export async function startRelay (host: string, port: number): Promise<Relay> {
  let mode: RelayMode = 'open'
  const pairs = new Set<{ left: net.Socket, right: net.Socket, isBlackholed: boolean }>()
  const server = net.createServer(left => {
    if (mode === 'cut') {
      left.destroy()
      return
    }
    const right = net.connect({ host, port })
    const pair = { left, right, isBlackholed: false }
    pairs.add(pair)
    const pass = (from: net.Socket, to: net.Socket): void => {
      from.on('data', data => {
        if (mode === 'silent') pair.isBlackholed = true
        if (!pair.isBlackholed) to.write(data)
      })
      from.on('error', () => {})
      from.on('close', () => {
        if (pair.isBlackholed || mode === 'silent') return
        to.destroy()
        pairs.delete(pair)
      })
    }
    pass(left, right)
    pass(right, left)
  })
  await new Promise<void>(resolve => { server.listen(0, host, resolve) })
  const closeAll = (): void => {
    for (const pair of pairs) {
      pair.left.destroy()
      pair.right.destroy()
    }
    pairs.clear()
  }
  return {
    address: `${host}:${(server.address() as net.AddressInfo).port}`,
    setMode (next) {
      mode = next
      if (next === 'cut') closeAll()
    },
    blackholeOpenConnections () { for (const pair of pairs) pair.isBlackholed = true },
    close () {
      closeAll()
      server.close()
    }
  }
}
