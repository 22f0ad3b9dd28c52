/**
 * The records of a control instance, kept in a file so that a restart knows endpoints and entry instances at once and need
 * not wait for their next announcements. Nothing waits for it: what a power loss takes is announced again within a second,
 * and what it spoils is found by its digest and left out.
 */
import * as fs from 'node:fs/promises'
import * as path from 'node:path'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as writeBehindFiles from './writeBehindFile.js'

const FILE_NAME = 'records'

/** Keeps records in a file. */
export interface RecordFile extends writeBehindFiles.WriteBehindFile {
  /** @returns what the file holds */
  load: () => Promise<discovery.Record[]>
}

/**
 * Creates the keeper of a file.
 * @param folder where it lies
 * @param list the records to write
 * @param log where failures are noted
 * @returns the keeper
 */
export function createRecordFile (folder: string, list: () => discovery.Record[], log: telemetry.Log): RecordFile {
  const content = (): string => {
    const text = JSON.stringify(list())
    return `${contracts.sha256(text)}\n${text}`
  }
  return {
    ...writeBehindFiles.createWriteBehindFile({ folder, name: FILE_NAME, batchDelayMs: 0, content, log }),
    async load () {
      const [digest, text] = (await fs.readFile(path.join(folder, FILE_NAME), 'utf8').catch(() => '')).split('\n')
      if (text === undefined || contracts.sha256(text) !== digest) return []
      return discovery.record.array().parse(JSON.parse(text))
    }
  }
}
