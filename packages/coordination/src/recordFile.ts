/**
 * Persists the records of a control instance, so that they are known directly after a restart. A file that does not match its
 * digest is ignored; lost records are restored by the next announcements.
 */
import * as fs from 'node:fs/promises'
import * as path from 'node:path'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as writeBehindFiles from './writeBehindFile.js'

const FILE_NAME = 'records'

/** The file of records. */
export interface RecordFile extends writeBehindFiles.WriteBehindFile {
  /** Reads the records that match the schema; returns none if the file is missing or damaged. Never rejects. */
  load: () => Promise<discovery.Record[]>
}

/**
 * Creates the file of records.
 * @param folder the instance's data folder
 * @param list returns the records to write
 * @param intake checks the records that are read
 */
export function createRecordFile (folder: string, list: () => discovery.Record[], log: telemetry.Log, intake = discovery.createIntake(discovery.createRefusals(log))): RecordFile {
  const content = (): string => {
    const text = JSON.stringify(list())
    return `${contracts.sha256(text)}\n${text}`
  }
  return {
    ...writeBehindFiles.createWriteBehindFile({ folder, name: FILE_NAME, batchDelayMs: 0, content, log }),
    async load () {
      const [digest, text] = (await fs.readFile(path.join(folder, FILE_NAME), 'utf8').catch(() => '')).split('\n')
      if (text === undefined || contracts.sha256(text) !== digest) return []
      try {
        return intake.records(JSON.parse(text), FILE_NAME)
      } catch (err) {
        log.event('recordFileUnreadable', { detail: err instanceof Error ? err.message : String(err) })
        return []
      }
    }
  }
}
