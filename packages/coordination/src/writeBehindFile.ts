/**
 * A small file that is written in the background when the state of the process changes. Changes during a write are coalesced into
 * the next one; failed writes are logged and repeated.
 */
import * as timers from 'node:timers/promises'
import * as state from '@kingcupdeck/state'
import * as telemetry from '@kingcupdeck/telemetry'

/** Pause before a failed write is repeated; a full disk stays full for seconds. */
const RETRY_PAUSE_MS = 1000

/** Options of {@link createWriteBehindFile}. */
export interface WriteBehindFileOptions {
  folder: string
  name: string
  /** How long a write waits for further changes. */
  batchDelayMs: number
  /** Returns the current content, undefined if there is nothing to write yet. */
  content: () => string | Buffer | undefined
  /** Called when the last content was written. */
  onWritten?: () => void
  log: telemetry.Log
}

/** A file that is written in the background. */
export interface WriteBehindFile {
  /** Schedules a write of the current content. */
  save: () => void
  /** Writes the current content without a delay, and waits for the first attempt; a failed write is logged and repeated. */
  saveNow: () => Promise<void>
  /** Ignores further calls of `save` and waits for the scheduled write. */
  close: () => Promise<void>
}

/** Creates the file's writer; nothing is written before the first `save`. */
export function createWriteBehindFile (opts: WriteBehindFileOptions): WriteBehindFile {
  const closing = new AbortController()
  let isWriteScheduled = false
  let pendingWrite: Promise<void> | undefined
  /** Callers whose content the next write includes. */
  let waiting: Array<() => void> = []
  let endDelay = (): void => {}

  /** Waits for further changes, unless a caller waits for the write. */
  const delay = async (): Promise<void> => {
    if (waiting.length > 0) return
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, opts.batchDelayMs)
      endDelay = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  const write = async (): Promise<void> => {
    const content = opts.content()
    if (content === undefined) return
    await state.replaceFile(opts.folder, opts.name, content)
    opts.onWritten?.()
  }

  /** Writes until the file has the current content, or the last write before the close has failed. */
  const runWrites = async (): Promise<void> => {
    while (isWriteScheduled) {
      if (opts.batchDelayMs > 0) await delay()
      isWriteScheduled = false
      const included = waiting
      waiting = []
      try {
        await write().finally(() => { for (const resolve of included) resolve() })
      } catch (err) {
        opts.log.event('recordsNotKept', { file: opts.name, detail: err instanceof Error ? err.message : String(err) })
        if (closing.signal.aborted) return
        isWriteScheduled = true
        // The close ends the pause early.
        await timers.setTimeout(RETRY_PAUSE_MS, undefined, { signal: closing.signal }).catch(() => {})
      }
    }
  }

  const save = (): void => {
    if (closing.signal.aborted) return
    isWriteScheduled = true
    pendingWrite ??= runWrites().finally(() => { pendingWrite = undefined })
  }

  return {
    save,
    async saveNow () {
      if (closing.signal.aborted) return
      const saved = new Promise<void>(resolve => { waiting.push(resolve) })
      save()
      endDelay()
      await saved
    },
    async close () {
      closing.abort()
      await pendingWrite
    }
  }
}
