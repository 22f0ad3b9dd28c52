// Files of a build that replace those of earlier builds while programs run from them, and after a loss of power.
import * as fs from 'node:fs'
import * as path from 'node:path'

/** Files that a program may still read while it starts, or that another build has not published yet, are kept for this time. */
const RETENTION_MS = 600_000

/** Returns the name under which a file is written before it gets its own. */
export function toTempFile (folder, name) {
  return path.join(folder, `${name}.${process.pid}.new`)
}

/** Makes names of a folder durable. */
export function syncFolder (folder) {
  const handle = fs.openSync(folder, 'r')
  fs.fsyncSync(handle)
  fs.closeSync(handle)
}

/** Replaces a file: a reader, also one after a loss of power, finds the old or the new content. */
export function replaceFile (folder, name, content) {
  const tempFile = toTempFile(folder, name)
  const handle = fs.openSync(tempFile, 'w')
  fs.writeFileSync(handle, content)
  fs.fsyncSync(handle)
  fs.closeSync(handle)
  publish(folder, tempFile, name)
}

/** Gives a synced temporary file its name. */
export function publish (folder, tempFile, name) {
  fs.renameSync(tempFile, path.join(folder, name))
  syncFolder(folder)
}

/** Removes files of earlier builds. @param isOld returns whether a file belongs to a build before the last two */
export function removeOldFiles (folder, isOld) {
  for (const name of fs.readdirSync(folder).filter(isOld)) {
    const file = path.join(folder, name)
    const stats = fs.statSync(file, { throwIfNoEntry: false })
    if (stats !== undefined && Date.now() - stats.mtimeMs > RETENTION_MS) fs.rmSync(file, { force: true })
  }
}
