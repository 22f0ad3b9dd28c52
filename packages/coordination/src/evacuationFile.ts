/**
 * Keeps the evacuations of a control instance on its disk, to be served at its next start before the log is read. Unlike the handout, it is
 * written before the instance acknowledges an order.
 */
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as writeBehindFiles from './writeBehindFile.js'

/**
 * Creates the file.
 * @param folder the instance's data folder
 * @param report returns the current evacuations
 */
export function createEvacuationFile (folder: string, report: () => discovery.EvacuationReport, log: telemetry.Log): writeBehindFiles.WriteBehindFile {
  return writeBehindFiles.createWriteBehindFile({
    folder,
    name: discovery.EVACUATIONS_FILE,
    batchDelayMs: 0,
    content: () => discovery.packHandout(discovery.encodeEvacuations(report())),
    log
  })
}
