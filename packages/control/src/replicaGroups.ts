/** Replica groups hosted by a control instance, and the transport between the replicas of a group. */
import * as path from 'node:path'
import * as crypto from 'node:crypto'
import * as links from '@kingcupdeck/links'
import * as membership from '@kingcupdeck/membership'
import * as state from '@kingcupdeck/state'
import * as telemetry from '@kingcupdeck/telemetry'

/** A message between replicas and the group that it belongs to. */
export interface GroupMessage { raft: string, msg: state.Rpc }

/** Options shared by all replica groups of an instance. */
export interface ReplicaGroupOptions {
  id: string
  controls: readonly membership.ControlAddress[]
  dataFolder: string
  peers: links.PeerLinks
  log: telemetry.Log
  invariants: telemetry.Invariants
  snapshotEvery?: number
  /** Whether the whole fleet starts for the first time, with empty folders. Default: false. */
  isFirstStart?: boolean
  /** Whether no other instance has run in this process, so that what this one acknowledged earlier precedes the process. Default: false. */
  ownsProcess?: boolean
}

/** Longer than a disk sync under load, shorter than the minimum election timeout. */
const RPC_TIMEOUT_MS = 800

/**
 * Parses the body of a call as a message between replicas.
 * @returns undefined if the body is no such message
 * @throws ZodError if it names a group but the message is invalid
 */
export function toGroupMessage (body: unknown): GroupMessage | undefined {
  const { raft, msg } = body as { raft?: unknown, msg?: unknown }
  if (typeof raft !== 'string') return undefined
  return { raft, msg: state.rpc.parse(msg) }
}

/**
 * Starts this instance's replica of a group.
 * @param machine the state machine that the group replicates
 * @param onLeadershipChange called when this replica becomes leader or stops being leader
 */
export async function startReplica (opts: ReplicaGroupOptions, group: string, machine: state.StateMachine, onLeadershipChange: (isLeader: boolean) => void): Promise<state.Replica> {
  return await state.createReplica({
    group,
    name: opts.id,
    founderNames: opts.controls.map(control => control.id),
    // A majority must be left of a fixed set of replicas.
    founding: { isFirstStart: opts.isFirstStart === true, maxFailedDisks: Math.floor((opts.controls.length - 1) / 2) },
    storage: await state.createFileStorage(path.join(opts.dataFolder, group)),
    transport: createTransport(opts, group),
    stateMachine: machine,
    clock: state.systemClock,
    startedAt: opts.ownsProcess === true ? state.PROCESS_STARTED_AT_MS : undefined,
    random: Math.random,
    createIncarnation: () => crypto.randomUUID(),
    log: opts.log,
    invariants: opts.invariants,
    snapshotEvery: opts.snapshotEvery,
    onLeadershipChange
  })
}

function createTransport (opts: ReplicaGroupOptions, group: string): state.Transport {
  return {
    async call (name, msg) {
      const control = opts.controls.find(item => item.id === name)
      if (control === undefined) throw new Error(`no control instance ${name} in the settings`)
      const link = await opts.peers.get(control.id, control.address)
      return state.rpcReply.parse(await link.call({ raft: group, msg } satisfies GroupMessage, RPC_TIMEOUT_MS))
    }
  }
}
