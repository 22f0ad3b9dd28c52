/**
 * Starts listening; waits while the address is not available yet, as at a restart that overlaps the process before, or on a machine
 * whose network is not up. A process without a timeout waits for an invalid address too: its next start would find the same settings.
 */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as telemetry from '@kingcupdeck/telemetry'

const FIRST_PAUSE_MS = 25
const MAX_PAUSE_MS = 500
/** A wait is logged when it begins and then once in this time. */
const WAIT_LOG_INTERVAL_MS = 10_000
/** Codes of errors that end by themselves; all others end a wait with a timeout at once. */
const PASSING_ERRORS: ReadonlySet<unknown> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL', 'EACCES', 'EPERM', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM', 'ENETDOWN'])
/** Errors of accepting connections, such as a lack of file descriptors, are logged once in this time. */
const ERROR_LOG_INTERVAL_MS = 10_000

/** How long a command waits for its address, milliseconds: an operator who starts it by hand sees that it cannot start. */
export const COMMAND_TIMEOUT_MS = 15_000

/** Options of {@link startListening} and {@link listenWhenAvailable}. */
export interface ListeningOptions {
  /** Length of the queue of connections that are not accepted yet; the default of Node.js otherwise. */
  backlog?: number
  /** How long to wait for the address, milliseconds; without bound by default. */
  timeoutMs?: number
  /** Ends the wait. */
  signal?: AbortSignal
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
 * @throws Error that names the address, when it is invalid or not available within the timeout, or the wait was ended
 */
export async function startListening (server: net.Server, address: string, opts: ListeningOptions = {}): Promise<void> {
  const failure = await tryListening(server, address, opts.backlog)
  if (failure !== undefined) await waitForAddress(server, address, failure, opts)
  handleErrors(server, address, opts.log)
}

/**
 * Like {@link startListening}, but waits in the background for an address that is not available, until the signal ends the wait.
 * @param onListening called once the server listens after such a wait
 * @returns whether the server listens already
 */
export async function listenWhenAvailable (server: net.Server, address: string, opts: Omit<ListeningOptions, 'timeoutMs'>, onListening: () => void): Promise<boolean> {
  const failure = await tryListening(server, address, opts.backlog)
  if (failure === undefined) {
    handleErrors(server, address, opts.log)
    return true
  }
  waitForAddress(server, address, failure, opts).then(() => {
    handleErrors(server, address, opts.log)
    onListening()
  }).catch(err => {
    if (opts.signal?.aborted !== true) opts.log?.event('uncaught', { step: 'listen', detail: String(err) })
  })
  return false
}

/** Resolves once the server listens. @param failure why it does not yet */
async function waitForAddress (server: net.Server, address: string, failure: NodeJS.ErrnoException, opts: ListeningOptions): Promise<void> {
  const startedAt = performance.now()
  const toUnlogged = telemetry.createLineLimit(WAIT_LOG_INTERVAL_MS)
  for (let pauseMs = FIRST_PAUSE_MS; ; pauseMs = Math.min(2 * pauseMs, MAX_PAUSE_MS)) {
    const ms = Math.round(performance.now() - startedAt)
    if (opts.timeoutMs !== undefined && (!PASSING_ERRORS.has(failure.code) || ms >= opts.timeoutMs)) throw toError(address, ms, failure)
    if (toUnlogged() !== undefined) opts.log?.event('listenRetried', { address, ms, detail: failure.message })
    await timers.setTimeout(pauseMs, undefined, { signal: opts.signal })
    const next = await tryListening(server, address, opts.backlog)
    if (next !== undefined) {
      failure = next
      continue
    }
    if (opts.signal?.aborted === true) {
      server.close()
      opts.signal.throwIfAborted()
    }
    opts.log?.event('listenStarted', { address, ms: Math.round(performance.now() - startedAt) })
    return
  }
}

function toError (address: string, ms: number, failure: Error): Error {
  return new Error(`cannot listen on ${address} after ${ms} ms: ${failure.message}`, { cause: failure })
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
  const toUnlogged = telemetry.createLineLimit(ERROR_LOG_INTERVAL_MS)
  server.on('error', err => {
    const unlogged = toUnlogged()
    if (unlogged !== undefined) log?.event('acceptFailed', { address, detail: err.message, unlogged })
  })
}
