/**
 * Reads the event stream of an endpoint: up to its first new event at once, so that the caller can decide between endpoints, and the
 * rest once it is started.
 */
import * as links from '@kingcupdeck/links'
import * as attempts from '../attempts/attempt.js'
import * as readPacers from '../attempts/readPacer.js'

/** A part of a stream. */
export type StreamPart =
  | { kind: 'events', events: links.StreamEvent[] }
  | { kind: 'end' }
  | { kind: 'broken', why: string }

/** Reader of a stream. */
export interface StreamReader {
  /** Resolves with the part that contains the first new event, or with the end of the stream. */
  readonly first: Promise<StreamPart>
  /** Passes on all parts, from the first one on, as they arrive. */
  start (onPart: (part: StreamPart) => void): void
  pause (): void
  resume (): void
  /** Aborts the stream; no further part is passed on. */
  abort (why: string): void
}

/** Options of {@link createStreamReader}. */
export interface StreamReaderOptions {
  response: attempts.OpenResponse
  /** Last event that the client has; this and earlier ones are left out. */
  lastEventId: string | undefined
  pace: readPacers.Pace
  /** Account of the bytes that are held, released at the end of the stream. */
  holder: links.Holder
  /** Called when data arrives. */
  onData: () => void
  /** Called when the endpoint sent more than it may without a new event. */
  onExcess?: (what: string) => void
}

/** Bytes without a new event after which a stream is broken off. */
export const MAX_BYTES_WITHOUT_EVENT = 1024 * 1024

/** Creates a reader. */
export function createStreamReader (opts: StreamReaderOptions): StreamReader {
  const { response, lastEventId, holder } = opts
  const { res } = response
  const splitter = links.createEventSplitter()
  const gate = readPacers.createPauseGate(readPacers.toPausable(res))
  const queued: StreamPart[] = []
  let queuedBytes = 0
  /** Events without an id that precede the first new one. */
  let held: links.StreamEvent[] = []
  let hasNew = lastEventId === undefined
  let bytesWithoutEvent = 0
  let isEnded = false
  let onPart: ((part: StreamPart) => void) | undefined
  let markFirst: (part: StreamPart) => void = () => {}
  const first = new Promise<StreamPart>(resolve => { markFirst = resolve })

  const put = (part: StreamPart): void => {
    if (onPart !== undefined) {
      onPart(part)
      return
    }
    queued.push(part)
    markFirst(part)
    if (part.kind === 'events') {
      queuedBytes += part.events.reduce((sum, item) => sum + item.bytes.length, 0)
      gate.set('receiver', true)
    }
  }

  const putEvents = (events: links.StreamEvent[]): void => {
    if (events.length > 0) put({ kind: 'events', events })
  }

  const end = (part: StreamPart): void => {
    if (isEnded) return
    stop()
    putEvents(held)
    held = []
    put(part)
  }

  const stop = (): void => {
    isEnded = true
    gate.stop()
    holder.release()
  }

  const exceed = (why: string): void => {
    opts.onExcess?.(why)
    end({ kind: 'broken', why })
    response.abort()
  }

  holder.onExcess = () => { exceed(links.HELD_EXCESS) }

  /** Returns the events to pass on now. */
  const select = (events: links.StreamEvent[]): links.StreamEvent[] => {
    if (lastEventId === undefined) return events
    const unseen = events.filter(event => event.id === undefined || isAfter(event.id, lastEventId))
    hasNew ||= unseen.some(event => event.id !== undefined)
    const all = [...held, ...unseen]
    held = hasNew ? [] : all
    return hasNew ? all : []
  }

  res.on('data', (chunk: Buffer) => {
    if (isEnded) return
    opts.onData()
    const all = splitter.push(chunk)
    const events = select(all)
    // Comments may be sent to keep a connection open, but not instead of events.
    bytesWithoutEvent = events.some(isNoComment) ? splitter.pendingBytes() : bytesWithoutEvent + chunk.length
    putEvents(events)
    if (bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT) {
      exceed(`no new event within ${MAX_BYTES_WITHOUT_EVENT} bytes of a stream`)
      return
    }
    holder.set(splitter.pendingBytes() + queuedBytes)
    const pauseMs = opts.pace.charge(chunk.length, all.length)
    if (pauseMs > 0) gate.pauseFor(pauseMs)
  })
  res.on('end', () => {
    if (!attempts.isComplete(response)) end({ kind: 'broken', why: 'the connection closed' })
    else if (splitter.pendingBytes() > 0) end({ kind: 'broken', why: 'the stream ended with an incomplete event' })
    else end({ kind: 'end' })
  })
  res.on('error', err => { end({ kind: 'broken', why: err.message }) })
  res.on('close', () => { end({ kind: 'broken', why: 'the connection closed' }) })

  return {
    first,
    start (listener) {
      onPart = listener
      queued.splice(0).forEach(listener)
      queuedBytes = 0
      gate.set('receiver', false)
    },
    pause () { gate.set('receiver', true) },
    resume () { gate.set('receiver', false) },
    abort (why) {
      stop()
      onPart = undefined
      queued.length = 0
      markFirst({ kind: 'broken', why })
      response.abort()
    }
  }
}

function isNoComment (event: links.StreamEvent): boolean {
  return !event.isComment
}

/** Event ids are increasing numbers. */
function isAfter (id: string, last: string): boolean {
  return Number(id) > Number(last)
}
