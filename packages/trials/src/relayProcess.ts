/** A relay in a process of its own, which can be stopped by a signal: the system still accepts connections for it, and nothing answers. */
import * as childProcess from 'node:child_process'
import * as events from 'node:events'
import * as url from 'node:url'
import type * as relays from './relay.js'

/** What the process is told. */
export type RelayOrder = { kind: 'mode', mode: relays.RelayMode } | { kind: 'blackhole' }

/** A relay that can be stopped. */
export interface RelayProcess extends relays.Relay {
  /** Stops the process until {@link RelayProcess.continue}. */
  stop (): void
  continue (): void
}

const PROGRAM = url.fileURLToPath(new URL('./relayProgram.js', import.meta.url))

/**
 * Starts a relay process.
 * @param host IP address of the target
 * @param port port of the target
 */
export async function startRelayProcess (host: string, port: number): Promise<RelayProcess> {
  const child = childProcess.fork(PROGRAM, [host, String(port)], { execArgv: [] })
  const [address] = await events.EventEmitter.once(child, 'message') as [string]
  const order = (order: RelayOrder): void => { if (child.connected) child.send(order, () => {}) }
  return {
    address,
    setMode (mode) { order({ kind: 'mode', mode }) },
    blackholeOpenConnections () { order({ kind: 'blackhole' }) },
    stop () { child.kill('SIGSTOP') },
    continue () { child.kill('SIGCONT') },
    close () { child.kill('SIGKILL') }
  }
}
