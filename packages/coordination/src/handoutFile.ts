/**
 * Keeps on disk what a restarted control instance hands out first. Nothing waits for it: what a loss of power takes or spoils is
 * learned a moment later from the instance itself.
 */
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as writeBehindFiles from './writeBehindFile.js'

/** Changes that follow each other are written together: a whole document is packed for each write. */
const BATCH_DELAY_MS = 250

/**
 * Creates the keeper of the file.
 * @param folder where it lies
 * @param content what is to be handed out, or undefined if there is nothing yet
 * @param log where failures are noted
 * @returns the keeper
 */
export function createHandoutFile (folder: string, content: () => discovery.DiscoveryReply | undefined, log: telemetry.Log): writeBehindFiles.WriteBehindFile {
  return writeBehindFiles.createWriteBehindFile({
    folder,
    name: discovery.HANDOUT_FILE,
    batchDelayMs: BATCH_DELAY_MS,
    content () {
      const reply = content()
      return reply === undefined ? undefined : discovery.packHandout(discovery.encodeReply(reply))
    },
    log
  })
}
