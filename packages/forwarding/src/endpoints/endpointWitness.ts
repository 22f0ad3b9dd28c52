/**
 * Connections that show whether the process of an endpoint lives on: the kernel closes them when it ends. Users that wait for the same
 * endpoint at the same time share one.
 */
import type * as net from 'node:net'
import type * as endpointPools from './endpointPool.js'

/** A connection without requests. */
export interface Witness {
  /** Resolves when the connection is closed. */
  readonly closed: Promise<void>
  /** Closes the connection, unless it has other users. */
  release (): void
}

interface Shared { opened: Promise<net.Socket>, closed: Promise<void>, users: number }

const sharedByEndpoint = new WeakMap<endpointPools.Endpoint, Map<string | undefined, Shared>>()

/**
 * Connects to an endpoint.
 * @param helper inner address of the entry instance to connect through, undefined for any path
 * @throws DialError when that fails
 */
export async function openWitness (endpoint: endpointPools.Endpoint, helper: string | undefined): Promise<Witness> {
  const byHelper = sharedByEndpoint.get(endpoint) ?? new Map<string | undefined, Shared>()
  sharedByEndpoint.set(endpoint, byHelper)
  const shared = byHelper.get(helper) ?? connect(endpoint, helper, byHelper)
  shared.users++
  const { opened, closed } = shared
  const socket = await opened
  let isReleased = false
  return {
    closed,
    release () {
      if (isReleased) return
      isReleased = true
      shared.users--
      if (shared.users > 0) return
      forget(byHelper, helper, shared)
      socket.destroy()
    }
  }
}

function connect (endpoint: endpointPools.Endpoint, helper: string | undefined, byHelper: Map<string | undefined, Shared>): Shared {
  const opened = endpoint.dial(helper)
  const closed = opened.then(awaitClose, () => {})
  const shared = { opened, closed, users: 0 }
  byHelper.set(helper, shared)
  void closed.then(() => { forget(byHelper, helper, shared) })
  return shared
}

async function awaitClose (socket: net.Socket): Promise<void> {
  await new Promise<void>(resolve => {
    const settle = (): void => { resolve() }
    // The end is known a turn of the event loop before the socket is closed.
    for (const event of ['end', 'error', 'close']) socket.on(event, settle)
    // The end is only seen by reading. What arrives belongs to no request, and may come without end.
    socket.on('data', () => { socket.destroy() })
  })
}

function forget (byHelper: Map<string | undefined, Shared>, helper: string | undefined, shared: Shared): void {
  if (byHelper.get(helper) === shared) byHelper.delete(helper)
}
