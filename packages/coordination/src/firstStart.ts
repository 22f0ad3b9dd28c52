/**
 * Stores that the whole fleet starts for the first time, before the rest of the program is loaded: a process that ends within its first
 * second, and is told otherwise at its next start, still founds the group. Imports only modules that need built-in ones alone.
 */
import * as path from 'node:path'
import * as firstStarts from '@kingcupdeck/state/firstStart'

/** Name of the replica's group, and of its folder in the data folder of an instance. */
export const GROUP = 'document'

/**
 * Stores the founders, synced, unless the replica has any state.
 * @param dataFolder the instance's data folder
 * @param founders inner addresses of the first voters
 * @throws Error when the disk is full or fails
 */
export async function saveFirstStart (dataFolder: string, founders: readonly string[]): Promise<void> {
  await firstStarts.saveFirstStart(path.join(dataFolder, GROUP), founders)
}
