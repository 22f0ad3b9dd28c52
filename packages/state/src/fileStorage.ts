/**
 * The disk of a replica as files in one folder: `meta`, `snapshot`, `log` and `synced`. Each record of the log carries a
 * CRC. Small files are replaced by writing beside, syncing, renaming and syncing the folder.
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

/**
 * Encodes a record: length, CRC, payload.
 * @param value what to store
 * @returns the record's bytes
 */
export function encodeRecord (value: unknown): Buffer {
  const payload = codec.encode(value)
  const out = Buffer.allocUnsafe(HEADER_BYTES + payload.length)
  out.writeUInt32BE(payload.length, 0)
  out.writeUInt32BE(zlib.crc32(payload), 4)
  out.set(payload, HEADER_BYTES)
  return out
}

/** The records at the start of a file that are whole, and how many bytes they take. */
export interface DecodedRecords { values: unknown[], ends: number[], validBytes: number }

/**
 * Reads records up to the first that is not whole.
 * @param bytes a file's content
 * @returns the records and the end of the last good one
 */
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
 * Opens the folder of a replica.
 * @param folder where the files live; made if absent
 * @returns the storage
 */
export async function createFileStorage (folder: string): Promise<storage.Storage> {
  await fs.mkdir(folder, { recursive: true })
  const file = (name: string) => path.join(folder, name)
  let log = await fs.open(file('log'), 'a+')
  let marker = await fs.open(file('synced'), 'a').then(async handle => { await handle.close(); return await fs.open(file('synced'), 'r+') })
  let ends: Array<{ index: number, end: number }> = []
  let size = 0
  let queue: Promise<unknown> = Promise.resolve()
  let committed = 0
  let isNoting = false

  const inOrder = async <T>(work: () => Promise<T>): Promise<T> => {
    const turn = queue.then(work)
    queue = turn.catch(() => {})
    return await turn
  }

  const end = (): number => ends.at(-1)?.end ?? 0

  // Guards against taking damage for a torn tail. The mark is written after the sync it speaks of and is not synced
  // itself, so it may be too low after a power loss but is never too high: a log whose good records end below it lost
  // entries that this replica had acknowledged.
  const mark = async (): Promise<void> => {
    const content = encodeRecord(end())
    await marker.write(content, 0, content.length, 0)
  }

  // Guards against a good log that is taken for damaged: when the log is about to become shorter, the lower mark must be on
  // the disk first. Otherwise a power loss may keep the shorter log and the older, higher mark, and every replica that
  // lost power at that moment would give up its vote.
  const lowerMark = async (end: number): Promise<void> => {
    const content = encodeRecord(end)
    await marker.write(content, 0, content.length, 0)
    await marker.datasync()
  }

  const rewriteLog = async (kept: readonly entries.Entry[]): Promise<void> => {
    const records = [...kept.map(encodeRecord), encodeRecord(committed)]
    await lowerMark(0)
    await replaceFiles.replaceFile(folder, 'log', Buffer.concat(records))
    await log.close()
    log = await fs.open(file('log'), 'a+')
    let at = 0
    ends = kept.map((item, i) => ({ index: item.index, end: (at += records[i].length) }))
    size = at + records[records.length - 1].length
    await mark()
  }

  const readOne = async (name: string): Promise<unknown> => {
    const bytes = await fs.readFile(file(name)).catch(() => undefined)
    if (bytes === undefined) return undefined
    const { values, validBytes: goodBytes } = decodeRecords(bytes)
    if (values.length !== 1 || goodBytes !== bytes.length) throw new Error(`${name} is damaged`)
    return values[0]
  }

  const readLog = async (): Promise<entries.Entry[]> => {
    const { values } = decodeRecords(await fs.readFile(file('log')))
    return values.filter(isEntry).map(value => entries.entry.parse(value))
  }

  const load = async (): Promise<storage.LoadResult> => {
    const bytes = await fs.readFile(file('log'))
    const records = decodeRecords(bytes)
    const { values, validBytes: goodBytes } = records
    try {
      const rawMeta = await readOne('meta')
      const rawSnapshot = await readOne('snapshot')
      if (rawMeta === undefined) {
        if (bytes.length > 0 || rawSnapshot !== undefined) return { kind: 'damaged', detail: 'meta is missing beside a log' }
        return { kind: 'empty' }
      }
      const list = values.filter(isEntry).map(value => entries.entry.parse(value))
      // Beside entries the log holds numbers: how far entries were committed when the next ones were written.
      const notes = values.filter(value => typeof value === 'number')
      const synced = decodeRecords(await fs.readFile(file('synced'))).values[0]
      if (typeof synced === 'number' && goodBytes < synced) return { kind: 'damaged', detail: `log is good up to byte ${goodBytes} of ${synced} synced` }
      const snapshot = rawSnapshot === undefined ? undefined : entries.snapshot.parse(rawSnapshot)
      const detail = findGap(list, snapshot)
      if (detail !== undefined) return { kind: 'damaged', detail }
      const tornBytes = bytes.length - goodBytes
      if (tornBytes > 0) await log.truncate(goodBytes)
      const entryEnds = records.ends.filter((end, i) => isEntry(values[i]))
      ends = list.map((item, i) => ({ index: item.index, end: entryEnds[i] }))
      size = goodBytes
      const note = decodeRecords(await fs.readFile(file('committed')).catch(() => Buffer.alloc(0))).values[0]
      committed = Math.max(0, ...notes, typeof note === 'number' ? note : 0)
      return { kind: 'found', meta: entries.meta.parse(rawMeta), snapshot, entries: list, tornBytes, commitIndex: committed }
    } catch (err) {
      return { kind: 'damaged', detail: err instanceof Error ? err.message : String(err) }
    }
  }

  return {
    load: async () => await inOrder(load),
    wipe: async () => {
      await inOrder(async () => {
        await log.close()
        await marker.close()
        for (const name of ['log', 'meta', 'snapshot', 'synced', 'committed']) await fs.rm(file(name), { force: true })
        await replaceFiles.syncFolder(folder)
        log = await fs.open(file('log'), 'a+')
        marker = await fs.open(file('synced'), 'w+')
        ends = []
        size = 0
        committed = 0
      })
    },
    saveMeta: async meta => { await inOrder(async () => { await replaceFiles.replaceFile(folder, 'meta', encodeRecord(meta)) }) },
    append: async list => {
      const records = list.map(encodeRecord)
      const indexes = list.map(item => item.index)
      await inOrder(async () => {
        // Synced together with the entries: after a power loss this much is known to be committed.
        const note = encodeRecord(committed)
        await log.appendFile(Buffer.concat([note, ...records]))
        await log.datasync()
        let at = size + note.length
        records.forEach((record, i) => ends.push({ index: indexes[i], end: (at += record.length) }))
        size = at
        await mark()
      })
    },
    saveCommitIndex (index) {
      committed = index
      if (isNoting) return
      isNoting = true
      // Written in the order of the log, so that it never speaks of an entry that is not there yet. A note that cannot be
      // written is only an older note.
      inOrder(async () => {
        isNoting = false
        await fs.writeFile(file('committed'), encodeRecord(committed))
      }).catch(() => {})
    },
    truncateFrom: async index => {
      await inOrder(async () => {
        const kept = ends.filter(item => item.index < index)
        await lowerMark(kept.at(-1)?.end ?? 0)
        size = kept.at(-1)?.end ?? 0
        await log.truncate(size)
        await log.datasync()
        ends = kept
      })
    },
    saveSnapshot: async (snapshot, keepFrom) => {
      await inOrder(async () => {
        await replaceFiles.replaceFile(folder, 'snapshot', encodeRecord(snapshot))
        const list = await readLog()
        await rewriteLog(list.filter(item => item.index >= keepFrom))
      })
    },
    close: async () => {
      await inOrder(async () => {
        await log.close()
        await marker.close()
      })
    }
  }
}

function isEntry (value: unknown): boolean {
  return typeof value !== 'number'
}

function findGap (list: readonly entries.Entry[], snapshot: entries.Snapshot | undefined): string | undefined {
  const first = list[0]
  if (first !== undefined && first.index > (snapshot?.lastIndex ?? 0) + 1) return `log begins at ${first.index}, behind the snapshot at ${snapshot?.lastIndex ?? 0}`
  for (let i = 1; i < list.length; i++) {
    if (list[i].index !== list[i - 1].index + 1) return `log jumps from ${list[i - 1].index} to ${list[i].index}`
  }
  return undefined
}
