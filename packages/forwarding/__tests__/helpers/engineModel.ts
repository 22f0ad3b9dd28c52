/**
 * Model engines and the instances before them. An engine works in steps: in each it makes one token for every request that
 * runs and reads a chunk of the prompts that wait, in the order in which they came; a prompt's shared part is read once.
 */
import * as chooseEndpoints from '../../src/chooseEndpoint.js'
import * as queueDelays from '../../src/queueDelay.js'
import * as retryAfters from '../../src/retryAfter.js'
import * as helper from './random.js'

/** One kind of request: tokens in thousands would read badly, so all are single tokens. */
export interface RequestKind { name: string, perSecond: number, sharedTokens: number, ownTokens: number, outTokens: number, subjects: number, targetMs: number, worth: number }

/** A load: requests, how many times the usual at a time, and which engines are lost then. */
export interface Load { kinds: RequestKind[], seconds: number, factor: (second: number) => number, isLost: (engine: number, second: number) => boolean }

/** What instances do with requests. */
export interface Policy {
  /** Whether requests that would begin late are refused. */
  isBounded: boolean
  /** Whether a request that waits twice its target is sent elsewhere though its engine answers others. */
  isImpatient: boolean
}

/** How a load was served, by kind. */
export interface Served { asked: number, inTime: number, late: number, refused: number, failed: number, readAgain: number, credit: number, owed: number, firstMs: number[] }

interface Req { kind: RequestKind, prompt: string, instance: number, arrivedAt: number, returns: number, attempts: number }
interface Work { req: Req, engine: number, sentAt: number, wait: queueDelays.PendingRequest, toRead: number, left: number, isAnswered: boolean, isOver: boolean }
interface Engine { queue: Work[], running: Work[], cache: Set<string>, busyUntil: number, isLost: boolean }

const ENGINES = 8
const INSTANCES = 8
const SLOTS = 128
const CHUNK_TOKENS = 1100
const READ_PER_MS = 112
const STEP_MS = 3.4
const STEP_PER_REQUEST_MS = 0.07
const TELL_MS = 320
/** Copying a prompt from another engine takes this share of the time of reading it. */
const COPY_SHARE = 0.2
/** A client without a first event leaves after this time. */
const CLIENT_PATIENCE_MS = 3200
const LATE_CREDIT = 0.31

/** Plays a load. */
export function play (load: Load, policy: Policy, seed: number): Served {
  const random = helper.createRandom(seed)
  const engines: Engine[] = Array.from({ length: ENGINES }, () => ({ queue: [], running: [], cache: new Set(), busyUntil: 0, isLost: false }))
  const meters = engines.map(() => Array.from({ length: INSTANCES }, () => queueDelays.createQueueDelayEstimator()))
  const own = engines.map(() => new Array<number>(INSTANCES).fill(0))
  let told = own.map(item => [...item])
  const returning: Array<{ at: number, req: Req }> = []
  const waiting = new Set<Work>()
  const seen = new Set<string>()
  const served: Served = { asked: 0, inTime: 0, late: 0, refused: 0, failed: 0, readAgain: 0, credit: 0, owed: 0, firstMs: [] }

  const leave = (work: Work): void => {
    work.isOver = true
    waiting.delete(work)
    own[work.engine][work.req.instance]--
    if (!work.isAnswered) meters[work.engine][work.req.instance].onAbandoned(work.wait)
  }

  const send = (req: Req, tried: number, now: number): void => {
    const candidates = engines.map((engine, i): chooseEndpoints.Candidate => {
      const mine = own[i][req.instance]
      const others = told[i].reduce((sum, load, k) => k === req.instance ? sum : sum + load, 0)
      return { id: String(i), zone: 'z', load: mine + others, ownInFlight: mine, slots: SLOTS, isCold: false, delayMs: meters[i][req.instance].estimateMs(now) ?? 0, freeConnections: 100, ageMs: Infinity }
    }).filter((item, i) => !engines[i].isLost && i !== tried)
    const delayLimitMs = policy.isBounded ? queueDelays.toDelayLimitMs(req.kind.targetMs) : Infinity
    const choice = chooseEndpoints.chooseEndpoint(candidates, { affinity: req.prompt, zone: 'z', delayLimitMs }, random())
    switch (choice.kind) {
      case 'none':
      case 'busy': {
        const pauseMs = retryAfters.toRetryAfterMs(choice.kind === 'busy' ? choice : { kind: 'noEndpoint' }, random())
        if (req.returns++ === 0) returning.push({ at: now + pauseMs, req })
        else served.refused++
        return
      }
      case 'chosen': {
        const i = Number(choice.id)
        own[i][req.instance]++
        req.attempts++
        const wait = meters[i][req.instance].onSent(now)
        const work: Work = { req, engine: i, sentAt: now, wait, toRead: -1, left: req.kind.outTokens, isAnswered: false, isOver: false }
        engines[i].queue.push(work)
        waiting.add(work)
      }
    }
  }

  const lose = (engine: Engine): void => {
    for (const work of [...engine.queue, ...engine.running]) {
      if (work.isOver) continue
      leave(work)
      served.failed++
    }
    Object.assign(engine, { queue: [], running: [], cache: new Set(), isLost: true })
  }

  const step = (engine: Engine, now: number): void => {
    engine.queue = engine.queue.filter(work => !work.isOver)
    engine.running = engine.running.filter(work => !work.isOver)
    if (engine.queue.length + engine.running.length === 0) return
    let chunk = CHUNK_TOKENS
    while (chunk > 0 && engine.queue.length > 0 && engine.running.length < SLOTS) {
      const work = engine.queue[0]
      const { kind, prompt } = work.req
      if (work.toRead < 0) {
        const isCached = engine.cache.has(prompt)
        const isElsewhere = engines.some(other => !other.isLost && other.cache.has(prompt))
        if (!isCached && !isElsewhere && seen.has(prompt)) served.readAgain += kind.sharedTokens
        work.toRead = kind.ownTokens + (isCached ? 0 : kind.sharedTokens * (isElsewhere ? COPY_SHARE : 1))
        engine.cache.add(prompt)
        seen.add(prompt)
      }
      const read = Math.min(chunk, work.toRead)
      work.toRead -= read
      chunk -= read
      if (work.toRead > 0) break
      engine.queue.shift()
      engine.running.push(work)
    }
    engine.busyUntil = now + STEP_MS + STEP_PER_REQUEST_MS * engine.running.length + (CHUNK_TOKENS - chunk) / READ_PER_MS
    for (const work of engine.running) {
      if (!work.isAnswered) {
        work.isAnswered = true
        waiting.delete(work)
        meters[work.engine][work.req.instance].onResponse(work.wait, engine.busyUntil)
        const firstMs = engine.busyUntil - work.req.arrivedAt
        served.firstMs.push(firstMs)
        const isLate = firstMs > work.req.kind.targetMs
        served[isLate ? 'late' : 'inTime']++
        served.credit += work.req.kind.worth * (isLate ? LATE_CREDIT : 1)
      }
      work.left--
      if (work.left <= 0) leave(work)
    }
  }

  for (let now = 0; now < load.seconds * 1000; now++) {
    const second = now / 1000
    for (const [i, engine] of engines.entries()) {
      if (load.isLost(i, second) && !engine.isLost) lose(engine)
      engine.isLost = load.isLost(i, second)
      if (!engine.isLost && engine.busyUntil <= now) step(engine, now)
    }
    if (now % TELL_MS === 0) told = own.map(item => [...item])
    for (const kind of load.kinds) {
      if (random() >= kind.perSecond * load.factor(second) / 1000) continue
      served.asked++
      served.owed += kind.worth
      send({ kind, prompt: `${kind.name},${Math.floor(kind.subjects * random())}`, instance: Math.floor(INSTANCES * random()), arrivedAt: now, returns: 0, attempts: 0 }, -1, now)
    }
    for (const item of returning.filter(entry => entry.at <= now)) {
      returning.splice(returning.indexOf(item), 1)
      send(item.req, -1, now)
    }
    for (const work of [...waiting]) {
      const waitedMs = now - work.sentAt
      if (now - work.req.arrivedAt > CLIENT_PATIENCE_MS && waitedMs > work.req.kind.targetMs) {
        leave(work)
        served.failed++
      } else if (policy.isImpatient && waitedMs > 2 * work.req.kind.targetMs && work.req.attempts < 2) {
        leave(work)
        send(work.req, work.engine, now)
      }
    }
  }
  return served
}
