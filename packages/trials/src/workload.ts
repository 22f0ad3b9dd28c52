/** Open-loop traffic of the two deployments: chats with several turns, and non-idempotent calls that are repeated. */
import * as callers from './callers.js'
import * as randoms from './random.js'
import * as answers from './standIn/answers.js'

/** Chat traffic of one client account. */
export interface ChatTraffic {
  account: string
  model: string
  /** Number of open chats. */
  chatCount: number
  /** Turns per second over all chats; a turn is skipped if every chat has one in flight. */
  turnsPerSecond: number
  /** Number of words in a first question, in a later one, and in an answer. */
  words: { opening: number, turn: number, answer: number }
  headers?: Record<string, string>
  isStreamed: boolean
  /** Start and end of the traffic, in seconds after the start of the workload; not limited when absent. */
  fromSeconds?: number
  toSeconds?: number
  /** Probability that a turn is sent twice. */
  repeatProbability?: number
  /** Starts a new chat after each turn. */
  hasSingleTurnChats?: boolean
}

/** Non-idempotent calls of one client account; see `sendAtMostOnce` for the probability. */
export interface CallTraffic { account: string, service: string, call: string, perSecond: number, duplicateProbability: number }

/** Traffic of a deployment. */
export interface Traffic { chats: ChatTraffic[], calls: CallTraffic[] }

const words = (opening: number, turn: number, answer: number): ChatTraffic['words'] => ({ opening, turn, answer })

/**
 * Creates the traffic of a deployment.
 * @param scale multiplies all rates
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
  /** Returns the number of chat turns and calls started so far. */
  sentCount (): number
  /** Stops starting requests and waits for those in flight. */
  finish (): Promise<void>
}

/** Number of messages above which a chat is replaced by a new one, so that prompts stay bounded. */
const MAX_MESSAGES = 21
const TICK_INTERVAL_MS = 20

/**
 * Starts open-loop traffic against a fleet.
 * @param seed seeds the random choices
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

  const startAtRate = (perSecond: number, random: () => number, isActive: (seconds: number) => boolean, start: () => void): void => {
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

  traffic.chats.forEach((chatTraffic, i) => {
    const random = randoms.createRandom(seed * 1000 + i)
    const caller: callers.CallerOptions = { account: chatTraffic.account, stats, addresses: callers.createAddressCache(urls, `demo-${chatTraffic.account}`, random), headers: chatTraffic.headers }
    const chats = Array.from({ length: chatTraffic.chatCount }, (_, index) => createChat(chatTraffic, index, random))
    startAtRate(chatTraffic.turnsPerSecond, random, seconds => seconds >= (chatTraffic.fromSeconds ?? 0) && seconds < (chatTraffic.toSeconds ?? Infinity), () => {
      const idle = chats.filter(chat => !chat.isBusy)
      if (idle.length > 0) track(runTurn(caller, chatTraffic, randoms.pick(random, idle), random))
    })
  })
  traffic.calls.forEach((callTraffic, i) => {
    const random = randoms.createRandom(seed * 1000 + 500 + i)
    const caller: callers.CallerOptions = { account: callTraffic.account, stats, addresses: callers.createAddressCache(urls, `demo-${callTraffic.account}`, random) }
    let number = 0
    startAtRate(callTraffic.perSecond, random, () => true, () => {
      track(callers.sendAtMostOnce(caller, { service: callTraffic.service, call: callTraffic.call, body: { number: ++number, amount: Math.floor(random() * 900) + 100 } }, callTraffic.duplicateProbability, random))
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

function createChat (traffic: ChatTraffic, index: number, random: () => number): Chat {
  return { id: `${traffic.account}-${index}-${nextChatNumber++}`, messages: createOpening(traffic, random), isBusy: false }
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
