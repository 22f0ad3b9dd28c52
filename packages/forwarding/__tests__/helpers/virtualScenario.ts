/** What happens in a run of the virtual fleet, and what is seen of it. */

/** What happens in a run of the model. */
export interface Scenario {
  seed: number
  instances: number
  endpoints: number
  /** Crashing requests, and clients that send each of them. */
  crashing: number
  copies: number
  /** Time from the start of a run to the crash. */
  crashMs: number
  /** Time for which a run waits in the queue of its endpoint at most. */
  queueMs: number
  /** Other requests in a second, their mean duration, and the share of them that are the same request. */
  rate: number
  meanMs: number
  popularShare: number
  /** Maximum delay of a message between instances. */
  gossipMs: number
  /** Share of the messages between instances that are lost. */
  lossShare: number
  /** Interval at which an instance is replaced by one that has just started; never if undefined. */
  restartMs?: number
  /** Parts of prompts that crash endpoints, and new requests with each of them in a second. */
  badParts: number
  badPerS: number
  /** Whether the part is the first one of its prompts; otherwise it follows a root that all prompts share. */
  isFirst: boolean
  /** Share of the other requests that have such a part before it turns bad. */
  turnsBadShare: number
  /** Other parts that come only with a crashing one until a moment after it has crashed endpoints. */
  hasNeighbours: boolean
}

/** What was seen in a run of the model. */
export interface Outcome {
  crashes: number
  /** The most sends of a crashing request later than 3 s after its third crash. */
  lateSends: number
  /** Other requests that were asked for, and those that ended with a rejection. */
  others: number
  rejected: number
  /** The most crashes of a part, and the most sends of one later than 3 s after its fifth crash. */
  partCrashes: number
  latePartSends: number
  /** Other requests from twice 3 s after the last fifth crash on, and those rejected at the first attempt. */
  settled: number
  settledRejected: number
}

/** Defaults of a scenario. */
export const QUIET: Omit<Scenario, 'seed'> = { instances: 8, endpoints: 12, crashing: 1, copies: 1, crashMs: 70, queueMs: 0, rate: 60, meanMs: 800, popularShare: 0, gossipMs: 10, lossShare: 0, badParts: 0, badPerS: 3, isFirst: false, turnsBadShare: 0, hasNeighbours: false }
