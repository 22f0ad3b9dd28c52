/** What a replica is built from, and what may come of a proposal. */
import * as contracts from '@kingcupdeck/contracts'
import * as telemetry from '@kingcupdeck/telemetry'
import * as clocks from './clock.js'
import * as entries from './entries.js'
import * as storage from './storage.js'

/** The state that a group replicates. Applying must depend on nothing but the command and its context. */
export interface StateMachine {
  /** Applies a committed command. @returns what the proposer gets */
  apply (command: unknown, ctx: { index: number, atMs: number }): unknown
  /** @returns the whole state */
  save (): Uint8Array
  /** Replaces the whole state. */
  restore (state: Uint8Array): void
}

/** How replicas reach each other. */
export interface Transport {
  /** Asks another replica. @throws Error when there is no reply */
  call (name: string, msg: entries.Rpc): Promise<entries.RpcReply>
}

/** How fast a group notices that its leader is gone. All in milliseconds. */
export interface ReplicaTiming {
  /** How often a leader sends to a follower that has nothing new to get. */
  heartbeatMs: number
  /** Shortest silence of the leader after which a replica stands for election. */
  electionMinMs: number
  /** Longest such silence: the spread keeps replicas from standing at the same time. */
  electionMaxMs: number
}

/** That of a fleet's control instances. */
export const DEFAULT_TIMING: ReplicaTiming = { heartbeatMs: contracts.HEARTBEAT_INTERVAL_MS, electionMinMs: contracts.ELECTION_TIMEOUT_MIN_MS, electionMaxMs: contracts.ELECTION_TIMEOUT_MAX_MS }

/** What a replica is built from. */
export interface ReplicaOptions {
  /** Name of the group, for logs. */
  group: string
  /** Name of this replica. */
  name: string
  /** Names of the replicas that found the group; in a closed group these are all replicas there will ever be. */
  founderNames: readonly string[]
  /** Whether this replica may take part in founding; false after a restart with an empty disk. Default: true. */
  canBootstrap?: boolean
  /** Names to greet and to ask for admission; the founders when absent. */
  contacts?: () => readonly string[]
  /** Whether replicas that are no founders may be admitted, and voters that stay silent retired. */
  isDynamic?: boolean
  /** How fast failures are noticed; that of a fleet's control instances when absent. */
  timing?: ReplicaTiming
  /** The fewest voters that retiring silent ones may leave. */
  minVoters?: number
  storage: storage.Storage
  transport: Transport
  stateMachine: StateMachine
  clock: clocks.Clock
  /** A number in [0, 1). */
  random: () => number
  /** A fresh incarnation for a new data folder. */
  createIncarnation: () => string
  log: telemetry.Log
  invariants: telemetry.Invariants
  /** Applied entries between two snapshots. */
  snapshotEvery?: number
  /** Told when this replica starts to lead (and is ready) or stops. */
  onLeadershipChange?: (isLeader: boolean) => void
  /** Told once when the disk failed and this replica can do nothing more. */
  onFailed?: () => void
}

/** A proposal was not taken, or its outcome is not known. */
export class ProposalError extends Error {
  /**
   * @param kind `notLeader`: nothing was appended; `unknown`: it was appended but leadership was lost before commit
   * @param leader the leader's name if known
   */
  constructor (readonly kind: 'notLeader' | 'unknown', readonly leader: string | null) {
    super(kind === 'notLeader' ? `not the leader; try ${leader ?? 'another replica'}` : 'leadership was lost before the outcome was known')
    this.name = 'ProposalError'
  }
}
