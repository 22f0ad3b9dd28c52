/** Cuts an event stream into whole events, so that nothing is passed on of one that its endpoint did not finish. */

/** A whole event: its bytes with the blank line, and its id if it has one. */
export interface StreamEvent { bytes: Buffer, id: string | undefined }

/** Cuts bytes into events. */
export interface EventSplitter {
  /** Takes bytes. @returns the events that are whole now */
  push (chunk: Buffer): StreamEvent[]
  /** @returns how many bytes of an unfinished event are held */
  pendingBytes (): number
}

const LF = 10
const CR = 13
const ID_LINE = /(?:^|\n)id:[ ]?([^\r\n]*)/

/**
 * Creates a splitter.
 * @returns the splitter
 */
export function createEventSplitter (): EventSplitter {
  let rest: Buffer = Buffer.alloc(0)
  return {
    push (chunk) {
      const all = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
      const events: StreamEvent[] = []
      let from = 0
      let end = findEnd(all, from)
      while (end > 0) {
        const bytes = all.subarray(from, end)
        events.push({ bytes, id: ID_LINE.exec(bytes.toString('latin1'))?.[1] })
        from = end
        end = findEnd(all, from)
      }
      rest = all.subarray(from)
      return events
    },
    pendingBytes: () => rest.length
  }
}

/** @returns the index behind the blank line that ends the event, or 0 if there is none yet */
function findEnd (bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LF, from); at >= 0; at = bytes.indexOf(LF, at + 1)) {
    if (bytes[at + 1] === LF) return at + 2
    if (bytes[at + 1] === CR && bytes[at + 2] === LF) return at + 3
  }
  return 0
}
