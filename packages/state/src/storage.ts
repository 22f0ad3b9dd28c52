/** Durable storage of a replica. Writes take effect in call order. */
import * as entries from './entries.js'
import type * as firstStarts from './firstStart.js'

/** Stored state found at startup. */
export type LoadResult =
  | { kind: 'empty' } & Partial<firstStarts.FirstStart>
  | { kind: 'damaged', detail: string }
  | { kind: 'found', meta: entries.Meta, snapshot: entries.Snapshot | undefined, entries: entries.Entry[], tornBytes: number, /** Index up to which entries are known to be committed. */ commitIndex: number } & Partial<firstStarts.FirstStart>

/** Durable storage of one replica. A resolved promise means synced to disk; a rejected one is fatal for the replica. */
export interface Storage {
  load (): Promise<LoadResult>
  /** Removes all stored state, before a replica with damaged storage starts empty, and notes that there was one. */
  wipe (): Promise<void>
  /** Stores the founders that this replica was told at the first start of the whole system. */
  saveFounders? (founders: readonly string[]): Promise<void>
  /** Removes what {@link saveFounders} stored. */
  removeFounders? (): Promise<void>
  saveMeta (meta: entries.Meta): Promise<void>
  append (list: readonly entries.Entry[]): Promise<void>
  /** Records the commit index without syncing, so a restart may find a lower one. */
  saveCommitIndex? (index: number): void
  /** Removes the entry with this index and all later ones. */
  truncateFrom (index: number): Promise<void>
  /** Stores a snapshot and removes the entries before index `keepFrom`. */
  saveSnapshot (snapshot: entries.Snapshot, keepFrom: number): Promise<void>
  /** Closes the files after pending writes. */
  close (): Promise<void>
}
