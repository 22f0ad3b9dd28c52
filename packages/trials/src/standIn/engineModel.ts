/**
 * Timing model of the engine stand-in: continuous batching, prefill of the tokens that are not in the prefix cache, decoding
 * that slows with the batch size, priorities and cancellation. Time advances in steps.
 */
import * as answers from './answers.js'
import * as prefixCache from './prefixCache.js'

/** Speed and capacity of an engine. */
export interface EngineSpeed {
  /** Maximum number of requests in a batch. */
  slots: number
  /** Capacity of the prefix cache, in blocks. */
  cacheBlocks: number
  /** Prefill rate in uncached prompt tokens per second, shared by the batch. */
  prefillTokensPerSecond: number
  /** Time per output token of a request that runs alone, ms. */
  decodeMs: number
  /** Time added per output token for each further request that decodes, ms. */
  decodeMsPerNeighbour: number
}

export const DEFAULT_SPEED: EngineSpeed = { slots: 16, cacheBlocks: 3000, prefillTokensPerSecond: 8000, decodeMs: 8, decodeMsPerNeighbour: 0.8 }

/** A request that was submitted to the engine. */
export interface Job {
  attempt: string
  requestId: string
  chat: string
  rank: number
  promptTokens: number
  cachedTokens: number
  words: string[]
  /** Number of words that were produced, here or by an earlier engine. */
  producedWords: number
  remainingPrefillTokens: number
  /** Decoding time that was not yet spent on a token, ms. */
  creditMs: number
  state: 'waiting' | 'running' | 'done' | 'cancelled'
  promptBlocks: number[]
  /** Cache blocks of the prompt and the answer. */
  finalBlocks: number[]
  /** Called with each word, and with undefined at the end. */
  onWord (index: number, word: string | undefined): void
}

export interface JobInput {
  attempt: string
  requestId: string
  chat: string
  rank: number
  messages: answers.Message[]
  words: number
  /** Number of words that an earlier engine produced. */
  resumeOffset: number
  onWord (index: number, word: string | undefined): void
}

export interface EngineModel {
  readonly cache: prefixCache.PrefixCache
  submit (input: JobInput): Job
  cancel (job: Job): void
  /** Advances the time of the model. */
  advance (ms: number): void
  /** Returns the number of waiting and running requests. */
  load (): number
  /** Returns the cache blocks of a chat's latest finished or imported request; empty if unknown. */
  findChatBlocks (chat: string): readonly number[]
  /** Stores cache blocks of a chat from another engine and returns the number of tokens that were not cached. */
  importBlocks (chat: string, blocks: readonly number[]): number
  totals: { prompt: number, cached: number, imported: number, maxLoad: number, finished: number }
}

const MAX_CHATS = 20_000

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
      const cachedCount = cache.match(blocks)
      cache.store(blocks)
      blocksByChat.set(chat, [...blocks])
      const tokens = (blocks.length - cachedCount) * prefixCache.BLOCK_TOKENS
      totals.imported += tokens
      return tokens
    }
  }
}
