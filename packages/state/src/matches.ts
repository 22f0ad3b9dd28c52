/** Up to which entry the log of a replica matches that of the leader, and how much of it is synced. */
import type * as replicaCore from './replicaCore.js'
import type * as roles from './roles.js'

/** As follower, notes up to which entry the log matches that of the leader of a term, synced or not. */
export function noteMatch (core: Pick<replicaCore.Core, 'matched'>, term: number, index: number): void {
  // A message of an earlier leader may have waited for the disk until another one was heard from.
  if (term < core.matched.term) return
  core.matched = { term, index: term === core.matched.term ? Math.max(core.matched.index, index) : index }
}

/**
 * Returns what may be acknowledged to the leader of a term.
 * @returns the index up to which the synced log is known to match that of the leader, 0 if nothing is known or the term is not synced itself
 */
export function syncedMatch (core: Pick<replicaCore.Core, 'matched' | 'syncedIndex' | 'syncedMeta'>, term: number): number {
  // After a loss of power in an earlier term, a leader of that term could replace what was acknowledged.
  const isTermSynced = (core.syncedMeta?.term ?? -1) >= term
  return isTermSynced && core.matched.term === term ? Math.min(core.matched.index, core.syncedIndex) : 0
}

/**
 * As leader, notes what a member has synced.
 * @param lastSent the last entry that the member can have
 * @throws Error when the member acknowledges an entry that it was not sent
 */
export function acceptMatch (progress: roles.PeerProgress, match: number, lastSent: number): void {
  if (match > lastSent) throw new Error(`${progress.member.name} acknowledged entry ${match}, which it was not sent`)
  progress.matchIndex = Math.max(progress.matchIndex, match)
  progress.nextIndex = progress.matchIndex + 1
}
