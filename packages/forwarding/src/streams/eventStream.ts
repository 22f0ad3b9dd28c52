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

export function createEventSplitter (): EventSplitter {
  let pending: Buffer = Buffer.alloc(0)
  return {
    push (chunk) {
      const all = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
      const events: StreamEvent[] = []
      let from = 0
      let end = findEnd(all, from)
      while (end > 0) {
        const bytes = all.subarray(from, end)
        events.push({ bytes, id: ID_LINE.exec(bytes.toString('latin1'))?.[1] })
        from = end
        end = findEnd(all, from)
      }
      pending = all.subarray(from)
      return events
    },
    pendingBytes: () => pending.length
  }
}

/** Returns the index after the blank line that ends the event, or 0 if the event is incomplete. */
function findEnd (bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LF, from); at >= 0; at = bytes.indexOf(LF, at + 1)) {
    if (bytes[at + 1] === LF) return at + 2
    if (bytes[at + 1] === CR && bytes[at + 2] === LF) return at + 3
  }
  return 0
}
