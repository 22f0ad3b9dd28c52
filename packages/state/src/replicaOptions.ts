/** Options and interfaces of a replica, and the error of failed proposals. */
import * as contracts from '@kingcupdeck/contracts'
import * as telemetry from '@kingcupdeck/telemetry'
import * as clocks from './clock.js'
import * as entries from './entries.js'
import * as storage from './storage.js'

/** Replicated state machine. `apply` must be deterministic: it may depend only on the state, the command and its context. */
export interface StateMachine {
  /** Applies a committed command. @returns the result for the proposer */
  apply (command: unknown, ctx: { index: number, atMs: number }): unknown
  /** @returns the serialized state */
  save (): Uint8Array
  /** Replaces the state by a serialized one. */
  restore (state: Uint8Array): void
}

/** Calls between replicas. */
export interface Transport {
  /** @throws Error when there is no reply */
  call (name: string, msg: entries.Rpc): Promise<entries.RpcReply>
}

/** Timing of failure detection, in milliseconds. */
export interface ReplicaTiming {
  /** Interval of heartbeats to followers that are up to date. */
  heartbeatMs: number
  /** Lower bound of the randomized election timeout. */
  electionMinMs: number
  /** Upper bound of the randomized election timeout, which avoids split votes. */
  electionMaxMs: number
}

/** Timing of the control instances. */
export const DEFAULT_TIMING: ReplicaTiming = { heartbeatMs: contracts.HEARTBEAT_INTERVAL_MS, electionMinMs: contracts.ELECTION_TIMEOUT_MIN_MS, electionMaxMs: contracts.ELECTION_TIMEOUT_MAX_MS }

/** How a group is founded whose processes may end, or be away, at its first start. */
export interface FoundingOptions {
  /** Whether the whole system starts for the first time, with empty disks. All founders are told the same names then. */
  isFirstStart: boolean
  /** Number of disks that may be lost at the same time. */
  maxFailedDisks: number
  /** Returns whether there is a sign that the group exists, such as a document that it has stored. */
  mayHaveGroup?: () => boolean
}

export interface ReplicaOptions {
  /** Name of the replica group, for logs. */
  group: string
  name: string
  /** Names of the replicas that bootstrap the group; without dynamic membership these are all its replicas. */
  founderNames: readonly string[]
  /**
   * Whether this replica may bootstrap the group; false after a restart with an empty disk. Default: true. Not used with `founding`.
   */
  canBootstrap?: boolean
  /** How the group is founded if not all founders live through the first start. Default: only while all of them are up, by the first one. */
  founding?: FoundingOptions
  /** Names of replicas to contact for joining. Default: the founders. */
  contacts?: () => readonly string[]
  /** Whether replicas other than the founders are admitted, and unresponsive voters removed. Default: false. */
  isDynamic?: boolean
  /** Default: the timing of the control instances. */
  timing?: ReplicaTiming
  /** Minimum number of voters that the removal of an unresponsive voter may leave. Default: 3. */
  minVoters?: number
  storage: storage.Storage
  transport: Transport
  stateMachine: StateMachine
  clock: clocks.Clock
  /** Monotonic time by which every earlier incarnation of this replica had ended, milliseconds. Default: when this one is created. */
  startedAt?: number
  /** A number in [0, 1). */
  random: () => number
  /** Generates a unique incarnation for an empty data folder. */
  createIncarnation: () => string
  log: telemetry.Log
  invariants: telemetry.Invariants
  /** Number of applied entries between two snapshots. Default: 500. */
  snapshotEvery?: number
  /** Called with true once this replica leads and is ready, and with false when it stops leading. */
  onLeadershipChange?: (isLeader: boolean) => void
  /** Called once when the storage failed and the replica has stopped. */
  onFailed?: () => void
}

/** A proposal was rejected, or its outcome is unknown. */
export class ProposalError extends Error {
  /**
   * @param kind `notLeader`: not appended; `unknown`: the outcome is not known, since leadership was lost or not confirmed in time
   * @param leader name of the leader, if known
   */
  constructor (readonly kind: 'notLeader' | 'unknown', readonly leader: string | null) {
    super(kind === 'notLeader' ? `this replica is not the leader; retry at ${leader ?? 'another replica'}` : 'leadership was lost or not confirmed in time; the outcome is unknown')
    this.name = 'ProposalError'
  }
}
