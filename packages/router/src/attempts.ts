/**
 * Attempts as the entry instance sees them: a request handed to an owner, here or on a peer, and the events that come
 * back. Events are routed by attempt id, so one that belongs to an older attempt reaches nobody.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'

/** What comes back from an owner; `linkLost` stands for the end of the link that the owner was reached by. */
export type AttemptEvent = contracts.PeerEvent | { t: 'linkLost' } | { t: 'callerGone' }

/** Where an owner sends the events of an attempt. */
export interface EventSink {
  send (event: contracts.PeerEvent): void
  isOpen (): boolean
  /** @returns when a slow reader has caught up */
  drained (): Promise<void>
}

/** One attempt as the entry instance follows it. */
export interface Attempt {
  readonly id: string
  /** @returns the next event, in order */
  next (): Promise<AttemptEvent>
  /** Puts the news that the caller went away behind the events that came so far. */
  interrupt (): void
  /** Stops listening. */
  close (): void
}

/** The attempts of an entry instance. */
export interface Attempts {
  /** Hands a request to its owner. */
  start (owner: contracts.Instance, msg: contracts.Dispatch): Promise<Attempt>
  /** Takes an event that a peer sent. */
  deliver (event: contracts.PeerEvent): void
  /** Tells an owner where a chat ran. */
  recordChatLocation (owner: contracts.Instance, event: Extract<contracts.PeerEvent, { t: 'placed' }>): void
  /**
   * Asks an owner to drop an attempt.
   * @returns whether it may have reached an endpoint: `unknown` where the owner does not answer
   */
  cancel (owner: contracts.Instance, attempt: string): Promise<contracts.Ran>
}

/** What attempts are built from. */
export interface AttemptsOptions {
  selfId: string
  peers: links.PeerLinks
  /** The owner role of this same instance. */
  dispatchLocally (msg: contracts.Dispatch, sink: EventSink): void
  cancelLocally (attempt: string): { reached: boolean }
  recordChatLocationLocally (chat: string, home: string, endpoint: string): void
}

const CANCEL_MS = 1500

/**
 * Creates the attempts of an entry instance.
 * @param opts the ways to owners
 * @returns none yet
 */
export function createAttempts (opts: AttemptsOptions): Attempts {
  const open = new Map<string, Mailbox>()

  const startHere = (msg: contracts.Dispatch, mailbox: Mailbox): void => {
    opts.dispatchLocally(msg, {
      send: event => { if (open.get(msg.attempt) === mailbox) mailbox.put(event) },
      isOpen: () => open.get(msg.attempt) === mailbox,
      drained: async () => {}
    })
  }

  const startThere = async (owner: contracts.Instance, msg: contracts.Dispatch, mailbox: Mailbox): Promise<() => void> => {
    const link = await opts.peers.get(owner.id, owner.peer)
    const release = link.markBusy()
    void link.closed.then(() => { mailbox.put({ t: 'linkLost' }) })
    link.send(msg)
    return release
  }

  return {
    async start (owner, msg) {
      const mailbox = createMailbox()
      open.set(msg.attempt, mailbox)
      let release = (): void => {}
      const end = (): void => {
        if (open.get(msg.attempt) === mailbox) open.delete(msg.attempt)
        release()
      }
      if (owner.id === opts.selfId) startHere(msg, mailbox)
      else {
        try {
          release = await startThere(owner, msg, mailbox)
        } catch {
          // No link was opened, so the owner never saw the request.
          mailbox.put({ t: 'declined', attempt: msg.attempt, reason: 'not_owner', load: 0, retryAfterMs: 0 })
        }
      }
      return { id: msg.attempt, next: mailbox.take, interrupt: () => { mailbox.put({ t: 'callerGone' }) }, close: end }
    },
    deliver (event) {
      if ('attempt' in event && event.t !== 'dispatch') open.get(event.attempt)?.put(event)
    },
    recordChatLocation (owner, event) {
      if (owner.id === opts.selfId) opts.recordChatLocationLocally(event.chat, event.home, event.endpoint)
      else opts.peers.peek(owner.id)?.send(event)
    },
    async cancel (owner, attempt) {
      if (owner.id === opts.selfId) return opts.cancelLocally(attempt).reached ? 'unknown' : 'no'
      try {
        const link = await opts.peers.get(owner.id, owner.peer)
        const reply = contracts.peerReply.parse(await link.call({ t: 'cancel', attempt } satisfies contracts.PeerCall, CANCEL_MS))
        return reply.t === 'cancel' && !reply.reached ? 'no' : 'unknown'
      } catch {
        return 'unknown'
      }
    }
  }
}

interface Mailbox { put (event: AttemptEvent): void, take (): Promise<AttemptEvent> }

function createMailbox (): Mailbox {
  const held: AttemptEvent[] = []
  let waiter: ((event: AttemptEvent) => void) | undefined
  return {
    put (event) {
      const waiting = waiter
      waiter = undefined
      if (waiting !== undefined) waiting(event)
      else held.push(event)
    },
    async take () {
      const first = held.shift()
      if (first !== undefined) return first
      return await new Promise(resolve => { waiter = resolve })
    }
  }
}
