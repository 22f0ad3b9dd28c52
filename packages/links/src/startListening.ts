/**
 * Starts listening; waits while the address is not available yet, as at a restart that overlaps the process before, or on a machine
 * whose network is not up.
 */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as telemetry from '@kingcupdeck/telemetry'

/** How long a process waits for an address; longer than a shutdown of the process before it. */
const TIMEOUT_MS = 15_000
const FIRST_PAUSE_MS = 25
const MAX_PAUSE_MS = 500
/** Codes of errors that end when the process before has ended or the network is up. */
const PASSING_ERRORS: ReadonlySet<unknown> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL'])
/** Errors of accepting connections, such as a lack of file descriptors, are logged once in this time. */
const ERROR_LOG_INTERVAL_MS = 10_000

/** Options of {@link startListening}. */
export interface ListeningOptions {
  /** Length of the queue of connections that are not accepted yet; the default of Node.js otherwise. */
  backlog?: number
  /** Default: {@link TIMEOUT_MS}. */
  timeoutMs?: number
  /** Receives repeated attempts, and errors of the server while it listens; nothing is logged by default. */
  log?: telemetry.Log
}

/** Splits an address `ip:port` or `[ip]:port`. */
export function parseAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

/**
 * Starts listening, and handles the errors of the server from then on: a connection that cannot be accepted must not end the process.
 * @param address IP address and port; port 0 selects a free one
 * @throws Error that names the address, when it is invalid, not permitted, or not available within the timeout
 */
export async function startListening (server: net.Server, address: string, opts: ListeningOptions = {}): Promise<void> {
  const startedAt = performance.now()
  const timeoutMs = opts.timeoutMs ?? TIMEOUT_MS
  let pauseMs = FIRST_PAUSE_MS
  while (true) {
    const failure = await tryListening(server, address, opts.backlog)
    if (failure === undefined) break
    const ms = Math.round(performance.now() - startedAt)
    if (!PASSING_ERRORS.has(failure.code) || ms >= timeoutMs) throw new Error(`cannot listen on ${address} after ${ms} ms: ${failure.message}`, { cause: failure })
    if (pauseMs === FIRST_PAUSE_MS) opts.log?.event('listenRetried', { address, detail: failure.message })
    await timers.setTimeout(pauseMs)
    pauseMs = Math.min(2 * pauseMs, MAX_PAUSE_MS)
  }
  handleErrors(server, address, opts.log)
}

/** Resolves to why the server does not listen, undefined if it does. */
async function tryListening (server: net.Server, address: string, backlog: number | undefined): Promise<NodeJS.ErrnoException | undefined> {
  return await new Promise(resolve => {
    const onListening = (): void => {
      server.off('error', onError)
      resolve(undefined)
    }
    const onError = (err: NodeJS.ErrnoException): void => {
      server.off('listening', onListening)
      resolve(err)
    }
    server.once('error', onError)
    server.once('listening', onListening)
    try {
      server.listen({ ...parseAddress(address), backlog })
    } catch (err) {
      // A port out of range.
      server.off('error', onError)
      onError(err as Error)
    }
  })
}

function handleErrors (server: net.Server, address: string, log: telemetry.Log | undefined): void {
  let loggedAt = -Infinity
  let unlogged = 0
  server.on('error', err => {
    const now = performance.now()
    if (now - loggedAt < ERROR_LOG_INTERVAL_MS) {
      unlogged++
      return
    }
    log?.event('acceptFailed', { address, detail: err.message, unlogged })
    loggedAt = now
    unlogged = 0
  })
}
