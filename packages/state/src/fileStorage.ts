/**
 * File-based storage of a replica, one folder with the files `meta`, `snapshot`, `log`, `synced` and `committed`. Records
 * are framed with their length and a CRC.
 */
import * as fs from 'node:fs/promises'
import * as path from 'node:path'
import * as zlib from 'node:zlib'
import * as cbor from 'cbor-x'
import * as entries from './entries.js'
import * as replaceFiles from './replaceFile.js'
import * as storage from './storage.js'

const HEADER_BYTES = 8
const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/** Encodes a record: payload length, CRC, payload. */
export function encodeRecord (value: unknown): Buffer {
  const payload = codec.encode(value)
  const out = Buffer.allocUnsafe(HEADER_BYTES + payload.length)
  out.writeUInt32BE(payload.length, 0)
  out.writeUInt32BE(zlib.crc32(payload), 4)
  out.set(payload, HEADER_BYTES)
  return out
}

/** The leading intact records of a file: their values, end offsets, and total size. */
export interface DecodedRecords { values: unknown[], ends: number[], validBytes: number }

/** Decodes records up to the first truncated or corrupt one. */
export function decodeRecords (bytes: Buffer): DecodedRecords {
  const values: unknown[] = []
  const ends: number[] = []
  let at = 0
  while (at + HEADER_BYTES <= bytes.length) {
    const length = bytes.readUInt32BE(at)
    const end = at + HEADER_BYTES + length
    if (end > bytes.length) break
    const payload = bytes.subarray(at + HEADER_BYTES, end)
    if (zlib.crc32(payload) !== bytes.readUInt32BE(at + 4)) break
    values.push(codec.decode(payload))
    at = end
    ends.push(end)
  }
  return { values, ends, validBytes: at }
}

/**
 * Opens the storage of a replica.
 * @param folder data folder; created if missing
 */
export async function createFileStorage (folder: string): Promise<storage.Storage> {
  await fs.mkdir(folder, { recursive: true })
  const toPath = (name: string) => path.join(folder, name)
  let log = await fs.open(toPath('log'), 'a+')
  let syncedFile = await fs.open(toPath('synced'), 'a').then(async handle => { await handle.close(); return await fs.open(toPath('synced'), 'r+') })
  let ends: Array<{ index: number, end: number }> = []
  let size = 0
  let queue: Promise<unknown> = Promise.resolve()
  let commitIndex = 0
  let isCommitWriteQueued = false

  const enqueue = async <T>(work: () => Promise<T>): Promise<T> => {
    const turn = queue.then(work)
    queue = turn.catch(() => {})
    return await turn
  }

  const logEnd = (): number => ends.at(-1)?.end ?? 0

  // Distinguishes damage from a torn tail. The mark is written after the log is synced and is not synced itself, so after a power
  // loss it may be too low but never too high: a log that is valid only below it has lost acknowledged entries.
  const writeSyncedMark = async (): Promise<void> => {
    const content = encodeRecord(logEnd())
    await syncedFile.write(content, 0, content.length, 0)
  }

  // Guards against treating an intact log as damaged: before the log is shortened, the lower mark must be synced. Otherwise
  // a power loss may leave the shorter log with the previous, higher mark.
  const lowerSyncedMark = async (end: number): Promise<void> => {
    const content = encodeRecord(end)
    await syncedFile.write(content, 0, content.length, 0)
    await syncedFile.datasync()
  }

  const rewriteLog = async (kept: readonly entries.Entry[]): Promise<void> => {
    const records = [...kept.map(encodeRecord), encodeRecord(commitIndex)]
    await lowerSyncedMark(0)
    await replaceFiles.replaceFile(folder, 'log', Buffer.concat(records))
    await log.close()
    log = await fs.open(toPath('log'), 'a+')
    let at = 0
    ends = kept.map((item, i) => ({ index: item.index, end: (at += records[i].length) }))
    size = at + records[records.length - 1].length
    await writeSyncedMark()
  }

  const readSingleRecord = async (name: string): Promise<unknown> => {
    const bytes = await fs.readFile(toPath(name)).catch(() => undefined)
    if (bytes === undefined) return undefined
    const { values, validBytes } = decodeRecords(bytes)
    if (values.length !== 1 || validBytes !== bytes.length) throw new Error(`file ${name} is damaged: ${validBytes} of ${bytes.length} bytes are valid`)
    return values[0]
  }

  const readLog = async (): Promise<entries.Entry[]> => {
    const { values } = decodeRecords(await fs.readFile(toPath('log')))
    return values.filter(isEntry).map(value => entries.entry.parse(value))
  }

  const load = async (): Promise<storage.LoadResult> => {
    const bytes = await fs.readFile(toPath('log'))
    const records = decodeRecords(bytes)
    const { values, validBytes } = records
    try {
      const rawMeta = await readSingleRecord('meta')
      const rawSnapshot = await readSingleRecord('snapshot')
      if (rawMeta === undefined) {
        if (bytes.length > 0 || rawSnapshot !== undefined) return { kind: 'damaged', detail: 'file meta is missing, but a log or snapshot exists' }
        return { kind: 'empty' }
      }
      const list = values.filter(isEntry).map(value => entries.entry.parse(value))
      // Besides entries the log contains numbers: the commit index at the time of the next append.
      const commitRecords = values.filter(value => typeof value === 'number')
      const synced = decodeRecords(await fs.readFile(toPath('synced'))).values[0]
      if (typeof synced === 'number' && validBytes < synced) return { kind: 'damaged', detail: `log is valid up to byte ${validBytes}, but was synced up to byte ${synced}` }
      const snapshot = rawSnapshot === undefined ? undefined : entries.snapshot.parse(rawSnapshot)
      const detail = findGap(list, snapshot)
      if (detail !== undefined) return { kind: 'damaged', detail }
      const tornBytes = bytes.length - validBytes
      if (tornBytes > 0) await log.truncate(validBytes)
      const entryEnds = records.ends.filter((end, i) => isEntry(values[i]))
      ends = list.map((item, i) => ({ index: item.index, end: entryEnds[i] }))
      size = validBytes
      const latestCommit = decodeRecords(await fs.readFile(toPath('committed')).catch(() => Buffer.alloc(0))).values[0]
      commitIndex = Math.max(0, ...commitRecords, typeof latestCommit === 'number' ? latestCommit : 0)
      return { kind: 'found', meta: entries.meta.parse(rawMeta), snapshot, entries: list, tornBytes, commitIndex }
    } catch (err) {
      return { kind: 'damaged', detail: err instanceof Error ? err.message : String(err) }
    }
  }

  return {
    load: async () => await enqueue(load),
    wipe: async () => {
      await enqueue(async () => {
        await log.close()
        await syncedFile.close()
        for (const name of ['log', 'meta', 'snapshot', 'synced', 'committed']) await fs.rm(toPath(name), { force: true })
        await replaceFiles.syncFolder(folder)
        log = await fs.open(toPath('log'), 'a+')
        syncedFile = await fs.open(toPath('synced'), 'w+')
        ends = []
        size = 0
        commitIndex = 0
      })
    },
    saveMeta: async meta => { await enqueue(async () => { await replaceFiles.replaceFile(folder, 'meta', encodeRecord(meta)) }) },
    append: async list => {
      const records = list.map(encodeRecord)
      const indexes = list.map(item => item.index)
      await enqueue(async () => {
        // Synced together with the entries, so that the commit index survives a power loss.
        const commitRecord = encodeRecord(commitIndex)
        await log.appendFile(Buffer.concat([commitRecord, ...records]))
        await log.datasync()
        let at = size + commitRecord.length
        records.forEach((record, i) => ends.push({ index: indexes[i], end: (at += record.length) }))
        size = at
        await writeSyncedMark()
      })
    },
    saveCommitIndex (index) {
      commitIndex = index
      if (isCommitWriteQueued) return
      isCommitWriteQueued = true
      // Queued behind the log writes, so that it never refers to an unwritten entry. A failed write leaves a lower index,
      // which is safe.
      enqueue(async () => {
        isCommitWriteQueued = false
        await fs.writeFile(toPath('committed'), encodeRecord(commitIndex))
      }).catch(() => {})
    },
    truncateFrom: async index => {
      await enqueue(async () => {
        const kept = ends.filter(item => item.index < index)
        await lowerSyncedMark(kept.at(-1)?.end ?? 0)
        size = kept.at(-1)?.end ?? 0
        await log.truncate(size)
        await log.datasync()
        ends = kept
      })
    },
    saveSnapshot: async (snapshot, keepFrom) => {
      await enqueue(async () => {
        await replaceFiles.replaceFile(folder, 'snapshot', encodeRecord(snapshot))
        const list = await readLog()
        await rewriteLog(list.filter(item => item.index >= keepFrom))
      })
    },
    close: async () => {
      await enqueue(async () => {
        await log.close()
        await syncedFile.close()
      })
    }
  }
}

function isEntry (value: unknown): boolean {
  return typeof value !== 'number'
}

function findGap (list: readonly entries.Entry[], snapshot: entries.Snapshot | undefined): string | undefined {
  const first = list[0]
  if (first !== undefined && first.index > (snapshot?.lastIndex ?? 0) + 1) return `gap in the log: the first entry is ${first.index}, but the snapshot ends at ${snapshot?.lastIndex ?? 0}`
  for (let i = 1; i < list.length; i++) {
    if (list[i].index !== list[i - 1].index + 1) return `gap in the log: entry ${list[i - 1].index} is followed by ${list[i].index}`
  }
  return undefined
}
