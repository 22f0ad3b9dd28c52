/**
 * Keeps on disk what a restarted control instance hands out first. Nothing waits for it: what a loss of power takes or spoils is
 * learned a moment later from the instance itself.
 */
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as keptFiles from './keptFile.js'

/** Changes that follow each other are written together: a whole document is packed for each write. */
const GATHER_MS = 250

/**
 * Creates the keeper of the file.
 * @param folder where it lies
 * @param content what is to be handed out, or undefined if there is nothing yet
 * @param log where failures are noted
 * @returns the keeper
 */
export function createHandoutFile (folder: string, content: () => discovery.DiscoveryReply | undefined, log: telemetry.Log): keptFiles.KeptFile {
  return keptFiles.createKeptFile({
    folder,
    name: discovery.HANDOUT_FILE,
    gatherMs: GATHER_MS,
    content () {
      const reply = content()
      return reply === undefined ? undefined : discovery.packHandout(discovery.encodeReply(reply))
    },
    log
  })
}
