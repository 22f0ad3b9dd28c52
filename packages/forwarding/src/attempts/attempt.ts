/** One attempt to send a request to an endpoint. The result distinguishes requests that were not sent, not run, and possibly run. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as links from '@kingcupdeck/links'
import * as endpointAgents from '../endpoints/endpointAgent.js'
import type * as endpointPools from '../endpoints/endpointPool.js'
import * as endpointProbes from '../endpoints/endpointProbe.js'
import * as brittleLimiters from '../placement/brittleLimiter.js'
import type * as headerNames from './headerNames.js'
import * as readPacers from './readPacer.js'

/** Status of the response of a process that is not the endpoint that the request names; it did not run the request. */
export const MISDIRECTED_STATUS = 421
/** Highest status of the protocol. */
const MAX_STATUS = 599

/** A request to an endpoint. */
export interface OutgoingRequest {
  method: string
  /** Path with query, as received from the client. */
  url: string
  /** Alternating names and values. */
  headers: string[]
  body: Buffer
  attemptId: string
}

/** Result of an attempt. */
export type AttemptResult =
  /** A value of the endpoint or of the request cannot be sent; nothing was sent. */
  | { kind: 'unsendable', why: string }
  /** The connection failed; nothing was sent. */
  | { kind: 'unreachable', why: string, /** Whether nothing was received within the connect timeout. */ isSilent: boolean }
  /** The endpoint reported that it did not run the request. */
  | { kind: 'notRun', status: number, /** Rejections in a second that a brittle endpoint tolerates, undefined if it is not brittle. */ brittleLimit: number | undefined }
  /** No valid response was received; the endpoint may have run the request. */
  | { kind: 'lost', why: string }
  /** The attempt was aborted by its signal before a response; the endpoint may have run the request if it was sent. */
  | { kind: 'aborted', isSent: boolean, why: string }
  /** The response headers were received; the body follows. */
  | { kind: 'response', res: http.IncomingMessage, abort: () => void, /** Whether the connection failed, for example by a reset. */ isBroken: () => boolean, /** Whether only the end of the connection ends the body. */ isUnframed: boolean }

/** A response whose body was not read yet. */
export type OpenResponse = Extract<AttemptResult, { kind: 'response' }>

/** Options of {@link sendAttempt}. */
export interface AttemptOptions {
  endpoint: endpointPools.Endpoint
  request: OutgoingRequest
  names: headerNames.HeaderNames
  /** Aborts the attempt; it has no timeout of its own. */
  signal: AbortSignal
  /** Called with the connection that the request is sent over. */
  onConnection?: (socket: net.Socket) => void
  /** Called when the endpoint sent more than it may outside of a response. */
  onExcess?: (what: string) => void
}

/** Informational responses before the response to a request; an endpoint that sends more is faulty. */
const MAX_INFORMATIONAL_RESPONSES = 16
/** Size of the head of a response. */
const MAX_HEAD_BYTES = 64 * 1024
/** Size of a discarded body up to which its connection is kept. */
const MAX_DISCARDED_BYTES = 16 * 1024
/** Time for a discarded body to end. */
const DISCARD_TIMEOUT_MS = 1000

/** Sends a request to an endpoint. Resolves when the response headers are received or the attempt has failed. */
export async function sendAttempt (opts: AttemptOptions): Promise<AttemptResult> {
  const { endpoint, request } = opts
  const { host, port } = links.parseAddress(endpoint.record.address)
  return await new Promise<AttemptResult>(resolve => {
    let isConnected = false
    let isSettled = false
    let isBroken = false
    let res: http.IncomingMessage | undefined
    const settle = (result: AttemptResult): void => {
      if (isSettled) return
      isSettled = true
      opts.signal.removeEventListener('abort', onAbort)
      resolve(result)
    }
    const close = (): void => {
      // After an orderly close the kernel goes on sending the request, also seconds later; a reset drops it.
      if (res === undefined) req.socket?.resetAndDestroy()
      req.destroy()
    }
    const fail = (why: string, isSilent = false): void => {
      settle(isConnected ? { kind: 'lost', why } : { kind: 'unreachable', why, isSilent })
      close()
    }
    const onAbort = (): void => {
      settle({ kind: 'aborted', isSent: isConnected, why: String(opts.signal.reason) })
      close()
    }
    let informational = 0
    const onInformational = (): void => {
      informational++
      if (informational <= MAX_INFORMATIONAL_RESPONSES) return
      const why = `more than ${MAX_INFORMATIONAL_RESPONSES} informational responses`
      opts.onExcess?.(why)
      fail(why)
    }

    const req = http.request({
      host,
      port,
      agent: endpointAgents.toAgent(endpoint),
      method: request.method,
      path: request.url,
      headers: request.headers,
      maxHeaderSize: MAX_HEAD_BYTES,
      setHost: false
    })
    req.on('socket', (socket: net.Socket) => {
      isConnected = true
      opts.onConnection?.(socket)
    })
    req.on('error', err => {
      // Bytes that follow a complete response belong to no request.
      if (res?.complete === true) return
      isBroken = true
      if (isSettled) return
      const { why, isSilent } = endpointProbes.toFailure(err)
      fail(why, isSilent)
    })
    req.on('information', onInformational)
    req.on('response', received => {
      res = received
      // Without a listener, an error of the response after this point would be uncaught.
      received.on('error', () => {})
      if (isUnframed(received, request.method)) {
        // An endpoint that stops reading a request, and ends, closes the connection in the same way as one that has responded.
        isBroken ||= !req.writableFinished
        links.delayEnd(received.socket)
        received.socket.prependListener('end', () => { isBroken ||= links.isReset(received.socket) })
      }
      if (isSettled) {
        req.destroy()
        return
      }
      settle(toResult(received, req, opts, () => isBroken))
    })
    opts.signal.addEventListener('abort', onAbort, { once: true })
    if (opts.signal.aborted) {
      onAbort()
      return
    }
    req.end(request.body)
  })
}

/** Statuses of responses that have no body. */
const BODILESS_STATUSES = [204, 304]

/** Returns whether the end of the connection delimits the body. */
function isUnframed (res: http.IncomingMessage, method: string): boolean {
  if (method === 'HEAD' || BODILESS_STATUSES.includes(res.statusCode ?? 0)) return false
  return res.headers['content-length'] === undefined && res.headers['transfer-encoding'] === undefined
}

function toResult (res: http.IncomingMessage, req: http.ClientRequest, opts: AttemptOptions, isBroken: () => boolean): AttemptResult {
  const { names, request } = opts
  const discard = (): void => {
    res.resume()
    req.destroy()
  }
  // Late or additional bytes on this connection must not be taken for the response to this request, nor for the promise that it was
  // not run. The endpoint echoes the attempt id.
  const echoed = res.headers[names.attemptId]
  const status = res.statusCode ?? 0
  const isNotRun = res.headers[names.notRun] !== undefined || status === MISDIRECTED_STATUS
  if (echoed !== request.attemptId) {
    discard()
    return { kind: 'lost', why: echoed === undefined ? 'the response has no attempt id' : 'the response belongs to another request' }
  }
  if (isNotRun) {
    discardBody(res, opts)
    return { kind: 'notRun', status, brittleLimit: brittleLimiters.parseBrittleLimit(res.headers[names.brittle]) }
  }
  if (status < 200 || status > MAX_STATUS) {
    discard()
    return { kind: 'lost', why: `the response has the status ${status}, which the protocol does not have` }
  }
  if (status < 300 && res.headers[names.seal] === undefined) {
    discard()
    return { kind: 'lost', why: 'the success response has no endpoint seal' }
  }
  if (res.headers['content-encoding'] !== undefined) {
    discard()
    return { kind: 'lost', why: 'the response has a content encoding, which was not requested' }
  }
  return { kind: 'response', res, abort: () => { req.destroy() }, isBroken, isUnframed: isUnframed(res, request.method) }
}

/** Discards a body so that its connection can be reused, or closes the connection if the body is long or slow. */
function discardBody (res: http.IncomingMessage, opts: AttemptOptions): void {
  let bytes = 0
  const stop = (why: string): void => {
    opts.onExcess?.(why)
    res.destroy()
  }
  const timer = setTimeout(() => { stop(`the body of a rejection did not end within ${DISCARD_TIMEOUT_MS} ms`) }, DISCARD_TIMEOUT_MS)
  res.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes > MAX_DISCARDED_BYTES && !res.destroyed) stop(`the body of a rejection is larger than ${MAX_DISCARDED_BYTES} bytes`)
  })
  res.once('close', () => { clearTimeout(timer) })
}

/** Result of {@link readBody}. */
export type BodyResult = { kind: 'complete', body: Buffer } | { kind: 'broken', why: string }

/**
 * Returns whether a response that ended is complete. The HTTP library reports the end of a body without a length also when the
 * connection was reset.
 */
export function isComplete (response: OpenResponse): boolean {
  return response.res.complete && !response.isBroken()
}

/** Options of {@link readBody}. */
export interface BodyOptions {
  signal: AbortSignal
  /** Size from which on the body is not read. */
  maxBytes: number
  pace: readPacers.Pace
  /** Account of the bytes, released by the caller. */
  holder: links.Holder
  /** Called when the endpoint sends more than it may. */
  onExcess: (what: string) => void
}

/** Reads a body to its end. */
export async function readBody (response: OpenResponse, opts: BodyOptions): Promise<BodyResult> {
  const { res } = response
  const { signal, maxBytes, holder } = opts
  return await new Promise(resolve => {
    const buffer = links.createGrowingBuffer(maxBytes)
    let isSettled = false
    const gate = readPacers.createPauseGate(readPacers.toPausable(res))
    const settle = (outcome: BodyResult): void => {
      if (isSettled) return
      isSettled = true
      holder.onExcess = undefined
      signal.removeEventListener('abort', onAbort)
      gate.stop()
      resolve(outcome)
      if (outcome.kind === 'broken') res.destroy()
    }
    const exceed = (why: string): void => {
      if (isSettled) return
      opts.onExcess(why)
      settle({ kind: 'broken', why })
    }
    holder.onExcess = () => { exceed(links.HELD_EXCESS) }
    const onAbort = (): void => { settle({ kind: 'broken', why: String(signal.reason) }) }
    res.on('data', (chunk: Buffer) => {
      if (isSettled) return
      buffer.append(chunk)
      if (buffer.size() > maxBytes) exceed(`the response is larger than ${maxBytes} bytes`)
      else {
        holder.set(buffer.capacity())
        const pauseMs = opts.pace.charge(chunk.length, 1)
        if (pauseMs > 0) gate.pauseFor(pauseMs)
      }
    })
    res.on('end', () => {
      settle(isComplete(response) ? { kind: 'complete', body: buffer.view() } : { kind: 'broken', why: 'the response body is truncated' })
    })
    res.on('error', err => { settle({ kind: 'broken', why: err.message }) })
    res.on('close', () => { settle({ kind: 'broken', why: 'the connection closed' }) })
    signal.addEventListener('abort', onAbort, { once: true })
    if (signal.aborted) onAbort()
    else if (Number(res.headers['content-length'] ?? 0) > maxBytes) exceed(`the response is larger than ${maxBytes} bytes`)
  })
}
