/**
 * File-based storage of a replica, one folder with the files `meta`, `snapshot`, `log`, `synced` and `committed`, beside those of
 * firstStart.ts. Records are framed with their length and a CRC.
 */
import * as path from 'node:path'
import * as entries from './entries.js'
import * as fileSystems from './fileSystem.js'
import * as firstStarts from './firstStart.js'
import * as records from './records.js'
import * as replaceFiles from './replaceFile.js'
import * as storage from './storage.js'
import * as storedFiles from './storedFiles.js'

/**
 * Opens the storage of a replica.
 * @param folder data folder; created if missing
 */
export async function createFileStorage (folder: string, fs = fileSystems.nodeFileSystem): Promise<storage.Storage> {
  const firstCreated = await fs.mkdir(folder, { recursive: true }) ?? folder
  const toPath = (name: string) => path.join(folder, name)
  const hasMeta = await exists(toPath('meta'), fs)
  // Metadata is written only beside a log, and removed before it.
  let isIncomplete = hasMeta && !await exists(toPath('log'), fs)
  if (isIncomplete) await removeMeta(folder, fs)
  let log = await fs.open(toPath('log'), 'a+')
  let syncedFile = await openForUpdate(toPath('synced'), fs).catch(async err => {
    await log.close()
    throw err
  })
  const folderDurable = Promise.all([replaceFiles.syncNames(folder, firstCreated, fs), hasMeta ? undefined : replaceFiles.syncFolder(folder, fs)])
  // A failure is reported where it is waited for.
  folderDurable.catch(() => {})
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
    const content = records.encodeRecord(size)
    await syncedFile.write(content, 0, content.length, 0)
  }

  // Guards against treating an intact log as damaged: before the log is shortened, the lower mark must be synced. Otherwise
  // a power loss may leave the shorter log with the previous, higher mark.
  const clearSyncedMark = async (): Promise<void> => {
    const content = records.encodeRecord(0)
    await syncedFile.write(content, 0, content.length, 0)
    await syncedFile.datasync()
  }

  /** @param before what must be durable before the log is replaced */
  const rewriteLog = async (kept: readonly entries.Entry[], before?: Promise<void>): Promise<void> => {
    const commitRecord = records.encodeRecord(commitIndex)
    const encoded = kept.map(records.encodeRecord)
    const prepared = Promise.all([clearSyncedMark(), before]).then(() => {})
    // A failure is reported where it is waited for.
    prepared.catch(() => {})
    await replaceFiles.replaceFile(folder, 'log', Buffer.concat([commitRecord, ...encoded]), fs, prepared)
    await log.close()
    log = await fs.open(toPath('log'), 'a+')
    size = commitRecord.length
    ends = kept.map((item, i) => ({ index: item.index, end: (size += encoded[i].length) }))
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
    const { values } = records.decodeRecords(await fs.readFile(toPath('log')))
    return values.filter(storedFiles.isEntry).map(value => entries.entry.parse(value))
  }

  const load = async (): Promise<storage.LoadResult> => {
    if (isIncomplete) return { kind: 'damaged', detail: 'file meta exists, but its log does not' }
    const log = await fs.readFile(toPath('log'))
    const stored = storedFiles.decodeFiles({
      log,
      meta: await readFile('meta'),
      snapshot: await readFile('snapshot'),
      synced: await readFile('synced'),
      committed: await readFile('committed')
    })
    if (stored.kind === 'damaged') return stored
    const { founders, isFormer } = await firstStarts.readFirstStart(folder, fs)
    if (founders !== null) stored.founders = founders
    if (isFormer) stored.isFormer = true
    if (stored.kind === 'empty') return stored
    commitIndex = stored.commitIndex
    ends = stored.ends
    size = log.length
    // What was not marked as synced may be lost at the next power loss although it can be read, also after a later sync of the same
    // file: a failed sync drops the changes of a file. An entry behind those that a snapshot has replaced would leave a gap.
    if (!stored.isLogReplaced && size <= stored.syncedEnd && stored.syncedEnd > 0) return stored
    // The process may have ended between the rename of the metadata or the snapshot and the sync of the folder.
    await rewriteLog(stored.entries, replaceFiles.syncFolder(folder, fs))
    return stored
  }

  return {
    load: async () => {
      // Nothing is stored, or acknowledged, before the folder is durable.
      const [loaded] = await Promise.all([enqueue(load), folderDurable])
      return loaded
    },
    wipe: async () => {
      await enqueue(async () => {
        await log.close()
        await syncedFile.close()
        await removeMeta(folder, fs)
        for (const name of ['log', 'snapshot', 'synced', 'committed']) await fs.rm(toPath(name), { force: true })
        await replaceFiles.syncFolder(folder, fs)
        log = await fs.open(toPath('log'), 'a+')
        syncedFile = await fs.open(toPath('synced'), 'w+')
        ends = []
        size = 0
        commitIndex = 0
        isIncomplete = false
      })
    },
    saveFounders: async founders => { await enqueue(async () => { await firstStarts.saveFounders(folder, founders, fs) }) },
    removeFounders: async () => { await enqueue(async () => { await firstStarts.removeFounders(folder, fs) }) },
    saveMeta: async meta => { await enqueue(async () => { await replaceFiles.replaceFile(folder, 'meta', records.encodeRecord(meta), fs) }) },
    append: async list => {
      const encoded = list.map(records.encodeRecord)
      const indexes = list.map(item => item.index)
      await enqueue(async () => {
        // Replaced at once, so that a log that begins without an intact record is damaged, not torn, also without its mark.
        if (size === 0) return await rewriteLog(list)
        // Synced together with the entries, so that the commit index survives a power loss.
        const commitRecord = records.encodeRecord(commitIndex)
        await log.appendFile(Buffer.concat([commitRecord, ...encoded]))
        await log.datasync()
        let at = size + commitRecord.length
        encoded.forEach((record, i) => ends.push({ index: indexes[i], end: (at += record.length) }))
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
        await fs.writeFile(toPath('committed'), records.encodeRecord(commitIndex))
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
        await replaceFiles.replaceFile(folder, 'snapshot', records.encodeRecord(snapshot), fs)
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

/** Notes that there was state, then removes its metadata: what an interrupted removal leaves is wiped at the next start too. */
async function removeMeta (folder: string, fs: fileSystems.FileSystem): Promise<void> {
  await firstStarts.saveFormer(folder, fs)
  await fs.rm(path.join(folder, 'meta'), { force: true })
  await replaceFiles.syncFolder(folder, fs)
}

async function exists (file: string, fs: fileSystems.FileSystem): Promise<boolean> {
  try {
    await (await fs.open(file, 'r')).close()
    return true
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === 'ENOENT') return false
    throw err
  }
}

/** Opens a file for reading and writing; creates it if it is missing. */
async function openForUpdate (file: string, fs: fileSystems.FileSystem): Promise<fileSystems.OpenFile> {
  await (await fs.open(file, 'a')).close()
  return await fs.open(file, 'r+')
}
