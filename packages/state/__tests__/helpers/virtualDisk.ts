/** Disks of replicas on virtual time: how long their operations take, and which of them fail or never complete. */
import * as firstStarts from '../../src/firstStart.js'
import * as state from '../../src/index.js'
import type * as memoryDisks from './memoryDisk.js'
import type * as powerLossDisks from './powerLossDisk.js'

/** The folder above it exists before the first start, as the platform's data folder does. */
export const FOLDER = '/test'
/** How long the program waits for the mark of the first start before it goes on, as the platform's first stage does. */
const MAX_MARK_MS = 300

/** What the operations of one process on its disk depend on. */
export interface Access {
  sleep: (ms: number) => Promise<void>
  /** Returns how long the next sync takes. */
  drawSyncMs: () => number
  isDead: () => boolean
}

/** Faults of a disk that holds values. */
export interface ValueDiskFaults { isStalled: () => boolean, isFull: () => boolean, isFaulty: () => boolean }

/** Opens the storage of a replica on a disk that holds values. */
export function openValues (disk: memoryDisks.MemoryDisk, access: Access, faults: ValueDiskFaults, onGap: (indexes: string) => void): state.Storage {
  let queue: Promise<void> = Promise.resolve()
  // A write is synced after a delay; a crash before that loses it.
  const write = async (apply: () => void, applyPart: () => void = () => {}): Promise<void> => {
    const turn = queue.then(async () => {
      await access.sleep(access.drawSyncMs())
      while (faults.isStalled() && !access.isDead()) await access.sleep(10)
      if (access.isDead()) await new Promise(() => {})
      if (faults.isFull()) throw new Error('no space left on device')
      if (faults.isFaulty()) {
        applyPart()
        throw new Error('input/output error')
      }
      apply()
    })
    queue = turn.catch(() => {})
    await turn
  }
  return disk.createStorage(write, onGap)
}

/** Returns the files of a disk as one process sees them. @param beforeOperation may delay or reject an operation of the process */
export function connectFiles (disk: powerLossDisks.PowerLossDisk, access: Access, beforeOperation: (operation: number) => Promise<void> = async () => {}): state.FileSystem {
  let operations = 0
  return disk.connect(async isSync => {
    if (isSync) await access.sleep(access.drawSyncMs())
    if (!access.isDead()) await beforeOperation(operations++)
    if (access.isDead()) await new Promise(() => {})
  })
}

/** Stores what a process was told, as the program does before its replica is loaded. */
export async function markFirstStart (files: state.FileSystem, founders: readonly string[], sleep: Access['sleep']): Promise<void> {
  await Promise.race([firstStarts.saveFirstStart(FOLDER, founders, files).catch(() => {}), sleep(MAX_MARK_MS)])
}
