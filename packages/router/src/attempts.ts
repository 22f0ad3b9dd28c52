/**
 * Attempts at the entry instance: dispatches a request to an owner, local or on a peer, and routes the owner's events
 * back by attempt id. Events of an attempt that is closed are dropped.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'

/** An event of an attempt; `linkLost` and `callerGone` are raised locally when the owner's link or the caller's connection closes. */
export type AttemptEvent = contracts.PeerEvent | { t: 'linkLost' } | { t: 'callerGone' }

/** Receives an owner's events of an attempt. */
export interface EventSink {
  send (event: contracts.PeerEvent): void
  isOpen (): boolean
  /** Resolves when the receiver's backpressure has cleared. */
  drained (): Promise<void>
}

/** One attempt at the entry instance. */
export interface Attempt {
  readonly id: string
  /** Resolves with the next event, in order. */
  next (): Promise<AttemptEvent>
  /** Queues `callerGone` behind the events received so far. */
  interrupt (): void
  /** Stops receiving events. */
  close (): void
}

/** The attempts of an entry instance. */
export interface Attempts {
  /** Dispatches a request to its owner. */
  start (owner: contracts.Instance, msg: contracts.Dispatch): Promise<Attempt>
  /** Delivers a peer's event to its attempt. */
  deliver (event: contracts.PeerEvent): void
  /** Notifies an owner of the endpoint that served a chat. */
  recordChatLocation (owner: contracts.Instance, event: Extract<contracts.PeerEvent, { t: 'placed' }>): void
  /**
   * Requests cancellation of an attempt from its owner.
   * @returns whether it may have reached an endpoint: `unknown` if the owner does not answer
   */
  cancel (owner: contracts.Instance, attempt: string): Promise<contracts.Ran>
}

/** Dependencies of {@link createAttempts}. */
export interface AttemptsOptions {
  selfId: string
  peers: links.PeerLinks
  /** Direct call to the owner role of this instance, like the two members below. */
  dispatchLocally (msg: contracts.Dispatch, sink: EventSink): void
  cancelLocally (attempt: string): { reached: boolean }
  recordChatLocationLocally (chat: string, home: string, endpoint: string): void
}

const CANCEL_TIMEOUT_MS = 1500

/** Creates the attempts of an entry instance. */
export function createAttempts (opts: AttemptsOptions): Attempts {
  const mailboxes = new Map<string, links.Mailbox<AttemptEvent>>()

  const startLocal = (msg: contracts.Dispatch, mailbox: links.Mailbox<AttemptEvent>): void => {
    opts.dispatchLocally(msg, {
      send: event => { if (mailboxes.get(msg.attempt) === mailbox) mailbox.put(event) },
      isOpen: () => mailboxes.get(msg.attempt) === mailbox,
      drained: async () => {}
    })
  }

  const startRemote = async (owner: contracts.Instance, msg: contracts.Dispatch, mailbox: links.Mailbox<AttemptEvent>): Promise<() => void> => {
    const link = await opts.peers.get(owner.id, owner.peer)
    const release = link.markBusy()
    void link.closed.then(() => { mailbox.put({ t: 'linkLost' }) })
    link.send(msg)
    return release
  }

  return {
    async start (owner, msg) {
      const mailbox = links.createMailbox<AttemptEvent>()
      mailboxes.set(msg.attempt, mailbox)
      let release = (): void => {}
      const close = (): void => {
        if (mailboxes.get(msg.attempt) === mailbox) mailboxes.delete(msg.attempt)
        release()
      }
      if (owner.id === opts.selfId) startLocal(msg, mailbox)
      else {
        try {
          release = await startRemote(owner, msg, mailbox)
        } catch {
          // No link could be opened, so the owner did not receive the request.
          mailbox.put({ t: 'declined', attempt: msg.attempt, reason: 'not_owner', load: 0, retryAfterMs: 0 })
        }
      }
      return { id: msg.attempt, next: mailbox.take, interrupt: () => { mailbox.put({ t: 'callerGone' }) }, close }
    },
    deliver (event) {
      if ('attempt' in event && event.t !== 'dispatch') mailboxes.get(event.attempt)?.put(event)
    },
    recordChatLocation (owner, event) {
      if (owner.id === opts.selfId) opts.recordChatLocationLocally(event.chat, event.home, event.endpoint)
      else opts.peers.peek(owner.id)?.send(event)
    },
    async cancel (owner, attempt) {
      if (owner.id === opts.selfId) return opts.cancelLocally(attempt).reached ? 'unknown' : 'no'
      try {
        const link = await opts.peers.get(owner.id, owner.peer)
        const reply = contracts.peerReply.parse(await link.call({ t: 'cancel', attempt } satisfies contracts.PeerCall, CANCEL_TIMEOUT_MS))
        return reply.t === 'cancel' && !reply.reached ? 'no' : 'unknown'
      } catch {
        return 'unknown'
      }
    }
  }
}
