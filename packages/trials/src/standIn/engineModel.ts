/**
 * What the engine stand-in computes: continuous batching, prefill paid for each token that is not in the prefix cache,
 * decode shared by the batch, priorities, cancelling. Time passes in steps. docs/DESIGN.md gives the constants.
 */
import * as answers from './answers.js'
import * as prefixCache from './prefixCache.js'

/** How fast an engine is. */
export interface EngineSpeed {
  /** Requests in a batch. */
  slots: number
  /** Blocks of the prefix cache. */
  cacheBlocks: number
  /** Uncached prompt tokens a second, shared by all that prefill. */
  prefillTokensPerSecond: number
  /** Time between tokens of one request when it runs alone, ms. */
  decodeMs: number
  /** Added to the time between tokens for each further request in the batch, ms. */
  decodeMsPerNeighbour: number
}

/** The usual engine of the trials. */
export const DEFAULT_SPEED: EngineSpeed = { slots: 16, cacheBlocks: 3000, prefillTokensPerSecond: 8000, decodeMs: 8, decodeMsPerNeighbour: 0.8 }

/** One request in the engine. */
export interface Job {
  attempt: string
  requestId: string
  chat: string
  rank: number
  promptTokens: number
  cachedTokens: number
  words: string[]
  /** Words that were produced. */
  producedWords: number
  /** Prompt tokens still to compute. */
  remainingPrefillTokens: number
  /** Time in the batch not yet turned into a token, ms. */
  creditMs: number
  state: 'waiting' | 'running' | 'done' | 'cancelled'
  promptBlocks: number[]
  finalBlocks: number[]
  /** Told of each word, and of the end with undefined. */
  onWord (index: number, word: string | undefined): void
}

/** What a request asks of the model. */
export interface JobInput {
  attempt: string
  requestId: string
  chat: string
  rank: number
  messages: answers.Message[]
  words: number
  /** Words that another engine produced already. */
  resumeOffset: number
  onWord (index: number, word: string | undefined): void
}

/** The model. */
export interface EngineModel {
  readonly cache: prefixCache.PrefixCache
  submit (input: JobInput): Job
  cancel (job: Job): void
  /** Lets time pass. */
  advance (ms: number): void
  /** @returns requests that wait or run */
  load (): number
  /** @returns the cache blocks of a chat's latest request */
  findChatBlocks (chat: string): readonly number[]
  /** Takes blocks of a chat from another engine. @returns tokens that were new here */
  importBlocks (chat: string, blocks: readonly number[]): number
  totals: { prompt: number, cached: number, imported: number, maxLoad: number, finished: number }
}

const MAX_CHATS = 20_000

/**
 * Creates a model.
 * @param speed how fast it is
 * @returns the model, idle
 */
export function createEngineModel (speed: EngineSpeed): EngineModel {
  const cache = prefixCache.createPrefixCache(speed.cacheBlocks)
  const blocksByChat = new Map<string, number[]>()
  let waiting: Job[] = []
  let running: Job[] = []
  const totals = { prompt: 0, cached: 0, imported: 0, maxLoad: 0, finished: 0 }

  const admitWaiting = (): void => {
    waiting.sort((a, b) => a.rank - b.rank)
    while (waiting.length > 0 && running.length < speed.slots) {
      const job = waiting.shift() as Job
      job.state = 'running'
      job.cachedTokens = cache.match(job.promptBlocks) * prefixCache.BLOCK_TOKENS
      job.remainingPrefillTokens = Math.max(1, job.promptTokens - job.cachedTokens)
      totals.prompt += job.promptTokens
      totals.cached += job.cachedTokens
      running.push(job)
    }
  }

  const prefill = (ms: number): void => {
    let budget = speed.prefillTokensPerSecond * ms / 1000
    for (const job of running) {
      if (budget <= 0) return
      const done = Math.min(budget, job.remainingPrefillTokens)
      if (job.remainingPrefillTokens > 0 && done === job.remainingPrefillTokens) cache.store(job.promptBlocks)
      job.remainingPrefillTokens -= done
      budget -= done
    }
  }

  const decode = (ms: number): void => {
    const decoding = running.filter(job => job.remainingPrefillTokens <= 0)
    const msPerToken = speed.decodeMs + speed.decodeMsPerNeighbour * Math.max(0, decoding.length - 1)
    for (const job of decoding) {
      job.creditMs += ms
      while (job.creditMs >= msPerToken && job.producedWords < job.words.length) {
        job.creditMs -= msPerToken
        job.onWord(job.producedWords, job.words[job.producedWords])
        job.producedWords++
      }
      if (job.producedWords >= job.words.length) finish(job)
    }
  }

  const finish = (job: Job): void => {
    job.state = 'done'
    running = running.filter(other => other !== job)
    cache.store(job.finalBlocks)
    blocksByChat.delete(job.chat)
    blocksByChat.set(job.chat, job.finalBlocks)
    if (blocksByChat.size > MAX_CHATS) blocksByChat.delete(blocksByChat.keys().next().value as string)
    totals.finished++
    job.onWord(job.producedWords, undefined)
  }

  return {
    cache,
    totals,
    submit (input) {
      const words = answers.toAnswerWords(input.messages, input.words)
      const prompt = input.messages.flatMap(message => [message.role, ...prefixCache.toTokens(String(message.content))])
      const producedBefore = words.slice(0, input.resumeOffset)
      const job: Job = {
        attempt: input.attempt,
        requestId: input.requestId,
        chat: input.chat,
        rank: input.rank,
        promptTokens: prompt.length + producedBefore.length,
        cachedTokens: 0,
        words,
        producedWords: input.resumeOffset,
        remainingPrefillTokens: 0,
        creditMs: 0,
        state: 'waiting',
        promptBlocks: prefixCache.toBlocks(prompt),
        finalBlocks: prefixCache.toBlocks([...prompt, 'assistant', ...words]),
        onWord: input.onWord
      }
      waiting.push(job)
      totals.maxLoad = Math.max(totals.maxLoad, waiting.length + running.length)
      admitWaiting()
      return job
    },
    cancel (job) {
      if (job.state === 'done') return
      job.state = 'cancelled'
      waiting = waiting.filter(other => other !== job)
      running = running.filter(other => other !== job)
    },
    advance (ms) {
      admitWaiting()
      prefill(ms)
      decode(ms)
      admitWaiting()
    },
    load: () => waiting.length + running.length,
    findChatBlocks: chat => blocksByChat.get(chat) ?? [],
    importBlocks (chat, blocks) {
      const known = cache.match(blocks)
      cache.store(blocks)
      blocksByChat.set(chat, [...blocks])
      const tokens = (blocks.length - known) * prefixCache.BLOCK_TOKENS
      totals.imported += tokens
      return tokens
    }
  }
}
