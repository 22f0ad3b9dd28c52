/** Atomic, durable replacement of small files. */
import * as path from 'node:path'
import * as fileSystems from './fileSystem.js'

/**
 * Replaces a file atomically: writes a temporary file, syncs it, renames it and syncs the folder. After a power loss either
 * the old or the new content is found.
 * @param before what must be durable before the new content is found
 * @param tempName name of the temporary file
 * @throws Error when the disk is full or fails
 */
export async function replaceFile (folder: string, name: string, content: string | Buffer, fs = fileSystems.nodeFileSystem, before: Promise<void> = Promise.resolve(), tempName = `${name}.new`): Promise<void> {
  const tempFile = path.join(folder, tempName)
  // What an earlier attempt left is removed, not overwritten: a file whose sync has failed once is not relied on.
  await fs.rm(tempFile, { force: true })
  const handle = await fs.open(tempFile, 'w')
  try {
    await handle.writeFile(content)
    await handle.sync()
  } finally {
    await handle.close()
  }
  await before
  await fs.rename(tempFile, path.join(folder, name))
  await syncFolder(folder, fs)
}

/** Syncs a folder, which makes created, renamed and removed files durable. */
export async function syncFolder (folder: string, fs = fileSystems.nodeFileSystem): Promise<void> {
  const handle = await fs.open(folder, 'r')
  await handle.sync().finally(async () => { await handle.close() })
}

/**
 * Syncs the names of a folder and of its ancestors that were created with it. An earlier process may have ended before it did so.
 * @param firstCreated the outermost folder that was created
 */
export async function syncNames (folder: string, firstCreated: string, fs = fileSystems.nodeFileSystem): Promise<void> {
  for (let created = path.resolve(folder); ; created = path.dirname(created)) {
    await syncFolder(path.dirname(created), fs)
    if (created.length <= path.resolve(firstCreated).length) return
  }
}
