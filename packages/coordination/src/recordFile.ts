/**
 * The records of a control instance, kept in a file so that a restart knows endpoints and entry instances at once and need
 * not wait for their next announcements. Nothing waits for it: what a power loss takes is announced again within a second,
 * and what it spoils is found by its digest and left out.
 */
import * as fs from 'node:fs/promises'
import * as path from 'node:path'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as state from '@kingcupdeck/state'
import * as telemetry from '@kingcupdeck/telemetry'

const NAME = 'records'

/** Keeps records in a file. */
export interface RecordFile {
  /** @returns what the file holds */
  load: () => Promise<discovery.Record[]>
  /** Writes the records as they are then; calls that come while one is written are served together. */
  save: () => void
  /** Takes no further calls and waits for the last write. */
  close: () => Promise<void>
}

/**
 * Creates the keeper of a file.
 * @param folder where it lies
 * @param list the records to write
 * @param log where failures are noted
 * @returns the keeper
 */
export function createRecordFile (folder: string, list: () => discovery.Record[], log: telemetry.Log): RecordFile {
  let isWaiting = false
  let isClosed = false
  let writing: Promise<void> | undefined

  const write = async (): Promise<void> => {
    while (isWaiting) {
      isWaiting = false
      const text = JSON.stringify(list())
      await state.replaceFile(folder, NAME, `${contracts.sha256(text)}\n${text}`)
    }
  }

  return {
    async load () {
      const [digest, text] = (await fs.readFile(path.join(folder, NAME), 'utf8').catch(() => '')).split('\n')
      if (text === undefined || contracts.sha256(text) !== digest) return []
      return discovery.record.array().parse(JSON.parse(text))
    },
    save () {
      if (isClosed) return
      isWaiting = true
      writing ??= write()
        .catch(err => { log.event('recordsNotKept', { detail: err instanceof Error ? err.message : String(err) }) })
        .finally(() => { writing = undefined })
    },
    async close () {
      isClosed = true
      await writing
    }
  }
}
