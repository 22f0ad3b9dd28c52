/** Batched, non-blocking line output with a bounded buffer; lines are dropped while the buffer is full. */
import * as fs from 'node:fs'

/** A buffered writer of lines. */
export interface LineWriter {
  write: (line: string) => void
  /** Number of lines dropped so far. */
  dropped: () => number
  /** Writes the buffered lines. */
  flush: () => Promise<void>
}

/** Size of the buffer; further lines are dropped until it has been written. */
const MAX_BUFFERED_BYTES = 256 * 1024
/** Delay before buffered lines are written together. */
const FLUSH_DELAY_MS = 100
const STDOUT_FD = 1

/** Creates a writer to a file descriptor. */
export function createLineWriter (fd: number = STDOUT_FD): LineWriter {
  let buffer: string[] = []
  let bufferedBytes = 0
  let dropped = 0
  let reportedDropped = 0
  let writing: Promise<void> | undefined
  let timer: NodeJS.Timeout | undefined

  const writeAll = async (bytes: Buffer): Promise<void> => {
    let offset = 0
    while (offset < bytes.length) {
      offset += await new Promise<number>((resolve, reject) => {
        fs.write(fd, bytes, offset, bytes.length - offset, null, (err, count) => { err === null ? resolve(count) : reject(err) })
      })
    }
  }

  const flush = async (): Promise<void> => {
    clearTimeout(timer)
    timer = undefined
    if (writing !== undefined) {
      await writing
      return
    }
    if (buffer.length === 0) return
    if (dropped > reportedDropped) {
      buffer.push(JSON.stringify({ event: 'linesDropped', dropped: dropped - reportedDropped }))
      reportedDropped = dropped
    }
    const bytes = Buffer.from(buffer.join('\n') + '\n')
    buffer = []
    bufferedBytes = 0
    // A closed output must not stop the process; a failed batch counts as one dropped line.
    writing = writeAll(bytes).catch(() => { dropped++ }).finally(() => { writing = undefined })
    await writing
    if (buffer.length > 0) schedule()
  }

  const schedule = (): void => { timer ??= setTimeout(() => { void flush() }, FLUSH_DELAY_MS) }

  return {
    write (line) {
      if (bufferedBytes + line.length > MAX_BUFFERED_BYTES) {
        dropped++
        return
      }
      buffer.push(line)
      bufferedBytes += line.length
      schedule()
    },
    dropped: () => dropped,
    flush
  }
}
