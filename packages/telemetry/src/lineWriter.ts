/** Writes lines to standard output in batches, without ever waiting for the reader: what it cannot take is left out. */
import * as fs from 'node:fs'

/** Writes lines. */
export interface LineWriter {
  write: (line: string) => void
  /** @returns lines that were left out so far */
  dropped: () => number
  /** Writes what is held. */
  flush: () => Promise<void>
}

/** Lines that are held while standard output is not taken; beyond that they are left out, so that memory stays bounded. */
const MAX_HELD_BYTES = 256 * 1024
/** Lines are written together so often: one system call for many lines. */
const BATCH_MS = 100
const STDOUT = 1

/**
 * Creates a writer.
 * @param fd file descriptor to write to
 * @returns the writer
 */
export function createLineWriter (fd: number = STDOUT): LineWriter {
  let held: string[] = []
  let heldBytes = 0
  let dropped = 0
  let told = 0
  let writing: Promise<void> | undefined
  let timer: NodeJS.Timeout | undefined

  const writeAll = async (bytes: Buffer): Promise<void> => {
    let at = 0
    while (at < bytes.length) {
      at += await new Promise<number>((resolve, reject) => {
        fs.write(fd, bytes, at, bytes.length - at, null, (err, count) => { err === null ? resolve(count) : reject(err) })
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
    if (held.length === 0) return
    if (dropped > told) {
      held.push(JSON.stringify({ event: 'linesDropped', dropped: dropped - told }))
      told = dropped
    }
    const bytes = Buffer.from(held.join('\n') + '\n')
    held = []
    heldBytes = 0
    // A reader that is gone is no reason to stop serving: the lines are counted as left out.
    writing = writeAll(bytes).catch(() => { dropped++ }).finally(() => { writing = undefined })
    await writing
    if (held.length > 0) schedule()
  }

  const schedule = (): void => { timer ??= setTimeout(() => { void flush() }, BATCH_MS) }

  return {
    write (line) {
      if (heldBytes + line.length > MAX_HELD_BYTES) {
        dropped++
        return
      }
      held.push(line)
      heldBytes += line.length
      schedule()
    },
    dropped: () => dropped,
    flush
  }
}
