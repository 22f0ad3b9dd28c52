/**
 * Reads the event stream of an endpoint: up to its first new event at once, so that the caller can decide between endpoints, and the
 * rest once it is started.
 */
import * as links from '@kingcupdeck/links'
import * as attempts from '../attempts/attempt.js'

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
  /** Called when data arrives. */
  onData: () => void
  /** Called when the endpoint sent more than it may without a new event. */
  onExcess?: (what: string) => void
}

/** Bytes without a new event after which a stream is broken off. */
export const MAX_BYTES_WITHOUT_EVENT = 1024 * 1024

/** Creates a reader. */
export function createStreamReader (opts: StreamReaderOptions): StreamReader {
  const { response, lastEventId } = opts
  const { res } = response
  const splitter = links.createEventSplitter()
  const queued: StreamPart[] = []
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
    if (part.kind === 'events') res.pause()
  }

  const putEvents = (events: links.StreamEvent[]): void => {
    if (events.length > 0) put({ kind: 'events', events })
  }

  const end = (part: StreamPart): void => {
    if (isEnded) return
    isEnded = true
    putEvents(held)
    held = []
    put(part)
  }

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
    const events = select(splitter.push(chunk))
    bytesWithoutEvent = events.length > 0 ? splitter.pendingBytes() : bytesWithoutEvent + chunk.length
    putEvents(events)
    if (bytesWithoutEvent <= MAX_BYTES_WITHOUT_EVENT) return
    const why = `no new event within ${MAX_BYTES_WITHOUT_EVENT} bytes of a stream`
    opts.onExcess?.(why)
    end({ kind: 'broken', why })
    response.abort()
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
      res.resume()
    },
    pause () { res.pause() },
    resume () { res.resume() },
    abort (why) {
      isEnded = true
      onPart = undefined
      queued.length = 0
      markFirst({ kind: 'broken', why })
      response.abort()
    }
  }
}

/** Event ids are increasing numbers. */
function isAfter (id: string, last: string): boolean {
  return Number(id) > Number(last)
}
