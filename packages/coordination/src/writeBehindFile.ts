/**
 * A small file that is written in the background when the state of the process changes. Changes during a write are coalesced into
 * the next one; failed writes are logged.
 */
import * as timers from 'node:timers/promises'
import * as state from '@kingcupdeck/state'
import * as telemetry from '@kingcupdeck/telemetry'

/** Options of {@link createWriteBehindFile}. */
export interface WriteBehindFileOptions {
  folder: string
  name: string
  /** How long a write waits for further changes. */
  batchDelayMs: number
  /** Returns the current content, undefined if there is nothing to write yet. */
  content: () => string | Buffer | undefined
  log: telemetry.Log
}

/** A file that is written in the background. */
export interface WriteBehindFile {
  /** Schedules a write of the current content. */
  save: () => void
  /** Ignores further calls of `save` and waits for the scheduled write. */
  close: () => Promise<void>
}

/** Creates the file's writer; nothing is written before the first `save`. */
export function createWriteBehindFile (opts: WriteBehindFileOptions): WriteBehindFile {
  let isWriteScheduled = false
  let isClosed = false
  let pendingWrite: Promise<void> | undefined

  const write = async (): Promise<void> => {
    while (isWriteScheduled) {
      if (opts.batchDelayMs > 0) await timers.setTimeout(opts.batchDelayMs)
      isWriteScheduled = false
      const content = opts.content()
      if (content !== undefined) await state.replaceFile(opts.folder, opts.name, content)
    }
  }

  return {
    save () {
      if (isClosed) return
      isWriteScheduled = true
      pendingWrite ??= write()
        .catch(err => { opts.log.event('recordsNotKept', { file: opts.name, detail: err instanceof Error ? err.message : String(err) }) })
        .finally(() => { pendingWrite = undefined })
    },
    async close () {
      isClosed = true
      await pendingWrite
    }
  }
}
