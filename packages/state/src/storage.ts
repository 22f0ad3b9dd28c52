/** What a replica needs of its disk. All writes take effect in the order of the calls. */
import * as entries from './entries.js'

/** What was found when a replica started. */
export type LoadResult =
  | { kind: 'empty' }
  | { kind: 'damaged', detail: string }
  | { kind: 'found', meta: entries.Meta, snapshot: entries.Snapshot | undefined, entries: entries.Entry[], tornBytes: number, /** An entry up to which all are known to be committed. */ commitIndex: number }

/** The disk of one replica. A promise that resolves means synced; one that rejects is fatal for the replica. */
export interface Storage {
  /** Reads what is there. */
  load (): Promise<LoadResult>
  /** Removes everything, before a replica with a damaged folder starts anew. */
  wipe (): Promise<void>
  /** Writes term, vote and founding. */
  saveMeta (meta: entries.Meta): Promise<void>
  /** Writes entries behind the last one. */
  append (list: readonly entries.Entry[]): Promise<void>
  /** Notes, without syncing, up to where entries are committed; what a restart finds may be lower. */
  saveCommitIndex? (index: number): void
  /** Removes the entry with this index and all behind it. */
  truncateFrom (index: number): Promise<void>
  /** Writes a snapshot and removes the entries before `keepFrom`. */
  saveSnapshot (snapshot: entries.Snapshot, keepFrom: number): Promise<void>
  /** Closes files after the last write. */
  close (): Promise<void>
}
