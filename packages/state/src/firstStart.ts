/**
 * What a replica was told when the whole system started for the first time, and whether its disk once belonged to a member. Both are
 * kept in the replica's folder, beside its log.
 *
 * This module may import built-in modules only, and modules that need no others: it is loaded before the rest of the program.
 */
import * as path from 'node:path'
import * as fileSystems from './fileSystem.js'
import * as replaceFiles from './replaceFile.js'

const FOUNDERS_FILE = 'founders'
const FORMER_FILE = 'former'
/** Differs from the replica's own temporary file, whose write may overlap with that of an earlier stage of the start. */
const EARLY_TEMP_FILE = 'founders.early'

/** What the folder of a replica says about the start of its group. */
export interface FirstStart {
  /** Sorted names of the founders that this replica was told at the first start of the whole system; null if it was told none. */
  founders: string[] | null
  /** Whether stored state was removed because it was damaged, so that this replica may have been a member. */
  isFormer: boolean
}

/** Returns founders in the form in which they are compared and stored. */
export function toFounders (names: readonly string[]): string[] {
  return [...new Set(names)].sort()
}

/** Reads what the folder of a replica says. An unreadable list counts as none. @throws Error when the disk fails */
export async function readFirstStart (folder: string, fs = fileSystems.nodeFileSystem): Promise<FirstStart> {
  const isFormer = await readFile(folder, FORMER_FILE, fs) !== undefined
  const content = await readFile(folder, FOUNDERS_FILE, fs)
  return { founders: isFormer || content === undefined ? null : parseFounders(content), isFormer }
}

/** Stores the founders, synced. @throws Error when the disk is full or fails */
export async function saveFounders (folder: string, founders: readonly string[], fs = fileSystems.nodeFileSystem): Promise<void> {
  await writeFounders(folder, founders, fs)
}

/** Removes the founders. Until that is durable they are ignored beside the replica's metadata. */
export async function removeFounders (folder: string, fs: fileSystems.FileSystem): Promise<void> {
  await fs.rm(path.join(folder, FOUNDERS_FILE), { force: true })
}

/**
 * Stores the founders, synced, before a replica exists that could do so; only in a folder without any state of a replica.
 * @param folder the replica's folder; created if missing
 * @throws Error when the disk is full or fails
 */
export async function saveFirstStart (folder: string, founders: readonly string[], fs = fileSystems.nodeFileSystem): Promise<void> {
  const firstCreated = await fs.mkdir(folder, { recursive: true }) ?? folder
  for (const name of ['meta', 'snapshot', FORMER_FILE, FOUNDERS_FILE]) if (await readFile(folder, name, fs) !== undefined) return
  const log = await readFile(folder, 'log', fs)
  if (log !== undefined && log.length > 0) return
  const named = replaceFiles.syncNames(folder, firstCreated, fs)
  // A failure is reported where it is waited for.
  named.catch(() => {})
  await writeFounders(folder, founders, fs, named, EARLY_TEMP_FILE)
}

/** Notes that damaged state is about to be removed. @throws Error when the disk is full or fails */
export async function saveFormer (folder: string, fs: fileSystems.FileSystem): Promise<void> {
  await replaceFiles.replaceFile(folder, FORMER_FILE, 'stored state was damaged and removed\n', fs)
  await removeFounders(folder, fs)
}

async function writeFounders (folder: string, founders: readonly string[], fs: fileSystems.FileSystem, before?: Promise<void>, tempName?: string): Promise<void> {
  await replaceFiles.replaceFile(folder, FOUNDERS_FILE, JSON.stringify(toFounders(founders)), fs, before, tempName)
}

function parseFounders (content: Buffer): string[] | null {
  try {
    const value: unknown = JSON.parse(content.toString())
    return Array.isArray(value) && value.length > 0 && value.every(item => typeof item === 'string') ? toFounders(value) : null
  } catch {
    // Without it, this replica founds the group like one that was told nothing.
    return null
  }
}

async function readFile (folder: string, name: string, fs: fileSystems.FileSystem): Promise<Buffer | undefined> {
  try {
    return await fs.readFile(path.join(folder, name))
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === 'ENOENT') return undefined
    throw err
  }
}
