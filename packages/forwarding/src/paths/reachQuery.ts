/** Asks other entry instances whether they reach endpoints that this one does not reach. */
import * as timers from 'node:timers/promises'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import type * as endpointPools from '../endpoints/endpointPool.js'
import * as reachMessages from './reachMessages.js'

/** Result for one endpoint: the instances that reach it, and whether any instance replied. */
export interface Reach { helpers: string[], isAnswered: boolean }

/** Options of {@link createReachQuery}. */
export interface ReachQueryOptions {
  zone: string
  region: string
  /** Returns the other entry instances. */
  peers: () => discovery.EntryRecord[]
  connect: (address: string) => Promise<links.Link>
  /** Called with the load of each instance that replied. */
  onLoad: (helper: string, load: number) => void
}

/** Instances that are asked at a time, and how many of them are in the zone of this one. */
const MAX_ASKED = 8
const MAX_ASKED_NEAR = 3
/** Time for which questions are collected: a lost path fails many connections at once. */
const COLLECT_MS = 5
/** Time for all replies, longer than another instance waits for a probe. An instance that is down must not hold up the others. */
const REPLY_TIMEOUT_MS = 250

interface Question {
  endpoint: endpointPools.Endpoint
  maxAgeMs: number
  helpers: string[]
  isAnswered: boolean
  settle: (reach: Reach) => void
}

/**
 * Creates a query.
 * @returns a function that resolves when the first instance has replied that it reaches the endpoint, or all have replied; the array
 * of helpers grows with further replies. `maxAgeMs` is the age up to which an earlier response of the endpoint suffices.
 */
export function createReachQuery (opts: ReachQueryOptions): (endpoint: endpointPools.Endpoint, maxAgeMs: number) => Promise<Reach> {
  let collected: Question[] = []

  const selectPeers = (): string[] => {
    const all = discovery.toShuffled(opts.peers().filter(item => item.state === 'ready'))
    // Requests that are bound to a region must not leave it on the way.
    const sameRegion = all.filter(item => item.region === opts.region)
    const ready = sameRegion.length > 0 ? sameRegion : all
    const near = ready.filter(item => item.zone === opts.zone).slice(0, MAX_ASKED_NEAR)
    const others = ready.filter(item => !near.includes(item))
    return [...near, ...others].slice(0, MAX_ASKED).map(item => item.inner)
  }

  const ask = async (helper: string, questions: readonly Question[]): Promise<void> => {
    const call: reachMessages.ReachCall = { t: 'reach', endpoints: questions.map(({ endpoint }) => [endpoint.id, endpoint.record.address]), maxAgeMs: Math.min(...questions.map(item => item.maxAgeMs)) }
    const link = await opts.connect(helper)
    const reply = reachMessages.reachReply.parse(await link.call(call, REPLY_TIMEOUT_MS))
    opts.onLoad(helper, reply.load)
    for (const question of questions) {
      question.isAnswered = true
      if (!reply.reached.includes(question.endpoint.id)) continue
      question.helpers.push(helper)
      question.settle(question)
    }
  }

  const flush = async (): Promise<void> => {
    await timers.setTimeout(COLLECT_MS)
    const questions = collected
    collected = []
    const peers = selectPeers()
    for (let at = 0; at < questions.length; at += reachMessages.MAX_ASKED_ENDPOINTS) {
      const part = questions.slice(at, at + reachMessages.MAX_ASKED_ENDPOINTS)
      // An instance that is down or of an earlier version does not reply: that is no statement about the endpoint.
      const replies = Promise.allSettled(peers.map(async helper => { await ask(helper, part) }))
      const settle = (): void => { for (const question of part) question.settle(question) }
      const cancelDeadline = links.setDeadline(REPLY_TIMEOUT_MS, settle)
      void replies.then(() => {
        cancelDeadline()
        settle()
      })
    }
  }

  return async (endpoint, maxAgeMs) => await new Promise(resolve => {
    if (collected.length === 0) void flush()
    collected.push({ endpoint, maxAgeMs, helpers: [], isAnswered: false, settle: resolve })
  })
}
