/** The days of the two users, small: chats that return after pauses, repeated questions, night tagging, charges with resends. */
import * as callers from './callers.js'
import * as randoms from './random.js'
import * as answers from './standIn/answers.js'

/** One kind of traffic. */
export interface ChatTraffic {
  account: string
  model: string
  /** Chats that return. */
  chatCount: number
  /** Turns a second over all of them, started whether earlier ones have ended or not. */
  turnsPerSecond: number
  /** Words of a first question, of a later one, and of an answer. */
  words: { opening: number, turn: number, answer: number }
  /** Further headers. */
  headers?: Record<string, string>
  /** Whether answers are streamed. */
  isStreamed: boolean
  /** Seconds from the start at which it begins and ends; all the time when absent. */
  fromSeconds?: number
  toSeconds?: number
  /** The chance that a caller asks the same question twice. */
  repeatProbability?: number
  /** Each turn opens a chat of its own, as a surge does. */
  hasSingleTurnChats?: boolean
}

/** Non-idempotent calls. */
export interface CallTraffic { account: string, service: string, call: string, perSecond: number, duplicateProbability: number }

/** A day, small. */
export interface Traffic { chats: ChatTraffic[], calls: CallTraffic[] }

const words = (opening: number, turn: number, answer: number): ChatTraffic['words'] => ({ opening, turn, answer })

/**
 * The day of a deployment.
 * @param deployment whose
 * @param scale multiplies all rates
 * @returns its traffic
 */
export function createTraffic (deployment: 'suwanrat' | 'vanua', scale = 1): Traffic {
  switch (deployment) {
    case 'suwanrat': return {
      chats: [
        { account: 'conservators', model: 'frame-assistant', chatCount: 40, turnsPerSecond: 8 * scale, words: words(300, 60, 40), isStreamed: true },
        { account: 'clerks', model: 'frame-assistant', chatCount: 60, turnsPerSecond: 10 * scale, words: words(120, 30, 24), isStreamed: true },
        { account: 'client-portal', model: 'frame-assistant', chatCount: 80, turnsPerSecond: 8 * scale, words: words(100, 30, 24), isStreamed: false, repeatProbability: 0.4 },
        { account: 'archive', model: 'archive-tagger', chatCount: 30, turnsPerSecond: 6 * scale, words: words(250, 40, 30), isStreamed: false, headers: { 'x-priority': 'batch' } }
      ],
      calls: [
        { account: 'deposits', service: 'bookings', call: 'charge-deposit', perSecond: 4 * scale, duplicateProbability: 0.3 },
        { account: 'temples', service: 'bookings', call: 'book-collection', perSecond: 2 * scale, duplicateProbability: 0.3 }
      ]
    }
    case 'vanua': return {
      chats: [
        { account: 'trucks', model: 'burn-summary', chatCount: 60, turnsPerSecond: 14 * scale, words: words(400, 60, 40), isStreamed: true },
        { account: 'members', model: 'burn-summary', chatCount: 100, turnsPerSecond: 14 * scale, words: words(150, 40, 24), isStreamed: true },
        { account: 'buyers', model: 'quality-note', chatCount: 50, turnsPerSecond: 10 * scale, words: words(250, 40, 40), isStreamed: false },
        { account: 'season-review', model: 'burn-summary', chatCount: 30, turnsPerSecond: 8 * scale, words: words(300, 40, 30), isStreamed: false, headers: { 'x-priority': 'batch' } }
      ],
      calls: [
        { account: 'weighbridge', service: 'ledger', call: 'record-sale', perSecond: 4 * scale, duplicateProbability: 0.3 },
        { account: 'payments', service: 'ledger', call: 'record-payment', perSecond: 3 * scale, duplicateProbability: 0.3 }
      ]
    }
  }
}

interface Chat { id: string, messages: answers.Message[], isBusy: boolean }

/** A running workload. */
export interface Workload {
  readonly stats: callers.CallerStats
  /** @returns requests sent so far */
  sentCount (): number
  /** Stops new requests and waits for those under way. */
  finish (): Promise<void>
}

/** Turns after which a chat begins anew, so that prompts stay bounded. */
const MAX_MESSAGES = 21
const TICK_INTERVAL_MS = 20

/**
 * Starts a day against a fleet, open loop.
 * @param fleet the fleet
 * @param traffic the traffic
 * @param seed the same seed gives the same choices
 * @returns the workload
 */
export function startWorkload (fleet: { routers: ReadonlyArray<{ url: string }> }, traffic: Traffic, seed: number): Workload {
  const stats = callers.createCallerStats()
  const inFlight = new Set<Promise<unknown>>()
  const startedAt = performance.now()
  const stops: Array<() => void> = []
  const urls = fleet.routers.map(node => node.url)

  let sent = 0
  const track = (work: Promise<unknown>): void => {
    sent++
    inFlight.add(work)
    void work.finally(() => inFlight.delete(work))
  }

  const startAtRate = (perSecond: number, random: () => number, isActive: (at: number) => boolean, start: () => void): void => {
    let due = 0
    const timer = setInterval(() => {
      if (!isActive((performance.now() - startedAt) / 1000)) return
      due += perSecond * TICK_INTERVAL_MS / 1000
      while (due > random()) {
        due--
        start()
      }
    }, TICK_INTERVAL_MS)
    stops.push(() => { clearInterval(timer) })
  }

  traffic.chats.forEach((stream, i) => {
    const random = randoms.createRandom(seed * 1000 + i)
    const caller: callers.CallerOptions = { account: stream.account, stats, addresses: callers.createAddressCache(urls, `demo-${stream.account}`, random), headers: stream.headers }
    const chats = Array.from({ length: stream.chatCount }, (_, at) => createChat(stream, at, random))
    startAtRate(stream.turnsPerSecond, random, at => at >= (stream.fromSeconds ?? 0) && at < (stream.toSeconds ?? Infinity), () => {
      const idle = chats.filter(chat => !chat.isBusy)
      if (idle.length > 0) track(runTurn(caller, stream, randoms.pick(random, idle), random))
    })
  })
  traffic.calls.forEach((charge, i) => {
    const random = randoms.createRandom(seed * 1000 + 500 + i)
    const caller: callers.CallerOptions = { account: charge.account, stats, addresses: callers.createAddressCache(urls, `demo-${charge.account}`, random) }
    let number = 0
    startAtRate(charge.perSecond, random, () => true, () => {
      track(callers.sendAtMostOnce(caller, { service: charge.service, call: charge.call, body: { number: ++number, amount: Math.floor(random() * 900) + 100 } }, charge.duplicateProbability, random))
    })
  })

  return {
    stats,
    sentCount: () => sent,
    async finish () {
      for (const stop of stops) stop()
      await Promise.all(inFlight)
    }
  }
}

let nextChatNumber = 0

function createChat (traffic: ChatTraffic, at: number, random: () => number): Chat {
  return { id: `${traffic.account}-${at}-${nextChatNumber++}`, messages: createOpening(traffic, random), isBusy: false }
}

function createOpening (traffic: ChatTraffic, random: () => number): answers.Message[] {
  return [
    { role: 'system', content: `You help ${traffic.account}. ${'Answer in short sentences and name the batch or the frame you speak of. '.repeat(4)}` },
    { role: 'user', content: randoms.createWords(random, traffic.words.opening) }
  ]
}

async function runTurn (caller: callers.CallerOptions, traffic: ChatTraffic, chat: Chat, random: () => number): Promise<void> {
  chat.isBusy = true
  const params = { model: traffic.model, words: traffic.words.answer, stream: traffic.isStreamed }
  const result = await callers.sendTurn(caller, chat.id, chat.messages, params)
  if (random() < (traffic.repeatProbability ?? 0)) await callers.sendTurn(caller, chat.id, chat.messages, params)
  if (result.kind === 'answered') {
    chat.messages = [...chat.messages, { role: 'assistant', content: result.text }, { role: 'user', content: randoms.createWords(random, traffic.words.turn) }]
  }
  if (chat.messages.length > MAX_MESSAGES || traffic.hasSingleTurnChats === true) {
    chat.id = `${traffic.account}-${nextChatNumber++}`
    chat.messages = createOpening(traffic, random)
  }
  chat.isBusy = false
}
