/** Client of the control instances: calls the leader of a replica group and follows leader changes. */
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'

/** Id and address of a control instance, from the settings. */
export interface ControlAddress { id: string, address: string }

/** Name of a replica group of the control instances. */
export type ReplicaGroup = 'fleet' | `ledger-${number}`

export interface ControlClient {
  /**
   * Calls the leader of a group, retrying until the deadline.
   * @returns the leader's reply, never `notLeader`
   * @throws ControlError when no leader replied in time; the call may or may not have taken effect
   */
  call (group: ReplicaGroup, msg: contracts.ControlCall, timeoutMs: number): Promise<contracts.ControlReply>
  /** Sends an event to the leader of the `fleet` group; dropped when no link to it is open. */
  send (msg: contracts.ControlEvent): void
  close (): void
}

/** No leader replied before the deadline. */
export class ControlError extends Error {}

/** Timeout of a single attempt, which bounds the delay caused by an unresponsive leader. */
const ATTEMPT_TIMEOUT_MS = 1200
const RETRY_DELAY_MS = 60

export interface ControlClientOptions extends Omit<links.LinkSettings, 'handlers'> {
  controls: readonly ControlAddress[]
  onEvent (msg: contracts.ControlEvent): void
}

export function createControlClient (opts: ControlClientOptions): ControlClient {
  const leaders = new Map<ReplicaGroup, string>()
  const peerBook = links.createPeerLinks({
    ...opts,
    handlers: {
      onEvent: body => {
        const msg = contracts.controlEvent.safeParse(body)
        if (msg.success) opts.onEvent(msg.data)
      },
      onCall: async () => { throw new Error('a control client accepts no calls') }
    }
  })

  const callInstance = async (control: ControlAddress, msg: contracts.ControlCall, timeoutMs: number): Promise<contracts.ControlReply> => {
    const link = await peerBook.get(control.id, control.address)
    return contracts.controlReply.parse(await link.call(msg, timeoutMs))
  }

  const nextControl = (id: string | undefined): ControlAddress => {
    const at = opts.controls.findIndex(item => item.id === id)
    return opts.controls[(at + 1) % opts.controls.length]
  }

  return {
    async call (group, msg, timeoutMs) {
      const deadline = performance.now() + timeoutMs
      let target = opts.controls.find(item => item.id === leaders.get(group)) ?? opts.controls[0]
      while (true) {
        const remainingMs = deadline - performance.now()
        if (remainingMs <= 0) throw new ControlError(`no leader of replica group ${group} replied within ${timeoutMs} ms`)
        let hint: string | undefined
        try {
          const reply = await callInstance(target, msg, Math.min(ATTEMPT_TIMEOUT_MS, remainingMs))
          if (reply.t !== 'notLeader') {
            leaders.set(group, target.id)
            return reply
          }
          hint = reply.leader ?? undefined
        } catch {
          hint = undefined
        }
        const hinted = opts.controls.find(item => item.id === hint && item.id !== target.id)
        target = hinted ?? nextControl(target.id)
        await timers.setTimeout(RETRY_DELAY_MS)
      }
    },
    send (msg) {
      const leader = leaders.get('fleet')
      if (leader !== undefined) peerBook.peek(leader)?.send(msg)
    },
    close () { peerBook.close() }
  }
}
