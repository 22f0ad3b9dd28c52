/**
 * Keeps on disk what a restarted control instance hands out first. Nothing waits for it: what a loss of power takes or spoils is
 * learned a moment later from the instance itself.
 */
import * as timers from 'node:timers/promises'
import * as discovery from '@kingcupdeck/discovery'
import * as state from '@kingcupdeck/state'
import * as telemetry from '@kingcupdeck/telemetry'

/** Changes that follow each other are written together: a whole document is packed for each write. */
const GATHER_MS = 250

/** Keeps the file. */
export interface HandoutFile {
  /** Has the file written with what is to be handed out then. */
  save: () => void
  /** Takes no further calls and waits for the last write. */
  close: () => Promise<void>
}

/**
 * Creates the keeper of the file.
 * @param folder where it lies
 * @param content what is to be handed out, or undefined if there is nothing yet
 * @param log where failures are noted
 * @returns the keeper
 */
export function createHandoutFile (folder: string, content: () => discovery.DiscoveryReply | undefined, log: telemetry.Log): HandoutFile {
  let isWaiting = false
  let isClosed = false
  let writing: Promise<void> | undefined

  const write = async (): Promise<void> => {
    while (isWaiting) {
      await timers.setTimeout(GATHER_MS)
      isWaiting = false
      const reply = content()
      if (reply !== undefined) await state.replaceFile(folder, discovery.HANDOUT_FILE, discovery.packHandout(discovery.encodeReply(reply)))
    }
  }

  return {
    save () {
      if (isClosed) return
      isWaiting = true
      writing ??= write()
        .catch(err => { log.event('recordsNotKept', { file: discovery.HANDOUT_FILE, detail: err instanceof Error ? err.message : String(err) }) })
        .finally(() => { writing = undefined })
    },
    async close () {
      isClosed = true
      await writing
    }
  }
}
