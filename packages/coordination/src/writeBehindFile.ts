/**
 * A small file that follows what a process holds. Nothing waits for it: changes that come while it is written are written
 * together, and a disk that fails costs a line in the log.
 */
import * as timers from 'node:timers/promises'
import * as state from '@kingcupdeck/state'
import * as telemetry from '@kingcupdeck/telemetry'

/** What a kept file is built from. */
export interface WriteBehindFileOptions {
  /** The folder where it lies. */
  folder: string
  name: string
  /** How long a write waits for further changes, milliseconds. */
  batchDelayMs: number
  /** @returns what is to be written now, or undefined if there is nothing yet */
  content: () => string | Buffer | undefined
  log: telemetry.Log
}

/** Keeps a file. */
export interface WriteBehindFile {
  /** Has the file written as things are then; calls that come while it is written are served together. */
  save: () => void
  /** Takes no further calls and waits for the last write. */
  close: () => Promise<void>
}

/**
 * Creates the keeper of a file.
 * @param opts the file and what goes into it
 * @returns the keeper
 */
export function createWriteBehindFile (opts: WriteBehindFileOptions): WriteBehindFile {
  let isWaiting = false
  let isClosed = false
  let writing: Promise<void> | undefined

  const write = async (): Promise<void> => {
    while (isWaiting) {
      if (opts.batchDelayMs > 0) await timers.setTimeout(opts.batchDelayMs)
      isWaiting = false
      const content = opts.content()
      if (content !== undefined) await state.replaceFile(opts.folder, opts.name, content)
    }
  }

  return {
    save () {
      if (isClosed) return
      isWaiting = true
      writing ??= write()
        .catch(err => { opts.log.event('recordsNotKept', { file: opts.name, detail: err instanceof Error ? err.message : String(err) }) })
        .finally(() => { writing = undefined })
    },
    async close () {
      isClosed = true
      await writing
    }
  }
}
