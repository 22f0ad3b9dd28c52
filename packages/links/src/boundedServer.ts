/** HTTP servers whose clients can make a process hold and do no more than its limits allow, whatever they send and do not read. */
import * as http from 'node:http'
import * as clientErrors from './clientErrors.js'
import type * as clientLimits from './clientLimits.js'
import type * as heldBytes from './heldBytes.js'
import * as inputGates from './inputGate.js'

/** What was refused without being handled. */
export interface Refused {
  cause: clientLimits.RefusalCause
  /** One of few texts. */
  why: string
  /** Status of the response, undefined if the connection was closed without one. */
  status?: number
  /** Whether requests before are still being answered. */
  isBusy?: boolean
}

/** Options of {@link createBoundedServer}. */
export interface BoundedServerOptions {
  server: http.ServerOptions
  limits: clientLimits.ClientLimits
  /** Descriptors that a request takes on top of its connection; 1 if it is forwarded. Default: 0. */
  requestCost?: number
  /** Called for each refusal, for the log, which must be bounded. */
  onRefused: (refused: Refused) => void
}

/** A server with limits. */
export interface BoundedServer {
  server: http.Server
  /** Returns whether bytes of a connection were read that no request was made of. */
  hasQueued: inputGates.InputGates['hasQueued']
}

/** Shorter responses leave at once, or wait in the buffers of their connections. */
const MIN_HELD_RESPONSE_BYTES = 16 * 1024

/** Creates a server, which does not listen yet. */
export function createBoundedServer ({ server: serverOptions, limits, requestCost, onRefused }: BoundedServerOptions, handle: http.RequestListener): BoundedServer {
  const server = http.createServer(serverOptions)
  const refuse = (refused: Refused): void => {
    limits.noteRefused(refused.cause)
    onRefused(refused)
  }
  limits.connections.watch(server, { requestCost, onRefused () { refuse({ cause: 'connections', why: 'too many connections are open' }) } })
  const gates = inputGates.gateInput(server, {
    held: limits.held,
    scheduler: limits.scheduler,
    onExcess () { refuse({ cause: 'memory', why: 'the connection holds most of the memory for requests' }) }
  })
  clientErrors.handleClientErrors(server, {
    lastResponse: gates.lastResponse,
    onRefused (status, why, isBusy) { refuse({ cause: status === 408 ? 'slow' : 'malformed', why, status, isBusy }) }
  })
  // After those that count its connection.
  server.on('request', handle)
  return { server, hasQueued: gates.hasQueued }
}

/**
 * Keeps a response that is written at once in the account of held bytes until the client has it.
 * @param holder its account, opened for this response
 * @param onExcess ends the response if it holds most
 */
export function holdResponse (res: http.ServerResponse, holder: heldBytes.Holder, bytes: number, onExcess: () => void): void {
  if (res.closed || bytes < MIN_HELD_RESPONSE_BYTES) {
    holder.release()
    return
  }
  res.once('close', holder.release)
  holder.onExcess = onExcess
  holder.set(bytes)
}
