/** Role of a replica in its group, and what a leader tracks. */
import type * as entries from './entries.js'

/** Replication progress of a peer, tracked by the leader. */
export interface PeerProgress {
  member: entries.Member
  /** Index of the next entry to send. */
  nextIndex: number
  /** Highest index known to be synced by the peer. */
  matchIndex: number
  /** Send time of the latest append that the peer acknowledged. */
  lastAckedSentAt: number
  /** Wakes the replication task of the peer. */
  wake: () => void
}

/** State of a leader for its term. */
export interface Leadership {
  term: number
  /** Index of the no-op entry that starts the term. */
  termStartIndex: number
  startedAt: number
  peers: Map<string, PeerProgress>
  learners: Map<string, entries.Member>
  /** Time of the latest admission that no removal has followed; -Infinity if there is none. */
  lastAdmittedAt: number
  pendingProposals: Map<number, { resolve: (result: unknown) => void, reject: (err: Error) => void }>
  /** Whether `onLeadershipChange` was called with true. */
  isAnnounced: boolean
}

/** Role of a replica in its group; `outside` before it is part of one. */
export type Role =
  | { kind: 'outside' }
  | { kind: 'follower' }
  | { kind: 'candidate' }
  | { kind: 'leader', leadership: Leadership }
