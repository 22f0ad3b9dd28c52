/**
 * Bounds what the input of a connection makes a process hold. The HTTP parser handles all bytes that it is given at once, whatever they
 * become: thousands of requests or of chunks. So it is given them in slices: the head of a request, or a part of its body, and the next
 * request once the response to the one before was sent. What arrived meanwhile waits in a bounded queue, then in the client.
 */
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as growingBuffers from './growingBuffer.js'
import type * as heldBytes from './heldBytes.js'
import type * as inputSchedulers from './inputScheduler.js'

/** Options of {@link gateInput}. */
export interface InputGateOptions {
  held: heldBytes.HeldBytes
  scheduler: inputSchedulers.InputScheduler
  /** Called when a connection is closed because it holds most of what is held. */
  onExcess: () => void
}

/** The gates of a server. */
export interface InputGates {
  /** Returns whether bytes of a connection were read that no request was made of. */
  hasQueued (socket: net.Socket): boolean
  /** Returns the response to the latest request of a connection, undefined if it is closed. */
  lastResponse (socket: net.Socket): http.ServerResponse | undefined
}

/** Part of a chunked body that is parsed at once: up to hundreds of chunks. */
const CHUNKED_SLICE_BYTES = 4096
const BODY_SLICE_BYTES = 64 * 1024
/** Least costs of a slice of a head, since a request costs more than its bytes, and of one of a chunked body. */
const HEAD_COST = 1024
const CHUNKED_COST = 64
/** Bytes of a body with a length that cost as much as one byte of other input. */
const CHEAP_BYTES = 16
/** Cost of the slices of a connection that are parsed at once. */
const MAX_DIRECT_COST = 4096
/** Bytes that wait in the process before no more are read: with few of them, the end of the connection is noticed. */
const MAX_QUEUED_BYTES = 16 * 1024
/** What waits or is parsed of most requests is shorter, and not counted. */
const MIN_HELD_BYTES = 4096

const EMPTY = Buffer.alloc(0)

/** Puts a gate before each connection of a server, which must not have accepted any yet. */
export function gateInput (server: http.Server, opts: InputGateOptions): InputGates {
  const gates = new WeakMap<net.Socket, Gate>()
  server.on('connection', (socket: net.Socket) => {
    const gate = createGate(socket, opts)
    if (gate !== undefined) gates.set(socket, gate)
  })
  server.on('request', (req: http.IncomingMessage, res: http.ServerResponse) => { gates.get(req.socket)?.addRequest(req, res) })
  // The parser is given to another connection.
  server.on('connect', (req: http.IncomingMessage) => { gates.get(req.socket)?.detach() })
  server.on('clientError', (_, socket: net.Socket) => { gates.get(socket)?.stop() })
  return {
    hasQueued: socket => gates.get(socket)?.hasQueued() === true,
    lastResponse: socket => gates.get(socket)?.lastResponse()
  }
}

/** Bytes that are parsed at once. */
interface Slice { bytes: number, cost: number }

interface Gate {
  addRequest: (req: http.IncomingMessage, res: http.ServerResponse) => void
  hasQueued: () => boolean
  lastResponse: () => http.ServerResponse | undefined
  /** Drops all further input. */
  stop: () => void
  /** Leaves the connection to others; the parser is told nothing more of it. */
  detach: () => void
}

/** @returns undefined if the parser reads from the connection in another way */
function createGate (socket: net.Socket, { held, scheduler, onExcess }: InputGateOptions): Gate | undefined {
  const parse = socket.listeners('data').at(-1) as ((data: Buffer) => void) | undefined
  const end = socket.listeners('end').at(-1) as (() => void) | undefined
  if (parse === undefined || end === undefined) return undefined
  const queue = growingBuffers.createGrowingBuffer()
  const holder = held.open()
  const lines = createLineScanner()
  const pauseReading = socket.pause.bind(socket)
  const resumeReading = socket.resume.bind(socket)
  let req: http.IncomingMessage | undefined
  let res: http.ServerResponse | undefined
  /** Bytes of the present head, and of the rest of a body with a length. */
  let headBytes = 0
  let bodyBytes = 0
  /** Whether the parser, or a request, wants no more input; whether the queue is long enough. */
  let isPausedByParser = false
  let isPausedByGate = false
  /** Whether the client sends no more; the parser is told once it has what was sent before. */
  let isEnded = false
  let isStopped = false

  /** Returns whether the present input may be parsed now. */
  const isOpen = (): boolean => {
    if (isPausedByParser || socket.destroyed) return false
    // A body that is not read would be kept as one object for each chunk.
    if (req?.complete === false) return req.readableLength === 0
    return res === undefined
  }

  /** Returns the length of the next slice. */
  const toSlice = (data: Buffer): Slice => {
    if (req?.complete !== false) {
      const bytes = lines.scan(data)
      headBytes += bytes
      return { bytes, cost: Math.max(HEAD_COST, bytes) }
    }
    if (bodyBytes > 0) {
      const bytes = Math.min(bodyBytes, data.length, BODY_SLICE_BYTES)
      bodyBytes -= bytes
      return { bytes, cost: bytes / CHEAP_BYTES }
    }
    const slice = data.subarray(0, CHUNKED_SLICE_BYTES)
    // The end of the body, if it is not a blank line within it.
    const bytes = lines.scan(slice)
    return { bytes, cost: Math.max(CHUNKED_COST, bytes) }
  }

  /** Returns the kind of the next input. */
  const toKind = (): inputSchedulers.InputKind => req?.complete === false && bodyBytes === 0 ? 'chunked' : 'prompt'

  /** Parses the beginning of some bytes, up to a cost. @returns the rest */
  const parseSlices = (data: Buffer): Buffer => {
    let rest = data
    for (let spent = 0; rest.length > 0 && spent < MAX_DIRECT_COST && isOpen() && scheduler.hasTime(toKind());) {
      const kind = toKind()
      const { bytes, cost } = toSlice(rest)
      scheduler.charge(kind, cost)
      spent += cost
      parse.call(socket, bytes === rest.length ? rest : rest.subarray(0, bytes))
      rest = bytes === rest.length ? EMPTY : rest.subarray(bytes)
    }
    return rest
  }

  const update = (): void => {
    const bytes = (queue.size() > 0 ? queue.capacity() : 0) + headBytes
    holder.set(bytes < MIN_HELD_BYTES ? 0 : bytes)
    const isFull = queue.size() > MAX_QUEUED_BYTES
    if (isFull === isPausedByGate) return
    isPausedByGate = isFull
    if (isFull) pauseReading()
    else if (!isPausedByParser) resumeReading()
  }

  const source: inputSchedulers.InputSource = {
    run () {
      if (isStopped) return
      const data = queue.view()
      queue.skip(data.length - parseSlices(data).length)
      pump()
    }
  }

  /** Has the queue parsed in later turns. */
  const pump = (): void => {
    if (isStopped) return
    if (isEnded && (queue.size() === 0 || (res !== undefined && req?.complete === true))) {
      stop()
      // A response that is ready at once is still sent.
      setImmediate(() => { end.call(socket) })
      return
    }
    if (queue.size() > 0 && isOpen()) scheduler.defer(toKind(), source)
    update()
  }

  const onEnd = (): void => {
    isEnded = true
    if (queue.size() > 0) pump()
    else {
      stop()
      end.call(socket)
    }
  }

  const onData = (data: Buffer): void => {
    if (isStopped) return
    // Most requests arrive in one piece, and are short.
    const rest = queue.size() > 0 ? data : parseSlices(data)
    if (isStopped) return
    if (rest.length > 0) queue.append(rest)
    if (rest.length > 0 || headBytes >= MIN_HELD_BYTES) pump()
  }

  const stop = (): void => {
    isStopped = true
    scheduler.cancel(source)
    holder.release()
    queue.skip(Infinity)
    socket.pause = pauseReading
    socket.resume = resumeReading
    // The end of the connection is noticed only while it is read.
    if (isPausedByGate && !isPausedByParser) resumeReading()
  }

  holder.onExcess = () => {
    onExcess()
    socket.destroy()
  }
  // The parser stops reading the connection by itself when it sees that others do; from then on it is given what they read.
  socket.on('data', onData)
  socket.off('data', parse)
  socket.on('end', onEnd)
  socket.off('end', end)
  socket.pause = () => {
    isPausedByParser = true
    return pauseReading()
  }
  socket.resume = () => {
    isPausedByParser = false
    if (!isPausedByGate) resumeReading()
    // Who resumes may be about to take what was parsed before.
    if (queue.size() > 0) process.nextTick(pump)
    return socket
  }
  socket.once('close', stop)

  return {
    addRequest (nextReq, nextRes) {
      req = nextReq
      res = nextRes
      const length = Number(nextReq.headers['content-length'] ?? 0)
      bodyBytes = nextReq.headers['transfer-encoding'] === undefined && length > 0 ? length : 0
      nextRes.once('close', () => {
        if (res !== nextRes) return
        res = undefined
        const isHeld = queue.size() > 0 || headBytes >= MIN_HELD_BYTES
        headBytes = 0
        if (isHeld) pump()
      })
    },
    hasQueued: () => queue.size() > 0,
    lastResponse: () => res,
    stop,
    detach () {
      stop()
      socket.off('data', onData)
      socket.off('end', onEnd)
    }
  }
}

/** Finds blank lines, which end heads and chunked bodies, and may be divided between the parts that arrive. */
interface LineScanner {
  /** Returns the number of bytes up to the end of the first blank line, or of all. */
  scan: (data: Buffer) => number
}

function createLineScanner (): LineScanner {
  /** Line ends at the end of what was scanned: none, `\n`, or `\n\r`. */
  let ended: '' | '\n' | '\n\r' = ''
  return {
    scan (data) {
      const isSplit = ended !== '' && (data[0] === LF || (ended === '\n' && data[0] === CR && data[1] === LF))
      const end = isSplit ? (data[0] === LF ? 1 : 2) : findBlankLine(data)
      const bytes = end < 0 ? data.length : end
      const last = data[bytes - 1]
      const isAfterLine = data.length === 1 ? ended !== '' : data[bytes - 2] === LF
      ended = end >= 0 ? '' : last === LF ? '\n' : last === CR && isAfterLine ? '\n\r' : ''
      return bytes
    }
  }
}

const LF = 0x0a
const CR = 0x0d
const BLANK_LINES = [Buffer.from('\n\r\n'), Buffer.from('\n\n')]

/** Returns the position after the first blank line, negative if there is none. */
function findBlankLine (data: Buffer): number {
  let end = -1
  for (const line of BLANK_LINES) {
    const at = (end < 0 ? data : data.subarray(0, end)).indexOf(line)
    if (at >= 0) end = at + line.length
  }
  return end
}
