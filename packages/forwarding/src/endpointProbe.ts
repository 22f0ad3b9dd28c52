/** Asks whether an endpoint is down by opening a connection to it, which costs the endpoint next to nothing. */
import * as net from 'node:net'
import * as links from '@kingcupdeck/links'
import * as attempts from './attempt.js'
import type * as endpointPools from './endpointPool.js'

const running = new WeakMap<endpointPools.Endpoint, Promise<string | undefined>>()

/**
 * Tells whether an endpoint refuses connections. Questions that come while one is open share its answer: a crash breaks many
 * answers at once.
 * @param endpoint the endpoint
 * @returns why it is held to be down, or undefined if it takes connections
 */
export async function probeEndpoint (endpoint: endpointPools.Endpoint): Promise<string | undefined> {
  const known = running.get(endpoint)
  if (known !== undefined) return await known
  const asked = connect(endpoint.record.address).finally(() => { running.delete(endpoint) })
  running.set(endpoint, asked)
  return await asked
}

async function connect (address: string): Promise<string | undefined> {
  return await new Promise(resolve => {
    const socket = net.connect(links.parseAddress(address))
    const settle = (why: string | undefined): void => {
      clearTimeout(timer)
      resolve(why)
      socket.destroy()
    }
    const timer = setTimeout(() => { settle(`no connection within ${attempts.CONNECT_TIMEOUT_MS} ms`) }, attempts.CONNECT_TIMEOUT_MS)
    socket.on('connect', () => { settle(undefined) })
    socket.on('error', err => { settle(err.message) })
  })
}
