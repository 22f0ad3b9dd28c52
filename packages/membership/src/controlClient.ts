/** Calls to the control instances: finds the leader of a group and follows it when it changes. */
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'

/** A control instance as the settings name it. */
export interface ControlAddress { id: string, address: string }

/** Which replica group a call is for. */
export type ReplicaGroup = 'fleet' | `ledger-${number}`

/** Calls to the control instances. */
export interface ControlClient {
  /**
   * Asks the leader of a group, trying on until the deadline.
   * @returns its answer, never `notLeader`
   * @throws ControlError when no leader answered in time; the call may or may not have been obeyed
   */
  call (group: ReplicaGroup, msg: contracts.ControlCall, timeoutMs: number): Promise<contracts.ControlReply>
  /** Sends the leader of the fleet's group an event, if a link to it is open. */
  send (msg: contracts.ControlEvent): void
  close (): void
}

/** No leader answered in time. */
export class ControlError extends Error {}

/** A single try waits this long, so that a frozen leader costs no more. */
const TRY_MS = 1200
const PAUSE_MS = 60

/** What a control client is built from. */
export interface ControlClientOptions extends Omit<links.LinkSettings, 'handlers'> {
  controls: readonly ControlAddress[]
  onEvent (msg: contracts.ControlEvent): void
}

/**
 * Creates a client of the control instances.
 * @param opts who we are, and where the control instances are
 * @returns the client
 */
export function createControlClient (opts: ControlClientOptions): ControlClient {
  const leaders = new Map<ReplicaGroup, string>()
  const book = links.createPeerLinks({
    ...opts,
    handlers: {
      onEvent: body => {
        const msg = contracts.controlEvent.safeParse(body)
        if (msg.success) opts.onEvent(msg.data)
      },
      onCall: async () => { throw new Error('a client takes no calls') }
    }
  })

  const tryOne = async (control: ControlAddress, msg: contracts.ControlCall, timeoutMs: number): Promise<contracts.ControlReply> => {
    const link = await book.get(control.id, control.address)
    return contracts.controlReply.parse(await link.call(msg, timeoutMs))
  }

  const next = (id: string | undefined): ControlAddress => {
    const at = opts.controls.findIndex(item => item.id === id)
    return opts.controls[(at + 1) % opts.controls.length]
  }

  return {
    async call (group, msg, timeoutMs) {
      const deadline = performance.now() + timeoutMs
      let target = opts.controls.find(item => item.id === leaders.get(group)) ?? opts.controls[0]
      while (true) {
        const left = deadline - performance.now()
        if (left <= 0) throw new ControlError(`no leader of group ${group} answered within ${timeoutMs} ms`)
        let hint: string | undefined
        try {
          const reply = await tryOne(target, msg, Math.min(TRY_MS, left))
          if (reply.t !== 'notLeader') {
            leaders.set(group, target.id)
            return reply
          }
          hint = reply.leader ?? undefined
        } catch {
          hint = undefined
        }
        const hinted = opts.controls.find(item => item.id === hint && item.id !== target.id)
        target = hinted ?? next(target.id)
        await timers.setTimeout(PAUSE_MS)
      }
    },
    send (msg) {
      const leader = leaders.get('fleet')
      if (leader !== undefined) book.peek(leader)?.send(msg)
    },
    close () { book.close() }
  }
}
