/** Small files that are there whole after a loss of power, the old one or the new one. */
import * as fs from 'node:fs/promises'
import * as path from 'node:path'

/**
 * Replaces a file: writes beside it, syncs, renames, and syncs the folder, without which the rename may be lost.
 * @param folder where the file lies
 * @param name its name
 * @param content its new content
 * @throws Error when the disk takes no more or fails
 */
export async function replaceFile (folder: string, name: string, content: string | Buffer): Promise<void> {
  const beside = path.join(folder, `${name}.new`)
  const handle = await fs.open(beside, 'w')
  try {
    await handle.writeFile(content)
    await handle.sync()
  } finally {
    await handle.close()
  }
  await fs.rename(beside, path.join(folder, name))
  await syncFolder(folder)
}

/**
 * Makes the names in a folder last: files that were created, renamed or removed.
 * @param folder the folder
 */
export async function syncFolder (folder: string): Promise<void> {
  const handle = await fs.open(folder, 'r')
  await handle.sync().finally(async () => { await handle.close() })
}
