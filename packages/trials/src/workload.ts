/** The days of the two users, small: chats that return after pauses, repeated questions, night tagging, charges with resends. */
import * as callers from './callers.js'
import * as randoms from './random.js'
import * as answers from './standIn/answers.js'

/** One kind of traffic. */
export interface Stream {
  account: string
  model: string
  /** Chats that return. */
  chats: number
  /** Turns a second over all of them, started whether earlier ones have ended or not. */
  turnsPerSecond: number
  /** Words of a first question, of a later one, and of an answer. */
  words: { opening: number, turn: number, answer: number }
  /** Further headers. */
  headers?: Record<string, string>
  /** Whether answers are streamed. */
  isStreamed: boolean
  /** Seconds from the start at which it begins and ends; all the time when absent. */
  from?: number
  to?: number
  /** The chance that a caller asks the same question twice. */
  repeats?: number
  /** Each turn opens a chat of its own, as a surge does. */
  isOneOff?: boolean
}

/** Non-idempotent calls. */
export interface Charges { account: string, service: string, call: string, perSecond: number, impatience: number }

/** A day, small. */
export interface Day { streams: Stream[], charges: Charges[] }

const words = (opening: number, turn: number, answer: number): Stream['words'] => ({ opening, turn, answer })

/**
 * The day of a deployment.
 * @param deployment whose
 * @param scale multiplies all rates
 * @returns its traffic
 */
export function toDay (deployment: 'suwanrat' | 'vanua', scale = 1): Day {
  switch (deployment) {
    case 'suwanrat': return {
      streams: [
        { account: 'conservators', model: 'frame-assistant', chats: 40, turnsPerSecond: 8 * scale, words: words(300, 60, 40), isStreamed: true },
        { account: 'clerks', model: 'frame-assistant', chats: 60, turnsPerSecond: 10 * scale, words: words(120, 30, 24), isStreamed: true },
        { account: 'client-portal', model: 'frame-assistant', chats: 80, turnsPerSecond: 8 * scale, words: words(100, 30, 24), isStreamed: false, repeats: 0.4 },
        { account: 'archive', model: 'archive-tagger', chats: 30, turnsPerSecond: 6 * scale, words: words(250, 40, 30), isStreamed: false, headers: { 'x-priority': 'batch' } }
      ],
      charges: [
        { account: 'deposits', service: 'bookings', call: 'charge-deposit', perSecond: 4 * scale, impatience: 0.3 },
        { account: 'temples', service: 'bookings', call: 'book-collection', perSecond: 2 * scale, impatience: 0.3 }
      ]
    }
    case 'vanua': return {
      streams: [
        { account: 'trucks', model: 'burn-summary', chats: 60, turnsPerSecond: 14 * scale, words: words(400, 60, 40), isStreamed: true },
        { account: 'members', model: 'burn-summary', chats: 100, turnsPerSecond: 14 * scale, words: words(150, 40, 24), isStreamed: true },
        { account: 'buyers', model: 'quality-note', chats: 50, turnsPerSecond: 10 * scale, words: words(250, 40, 40), isStreamed: false },
        { account: 'season-review', model: 'burn-summary', chats: 30, turnsPerSecond: 8 * scale, words: words(300, 40, 30), isStreamed: false, headers: { 'x-priority': 'batch' } }
      ],
      charges: [
        { account: 'weighbridge', service: 'ledger', call: 'record-sale', perSecond: 4 * scale, impatience: 0.3 },
        { account: 'payments', service: 'ledger', call: 'record-payment', perSecond: 3 * scale, impatience: 0.3 }
      ]
    }
  }
}

interface Chat { id: string, messages: answers.Message[], isBusy: boolean }

/** A running workload. */
export interface Workload {
  readonly tally: callers.Tally
  /** @returns requests sent so far */
  sent (): number
  /** Stops new requests and waits for those under way. */
  finish (): Promise<void>
}

/** Turns after which a chat begins anew, so that prompts stay bounded. */
const MAX_MESSAGES = 21
const TICK_MS = 20

/**
 * Starts a day against a fleet, open loop.
 * @param fleet the fleet
 * @param day the traffic
 * @param seed the same seed gives the same choices
 * @returns the workload
 */
export function startWorkload (fleet: { routers: ReadonlyArray<{ url: string }> }, day: Day, seed: number): Workload {
  const tally = callers.createTally()
  const open = new Set<Promise<unknown>>()
  const startedAt = performance.now()
  const stops: Array<() => void> = []
  const seeds = fleet.routers.map(node => node.url)

  let sent = 0
  const track = (work: Promise<unknown>): void => {
    sent++
    open.add(work)
    void work.finally(() => open.delete(work))
  }

  const every = (perSecond: number, random: () => number, isOn: (at: number) => boolean, start: () => void): void => {
    let due = 0
    const timer = setInterval(() => {
      if (!isOn((performance.now() - startedAt) / 1000)) return
      due += perSecond * TICK_MS / 1000
      while (due > random()) {
        due--
        start()
      }
    }, TICK_MS)
    stops.push(() => { clearInterval(timer) })
  }

  day.streams.forEach((stream, i) => {
    const random = randoms.createRandom(seed * 1000 + i)
    const caller: callers.CallerOptions = { account: stream.account, tally, book: callers.createAddressBook(seeds, `demo-${stream.account}`, random), headers: stream.headers }
    const chats = Array.from({ length: stream.chats }, (_, at) => createChat(stream, at, random))
    every(stream.turnsPerSecond, random, at => at >= (stream.from ?? 0) && at < (stream.to ?? Infinity), () => {
      const idle = chats.filter(chat => !chat.isBusy)
      if (idle.length > 0) track(runTurn(caller, stream, randoms.pick(random, idle), random))
    })
  })
  day.charges.forEach((charge, i) => {
    const random = randoms.createRandom(seed * 1000 + 500 + i)
    const caller: callers.CallerOptions = { account: charge.account, tally, book: callers.createAddressBook(seeds, `demo-${charge.account}`, random) }
    let number = 0
    every(charge.perSecond, random, () => true, () => {
      track(callers.sendOnce(caller, { service: charge.service, call: charge.call, body: { number: ++number, amount: Math.floor(random() * 900) + 100 } }, charge.impatience, random))
    })
  })

  return {
    tally,
    sent: () => sent,
    async finish () {
      for (const stop of stops) stop()
      await Promise.all(open)
    }
  }
}

let opened = 0

function createChat (stream: Stream, at: number, random: () => number): Chat {
  return { id: `${stream.account}-${at}-${opened++}`, messages: toOpening(stream, random), isBusy: false }
}

function toOpening (stream: Stream, random: () => number): answers.Message[] {
  return [
    { role: 'system', content: `You help ${stream.account}. ${'Answer in short sentences and name the batch or the frame you speak of. '.repeat(4)}` },
    { role: 'user', content: randoms.createWords(random, stream.words.opening) }
  ]
}

async function runTurn (caller: callers.CallerOptions, stream: Stream, chat: Chat, random: () => number): Promise<void> {
  chat.isBusy = true
  const shape = { model: stream.model, words: stream.words.answer, stream: stream.isStreamed }
  const end = await callers.sendTurn(caller, chat.id, chat.messages, shape)
  if (random() < (stream.repeats ?? 0)) await callers.sendTurn(caller, chat.id, chat.messages, shape)
  if (end.kind === 'answered') {
    chat.messages = [...chat.messages, { role: 'assistant', content: end.text }, { role: 'user', content: randoms.createWords(random, stream.words.turn) }]
  }
  if (chat.messages.length > MAX_MESSAGES || stream.isOneOff === true) {
    chat.id = `${stream.account}-${opened++}`
    chat.messages = toOpening(stream, random)
  }
  chat.isBusy = false
}
