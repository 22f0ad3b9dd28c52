/** Splits an event stream into complete events. */

/** A complete event: its bytes including the blank line, and its id. */
export interface StreamEvent { bytes: Buffer, id: string | undefined }

export interface EventSplitter {
  /** Adds bytes. @returns the events that are complete now */
  push (chunk: Buffer): StreamEvent[]
  /** Number of buffered bytes of an incomplete event. */
  pendingBytes (): number
}

const LF = 10
const CR = 13
const ID_LINE = /(?:^|\n)id:[ ]?([^\r\n]*)/

/** Creates a splitter. Its cost is linear in the number of bytes, however many chunks an event has. */
export function createEventSplitter (): EventSplitter {
  /** Chunks of the incomplete event. */
  let pending: Buffer[] = []
  let pendingBytes = 0
  /** Whether the last line of the incomplete event has ended, and whether a carriage return followed. */
  let hasLineEnded = false
  let hasReturn = false

  const take = (last: Buffer): StreamEvent => {
    const bytes = pending.length === 0 ? last : Buffer.concat([...pending, last])
    pending = []
    pendingBytes = 0
    hasLineEnded = false
    hasReturn = false
    return { bytes, id: ID_LINE.exec(bytes.toString('latin1'))?.[1] }
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
      let end = findEnd(chunk, from)
      while (end > 0) {
        events.push(take(chunk.subarray(from, end)))
        from = end
        end = findEnd(chunk, from)
      }
      if (from < chunk.length) {
        pending.push(chunk.subarray(from))
        pendingBytes += chunk.length - from
      }
      return events
    },
    pendingBytes: () => pendingBytes
  }
}
