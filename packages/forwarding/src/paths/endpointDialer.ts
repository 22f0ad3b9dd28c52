/** Opens connections to endpoints: directly, or through another entry instance if this one has lost its path to an endpoint. */
import * as net from 'node:net'
import * as links from '@kingcupdeck/links'

/** A connection could not be established. */
export class DialError extends Error {
  constructor (why: string, /** Whether nothing was received, as from a machine without power or behind a partition. */ readonly isSilent: boolean) {
    super(why)
    this.name = 'DialError'
  }
}

/** Opens a TCP connection, which may still be connecting. */
export type Connect = (address: string) => net.Socket

/**
 * Connect timeout in milliseconds, longer than a round trip between availability zones. An endpoint that exceeds it is considered
 * unreachable.
 */
export const CONNECT_TIMEOUT_MS = 350

/** Delay of the keep-alive probes, by which a connection that went silent is detected while a response is awaited. */
const KEEP_ALIVE_DELAY_MS = 1000

const helpers = new WeakMap<net.Socket, string>()

export const connectDirectly: Connect = address => net.connect(links.parseAddress(address))

/** Records that a connection passes through another instance. */
export function markTunnel (socket: net.Socket, helper: string): net.Socket {
  helpers.set(socket, helper)
  return prepare(socket)
}

/** Returns the inner address of the instance that a connection passes through, undefined for a direct one. */
export function findHelper (socket: net.Socket): string | undefined {
  return helpers.get(socket)
}

/**
 * Waits until a connection is established.
 * @throws DialError when it is refused or exceeds {@link CONNECT_TIMEOUT_MS}
 */
export async function dial (connect: Connect, address: string): Promise<net.Socket> {
  return await new Promise((resolve, reject) => {
    const socket = connect(address)
    const fail = (err: DialError): void => {
      reject(err)
      socket.destroy()
    }
    links.setConnectDeadline(socket, CONNECT_TIMEOUT_MS, () => { fail(new DialError(`no connection within ${CONNECT_TIMEOUT_MS} ms`, true)) })
    socket.on('error', err => { fail(new DialError(err.message, false)) })
    socket.once('connect', () => { resolve(prepare(socket)) })
  })
}

function prepare (socket: net.Socket): net.Socket {
  return socket.setNoDelay(true).setKeepAlive(true, KEEP_ALIVE_DELAY_MS)
}
