/**
 * Writes the handout of a control instance to its disk, to be served at its next start. A lost or damaged file only delays entry
 * instances until the control instance has started.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as writeBehindFiles from './writeBehindFile.js'

/** Changes within this time are written together, since each write packs the full document. */
const BATCH_DELAY_MS = 250

/** The handout file of an instance. */
export interface HandoutFile extends writeBehindFiles.WriteBehindFile {
  /** Returns the version of the document that this process has written, 0 without one. */
  writtenVersion: () => number
}

/**
 * Creates the handout file.
 * @param folder the instance's data folder
 * @param content returns the current handout, undefined before the first document
 */
export function createHandoutFile (folder: string, content: () => discovery.DiscoveryReply | undefined, log: telemetry.Log): HandoutFile {
  let packedVersion = 0
  let writtenVersion = 0
  const file = writeBehindFiles.createWriteBehindFile({
    folder,
    name: discovery.HANDOUT_FILE,
    batchDelayMs: BATCH_DELAY_MS,
    content () {
      const reply = content()
      if (reply === undefined) return undefined
      packedVersion = reply.version
      return discovery.packHandout(discovery.encodeReply(reply))
    },
    onWritten () { writtenVersion = packedVersion },
    log
  })
  return { ...file, writtenVersion: () => writtenVersion }
}

/**
 * Reads the document of an instance's handout file. What is handed out is committed; the log may not say so yet.
 * @returns null if the file is missing or damaged
 */
export function readHandoutDocument (folder: string, log: telemetry.Log): contracts.VersionedText | null {
  try {
    const body = discovery.readHandout(folder)
    const packed = body === undefined ? null : discovery.decodeReply(body).document
    return packed === null ? null : contracts.unpackText(packed, null) ?? null
  } catch (err) {
    log.event('recordFileUnreadable', { file: discovery.HANDOUT_FILE, detail: err instanceof Error ? err.message : String(err) })
    return null
  }
}
