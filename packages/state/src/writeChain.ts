/** Writes of one replica, performed one after the other. */
import type * as entries from './entries.js'

/** Options of {@link createWriteChain}. */
export interface WriteChainOptions {
  /** Returns whether the replica still runs. The disk may belong to the successor of a stopped one. */
  isRunning: () => boolean
  /** Called with the error of a write, before it is rejected. */
  onFailed: (err: unknown) => void
  /** Duration from which on a write is slow, without its wait for earlier ones, milliseconds. */
  slowMs: number
  /** Called after a slow write with its duration, milliseconds. */
  onSlow: (step: WriteStep, ms: number) => void
  /** Returns the monotonic time, milliseconds. */
  now: () => number
}

/** What is written. */
export type WriteStep = 'meta' | 'entries' | 'truncation' | 'snapshot'

/** Performs a write after all earlier ones. @throws Error when it, or an earlier one, has failed, or the replica has stopped */
export type Write = (step: WriteStep, perform: () => Promise<void>) => Promise<void>

/**
 * Creates a chain of writes. After a failed one no later one is performed: the stored state would no longer be a prefix of the decisions
 * in memory.
 */
export function createWriteChain (opts: WriteChainOptions): Write {
  let last: Promise<void> = Promise.resolve()
  return async (step, perform) => {
    const turn = last.then(async () => {
      if (!opts.isRunning()) throw new Error('the replica has stopped and writes nothing any more')
      const startedAt = opts.now()
      await perform()
      const ms = opts.now() - startedAt
      if (ms >= opts.slowMs) opts.onSlow(step, ms)
    })
    last = turn
    turn.catch(opts.onFailed)
    await turn
  }
}

/**
 * Creates a queue of entries to be appended: those that arrive while other writes are in progress share the next one.
 * @param append appends entries to the storage
 * @returns a function that queues entries behind the latest write, and returns the write that includes them
 */
export function createAppendQueue (write: Write, append: (list: readonly entries.Entry[]) => Promise<void>): (list: readonly entries.Entry[], latest: Promise<void>) => Promise<void> {
  let waiting: { list: entries.Entry[], written: Promise<void> } | undefined
  return (list, latest) => {
    // Only the latest write may grow: what was queued behind another one must not overtake it.
    if (waiting !== undefined && waiting.written === latest) {
      waiting.list.push(...list)
      return latest
    }
    const batch = [...list]
    const written = write('entries', async () => {
      if (waiting?.list === batch) waiting = undefined
      await append(batch)
    })
    waiting = { list: batch, written }
    return written
  }
}
