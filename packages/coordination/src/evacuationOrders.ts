/** Orders to start or end the evacuation of an availability zone, carried out at the leader of the document's group. */
import * as z from 'zod'
import * as discovery from '@kingcupdeck/discovery'
import type * as links from '@kingcupdeck/links'
import type * as state from '@kingcupdeck/state'
import * as documentMachines from './documentMachine.js'

/** Calls between control instances about evacuations. */
export const evacuationCall = z.discriminatedUnion('t', [
  z.object({ t: z.literal('readEvacuations') }),
  documentMachines.evacuationCommand
])
/** Calls between control instances about evacuations. */
export type EvacuationCall = z.infer<typeof evacuationCall>

/** Order to start or end the evacuation of a zone. */
export interface EvacuationOrder { zone: string, isEvacuated: boolean }

/** Runs an operation at the leader, local or remote; retries until it succeeds or the timeout expires. */
export type RunAtLeader = <T>(timeoutMs: number, locally: (leftMs: number) => Promise<T>, remotely: (link: links.Link, leftMs: number) => Promise<T>) => Promise<T>

/** Options of {@link createEvacuationOrders}. */
export interface EvacuationOrdersOptions {
  /** Returns the local replica. @throws Error while it is restarting */
  replica: () => state.Replica
  /** Returns the state machine of the local replica. */
  machine: () => documentMachines.DocumentMachine
  runAtLeader: RunAtLeader
  /** Timeout of a read for another control instance, in milliseconds. */
  readTimeoutMs: number
}

/** Carries out orders. */
export interface EvacuationOrders {
  /**
   * Starts or ends the evacuation of a zone. Resolves once the zone is in the requested state, as committed.
   * @param isWanted returns whether the order is still wanted; an order that its sender gave up must not revert a later one
   * @throws Error when the outcome is unknown after the timeout; the order may be repeated
   */
  execute (order: EvacuationOrder, isWanted: () => boolean, timeoutMs: number): Promise<discovery.Evacuations>
  /** Answers a call of another control instance. */
  onCall (call: EvacuationCall): Promise<discovery.Evacuations | documentMachines.EvacuationResult>
}

/**
 * How long an acknowledgement waits for control instances beyond a majority. After a loss of all processes, entry instances serve by the
 * first reports if a majority starts slowly.
 */
const ALL_VOTERS_TIMEOUT_MS = 300

/** Creates the orders of one control instance. */
export function createEvacuationOrders (opts: EvacuationOrdersOptions): EvacuationOrders {
  const readLocally = async (timeoutMs: number): Promise<discovery.Evacuations> => {
    await opts.replica().confirmLeadership(timeoutMs)
    return opts.machine().evacuations()
  }

  const proposeLocally = async (command: documentMachines.EvacuationCommand): Promise<documentMachines.EvacuationResult> => {
    const result = await opts.replica().propose(command) as documentMachines.EvacuationResult
    await opts.replica().awaitAllVoters(ALL_VOTERS_TIMEOUT_MS)
    return result
  }

  const read = async (timeoutMs: number): Promise<discovery.Evacuations> => {
    return await opts.runAtLeader(timeoutMs, readLocally, async (link, leftMs) => {
      return discovery.evacuations.parse(await link.call({ t: 'readEvacuations' } satisfies EvacuationCall, leftMs))
    })
  }

  const propose = async (command: documentMachines.EvacuationCommand, timeoutMs: number): Promise<documentMachines.EvacuationResult> => {
    return await opts.runAtLeader(timeoutMs, async () => await proposeLocally(command), async (link, leftMs) => {
      return documentMachines.evacuationResult.parse(await link.call(command satisfies EvacuationCall, leftMs))
    })
  }

  return {
    async execute ({ zone, isEvacuated }, isWanted, timeoutMs) {
      const deadline = performance.now() + timeoutMs
      while (true) {
        const held = await read(deadline - performance.now())
        if (held.zones.includes(zone) === isEvacuated) return held
        if (!isWanted()) throw new Error(`the sender of the order to ${isEvacuated ? 'evacuate' : 'restore'} zone "${zone}" has given it up: send it again`)
        const result = await propose({ t: 'evacuation', zone, isEvacuated, revision: held.revision }, deadline - performance.now())
        // The revision may be outdated by an earlier attempt of this order, whose reply was lost.
        if (result.evacuations.zones.includes(zone) === isEvacuated) return result.evacuations
      }
    },
    async onCall (call) {
      switch (call.t) {
        case 'readEvacuations': return await readLocally(opts.readTimeoutMs)
        case 'evacuation': return await proposeLocally(call)
      }
    }
  }
}
