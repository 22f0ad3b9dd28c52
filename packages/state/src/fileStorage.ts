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
  let syncedFile = await openForUpdate(toPath('synced')).catch(async err => {
    await log.close()
    throw err
  })
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

  // Distinguishes damage from a torn tail. The mark is written after the log is synced and is not synced itself, so after a power
  // loss it may be too low but never too high: a log that is valid only below it has lost acknowledged entries.
  const writeSyncedMark = async (): Promise<void> => {
    const content = encodeRecord(size)
    await syncedFile.write(content, 0, content.length, 0)
  }

  // Guards against treating an intact log as damaged: before the log is shortened, the lower mark must be synced. Otherwise
  // a power loss may leave the shorter log with the previous, higher mark.
  const clearSyncedMark = async (): Promise<void> => {
    const content = encodeRecord(0)
    await syncedFile.write(content, 0, content.length, 0)
    await syncedFile.datasync()
  }

  const rewriteLog = async (kept: readonly entries.Entry[]): Promise<void> => {
    const commitRecord = encodeRecord(commitIndex)
    const records = kept.map(encodeRecord)
    await clearSyncedMark()
    await replaceFiles.replaceFile(folder, 'log', Buffer.concat([commitRecord, ...records]))
    await log.close()
    log = await fs.open(toPath('log'), 'a+')
    size = commitRecord.length
    ends = kept.map((item, i) => ({ index: item.index, end: (size += records[i].length) }))
    await writeSyncedMark()
  }

  /** Returns the content of a file, undefined if it does not exist. A file that cannot be read is not damaged: the error is passed on. */
  const readFile = async (name: string): Promise<Buffer | undefined> => {
    try {
      return await fs.readFile(toPath(name))
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code === 'ENOENT') return undefined
      throw err
    }
  }

  const readLog = async (): Promise<entries.Entry[]> => {
    const { values } = decodeRecords(await fs.readFile(toPath('log')))
    return values.filter(isEntry).map(value => entries.entry.parse(value))
  }

  const load = async (): Promise<storage.LoadResult> => {
    const files = { meta: await readFile('meta'), snapshot: await readFile('snapshot'), log: await fs.readFile(toPath('log')), synced: await readFile('synced'), committed: await readFile('committed') }
    const stored = decodeFiles(files)
    if (stored.kind !== 'found') return stored
    commitIndex = stored.commitIndex
    ends = stored.ends
    size = files.log.length
    // What was not marked as synced may be lost at the next power loss although it can be read, also after a later sync of the same
    // file: a failed sync drops the changes of a file.
    if (size > stored.syncedEnd || stored.syncedEnd === 0) await rewriteLog(stored.entries)
    return stored
  }

  return {
    load: async () => await enqueue(load),
    wipe: async () => {
      await enqueue(async () => {
        await log.close()
        await syncedFile.close()
        // Without its metadata, what an interrupted removal leaves is wiped at the next start too.
        await fs.rm(toPath('meta'), { force: true })
        await replaceFiles.syncFolder(folder)
        for (const name of ['log', 'snapshot', 'synced', 'committed']) await fs.rm(toPath(name), { force: true })
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
        // If this is interrupted, the next start writes the log again.
        await clearSyncedMark()
        size = kept.at(-1)?.end ?? 0
        await log.truncate(size)
        await log.datasync()
        ends = kept
        await writeSyncedMark()
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
        await log.close().finally(async () => { await syncedFile.close() })
      })
    }
  }
}

/** Opens a file for reading and writing; creates it if it is missing. */
async function openForUpdate (file: string): Promise<fs.FileHandle> {
  await (await fs.open(file, 'a')).close()
  return await fs.open(file, 'r+')
}

/** Contents of the files of a replica; those that do not exist are undefined. */
interface Files { meta: Buffer | undefined, snapshot: Buffer | undefined, log: Buffer, synced: Buffer | undefined, committed: Buffer | undefined }

type DecodedFiles = Exclude<storage.LoadResult, { kind: 'found' }> | (Extract<storage.LoadResult, { kind: 'found' }> & { /** End offset of each entry. */ ends: Array<{ index: number, end: number }>, /** Offset up to which the log is known to be synced. */ syncedEnd: number })

/** Decodes the files of a replica, and tells damage from an incomplete last write. */
function decodeFiles (files: Files): DecodedFiles {
  const log = decodeRecords(files.log)
  try {
    const rawMeta = decodeSingleRecord('meta', files.meta)
    const rawSnapshot = decodeSingleRecord('snapshot', files.snapshot)
    if (rawMeta === undefined) {
      if (files.log.length > 0 || rawSnapshot !== undefined) return { kind: 'damaged', detail: 'file meta is missing, but a log or snapshot exists' }
      return { kind: 'empty' }
    }
    const mark = decodeFirstNumber(files.synced)
    if (log.validBytes < mark) return { kind: 'damaged', detail: `log is valid up to byte ${log.validBytes}, but was synced up to byte ${mark}` }
    const list = log.values.filter(isEntry).map(value => entries.entry.parse(value))
    const snapshot = rawSnapshot === undefined ? undefined : entries.snapshot.parse(rawSnapshot)
    const gap = findGap(list, snapshot)
    if (gap !== undefined) return { kind: 'damaged', detail: gap }
    // Besides entries the log contains numbers: the commit index at the time of the next append.
    const commitRecords = log.values.filter(value => typeof value === 'number')
    const entryEnds = log.ends.filter((end, i) => isEntry(log.values[i]))
    return {
      kind: 'found',
      meta: entries.meta.parse(rawMeta),
      snapshot,
      entries: list,
      tornBytes: files.log.length - log.validBytes,
      commitIndex: Math.max(0, ...commitRecords, decodeFirstNumber(files.committed)),
      ends: list.map((item, i) => ({ index: item.index, end: entryEnds[i] })),
      syncedEnd: mark
    }
  } catch (err) {
    return { kind: 'damaged', detail: err instanceof Error ? err.message : String(err) }
  }
}

function decodeSingleRecord (name: string, bytes: Buffer | undefined): unknown {
  if (bytes === undefined) return undefined
  const { values, validBytes } = decodeRecords(bytes)
  if (values.length !== 1 || validBytes !== bytes.length) throw new Error(`file ${name} is damaged: ${validBytes} of ${bytes.length} bytes are valid`)
  return values[0]
}

/** Returns 0 if there is no intact record: these files are written in place, and 0 is always safe. */
function decodeFirstNumber (bytes: Buffer | undefined): number {
  const value = bytes === undefined ? undefined : decodeRecords(bytes).values[0]
  return typeof value === 'number' ? value : 0
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
