/** Splits an event stream into complete events. */
import * as growingBuffers from './growingBuffer.js'

/** A complete event: its bytes including the blank line, and its id; or consecutive ones that consist of comments alone. */
export interface StreamEvent { bytes: Buffer, id: string | undefined, isComment: boolean }

export interface EventSplitter {
  /** Adds bytes. @returns the events that are complete now */
  push (chunk: Buffer): StreamEvent[]
  /** Number of buffered bytes of an incomplete event. */
  pendingBytes (): number
}

const LF = 10
const CR = 13
const COLON = 58
const ID_LINE = /(?:^|\n)id:[ ]?([^\r\n]*)/

/** Returns whether all lines are comments or blank. */
function isComment (bytes: Buffer): boolean {
  for (let at = 0; at < bytes.length;) {
    if (bytes[at] !== COLON && bytes[at] !== LF && bytes[at] !== CR) return false
    const next = bytes.indexOf(LF, at)
    at = next < 0 ? bytes.length : next + 1
  }
  return true
}

/**
 * Skips events that consist of comments alone: a stream may have thousands of them in one chunk.
 * @param from start of an event
 * @returns the end of the last of them, or `from` if there is none
 */
function skipComments (chunk: Buffer, from: number): number {
  let end = from
  let at = from
  while (at < chunk.length && (chunk[at] === COLON || at > from)) {
    if (chunk[at] === CR && chunk[at + 1] === LF) at++
    if (chunk[at] === LF) end = at + 1
    else if (chunk[at] !== COLON) return end
    while (at < chunk.length && chunk[at] !== LF) at++
    at++
  }
  return end
}

/** Creates a splitter. Its cost is linear in the number of bytes, however many chunks an event has. */
export function createEventSplitter (): EventSplitter {
  /** Bytes of the incomplete event. */
  const pending = growingBuffers.createGrowingBuffer()
  /** Whether the last line of the incomplete event has ended, and whether a carriage return followed. */
  let hasLineEnded = false
  let hasReturn = false

  const takePending = (last: Buffer): Buffer => {
    pending.append(last)
    const bytes = pending.view()
    pending.skip(bytes.length)
    return bytes
  }

  const take = (last: Buffer): StreamEvent => {
    const bytes = pending.size() === 0 ? last : takePending(last)
    hasLineEnded = false
    hasReturn = false
    if (bytes[0] === COLON && isComment(bytes)) return { bytes, id: undefined, isComment: true }
    return { bytes, isComment: false, id: ID_LINE.exec(bytes.toString('latin1'))?.[1] }
  }

  /** Returns the index after the blank line that ends the event, or 0 if the event is incomplete. */
  const findEnd = (chunk: Buffer, from: number): number => {
    let at = from
    while (at < chunk.length) {
      if (hasLineEnded && chunk[at] === LF) return at + 1
      if (hasLineEnded && !hasReturn && chunk[at] === CR) {
        hasReturn = true
        at++
        continue
      }
      hasReturn = false
      const next = chunk.indexOf(LF, at)
      hasLineEnded = next >= 0
      at = next >= 0 ? next + 1 : chunk.length
    }
    return 0
  }

  return {
    push (chunk) {
      const events: StreamEvent[] = []
      let from = 0
      while (true) {
        if (chunk[from] === COLON && pending.size() === 0) {
          const commentsEnd = skipComments(chunk, from)
          if (commentsEnd > from) events.push({ bytes: chunk.subarray(from, commentsEnd), id: undefined, isComment: true })
          from = commentsEnd
        }
        const end = findEnd(chunk, from)
        if (end === 0) break
        events.push(take(chunk.subarray(from, end)))
        from = end
      }
      if (from < chunk.length) pending.append(chunk.subarray(from))
      return events
    },
    pendingBytes: pending.size
  }
}
