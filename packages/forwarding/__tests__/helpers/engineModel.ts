/**
 * Simulation of engines and entry instances. In each step an engine generates one token for every running request and processes a
 * chunk of the queued prompts in order of arrival; a shared prompt prefix is processed once and then cached.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as chooseEndpoints from '../../src/placement/chooseEndpoint.js'
import * as numbers from '../../src/placement/numbers.js'
import * as queueDelays from '../../src/placement/queueDelay.js'
import * as retryAfters from '../../src/admission/retryAfter.js'
import * as helper from './random.js'

/** A class of requests. */
export interface RequestKind { name: string, perSecond: number, sharedTokens: number, ownTokens: number, outTokens: number, subjects: number, targetMs: number, worth: number }

/** A load profile: request classes, a rate factor over time, and engine outages. */
export interface Load { kinds: RequestKind[], seconds: number, factor: (second: number) => number, isLost: (engine: number, second: number) => boolean }

/** Policy of the entry instances. */
export interface Policy {
  /** Whether requests that would begin late are rejected. */
  rejectsLateRequests: boolean
  /** Whether a request that waits twice its target latency is moved to another engine although its engine is responsive. */
  movesSlowRequests: boolean
}

/** Sizes of the fleet, and how its entry instances learn each other's loads. */
export interface Fleet {
  engines: number
  instances: number
  slots: number
  /** Interval of the reports of an instance, milliseconds. */
  gossipIntervalMs: number
  /** Time until the report of an instance is known to the others, milliseconds. */
  gossipDelayMs: number
  /** Whether instances report at different times. */
  isStaggered: boolean
  /** A report is discarded after this time, milliseconds. */
  reportTtlMs: number
  /** Whether reports contain the queue delays of the engines. */
  reportsDelays: boolean
}

interface Report { at: number, instance: number, loads: number[], delays: Array<number | undefined> }

/** Result of a simulation. */
export interface SimulationResult { requests: number, inTime: number, late: number, refused: number, failed: number, reprocessedTokens: number, credit: number, maxCredit: number, firstMs: number[] }

interface Req { kind: RequestKind, prompt: string, instance: number, arrivedAt: number, retries: number, attempts: number }
interface Work { req: Req, engine: number, sentAt: number, pending: queueDelays.PendingRequest, unprocessed: number, remaining: number, isAnswered: boolean, isOver: boolean }
interface Engine { queue: Work[], running: Work[], cache: Set<string>, busyUntil: number, isLost: boolean }

const SMALL_FLEET: Fleet = { engines: 8, instances: 8, slots: 128, gossipIntervalMs: 320, gossipDelayMs: 0, isStaggered: false, reportTtlMs: Infinity, reportsDelays: false }
const CHUNK_TOKENS = 1100
const PROMPT_TOKENS_PER_MS = 112
const STEP_MS = 3.4
const STEP_PER_REQUEST_MS = 0.07
/** Time to import a prompt from another engine, as a share of the time to process it. */
const COPY_SHARE = 0.2
/** A client without a first event disconnects after this time. */
const CLIENT_TIMEOUT_MS = 3200
const LATE_CREDIT = 0.31

/** Tracks the loads of all instances as the others know them. */
function createKnownLoads (fleet: Fleet) {
  const reported = Array.from({ length: fleet.engines }, () => new Array<number>(fleet.instances).fill(0))
  const sums = new Array<number>(fleet.engines).fill(0)
  const reportedAt = new Array<number>(fleet.instances).fill(-Infinity)
  const inTransit: Report[] = []
  /** Reported queue delays of each engine, by instance. */
  const delays = Array.from({ length: fleet.engines }, () => new Map<number, number>())
  const apply = (instance: number, loads: readonly number[], reportedDelays: ReadonlyArray<number | undefined>): void => {
    for (let i = 0; i < fleet.engines; i++) {
      sums[i] += loads[i] - reported[i][instance]
      reported[i][instance] = loads[i]
      const delayMs = reportedDelays[i]
      if (delayMs === undefined) delays[i].delete(instance)
      else delays[i].set(instance, delayMs)
    }
  }
  const none = new Array<number>(fleet.engines).fill(0)
  return {
    peerLoad: (engine: number, instance: number): number => sums[engine] - reported[engine][instance],
    peerDelayMs: (engine: number): number | undefined => numbers.median([...delays[engine].values()]),
    update (own: readonly number[][], toDelayMs: (engine: number, instance: number) => number | undefined, now: number): void {
      for (let k = 0; k < fleet.instances; k++) {
        const offsetMs = fleet.isStaggered ? Math.floor(k * fleet.gossipIntervalMs / fleet.instances) : 0
        if ((now + offsetMs) % fleet.gossipIntervalMs === 0) {
          const loads = own.map(item => item[k])
          inTransit.push({ at: now + fleet.gossipDelayMs, instance: k, loads, delays: loads.map((load, i) => fleet.reportsDelays && load > 0 ? toDelayMs(i, k) : undefined) })
        }
        if (now - reportedAt[k] > fleet.reportTtlMs) apply(k, none, [])
      }
      while (inTransit.length > 0 && inTransit[0].at <= now) {
        const report = inTransit.shift() as Report
        apply(report.instance, report.loads, report.delays)
        reportedAt[report.instance] = now
      }
    }
  }
}

/** Simulates a load. */
export function simulate (load: Load, policy: Policy, seed: number, fleet = SMALL_FLEET): SimulationResult {
  const random = helper.createRandom(seed)
  const engines: Engine[] = Array.from({ length: fleet.engines }, () => ({ queue: [], running: [], cache: new Set(), busyUntil: 0, isLost: false }))
  const estimators = engines.map(() => Array.from({ length: fleet.instances }, () => queueDelays.createQueueDelayEstimator()))
  const own = engines.map(() => new Array<number>(fleet.instances).fill(0))
  const known = createKnownLoads(fleet)
  const retrying: Array<{ at: number, req: Req }> = []
  const waiting = new Set<Work>()
  const seen = new Set<string>()
  const result: SimulationResult = { requests: 0, inTime: 0, late: 0, refused: 0, failed: 0, reprocessedTokens: 0, credit: 0, maxCredit: 0, firstMs: [] }

  const finish = (work: Work): void => {
    work.isOver = true
    waiting.delete(work)
    own[work.engine][work.req.instance]--
    if (!work.isAnswered) estimators[work.engine][work.req.instance].onAbandoned(work.pending)
  }

  const send = (req: Req, tried: number, now: number): void => {
    const candidates = engines.map((engine, i): chooseEndpoints.Candidate => {
      const ownLoad = own[i][req.instance]
      const peerLoad = known.peerLoad(i, req.instance)
      return { id: String(i), zone: 'z', load: ownLoad + peerLoad, ownInFlight: ownLoad, slots: fleet.slots, isCold: false, delayMs: estimators[i][req.instance].estimateMs(now) ?? known.peerDelayMs(i) ?? 0, freeConnections: 100, ageMs: Infinity }
    }).filter((item, i) => !engines[i].isLost && i !== tried)
    const delayLimitMs = policy.rejectsLateRequests ? queueDelays.toDelayLimitMs(req.kind.targetMs) : Infinity
    const choice = chooseEndpoints.chooseEndpoint(candidates, { affinity: contracts.createScorer(req.prompt), zone: 'z', delayLimitMs }, random())
    switch (choice.kind) {
      case 'none':
      case 'busy': {
        const retryAfterMs = retryAfters.toRetryAfterMs(choice.kind === 'busy' ? choice : { kind: 'noEndpoint' }, random())
        if (req.retries++ === 0) retrying.push({ at: now + retryAfterMs, req })
        else result.refused++
        return
      }
      case 'chosen': {
        const i = Number(choice.id)
        own[i][req.instance]++
        req.attempts++
        const pending = estimators[i][req.instance].onSent(now)
        const work: Work = { req, engine: i, sentAt: now, pending, unprocessed: -1, remaining: req.kind.outTokens, isAnswered: false, isOver: false }
        engines[i].queue.push(work)
        waiting.add(work)
      }
    }
  }

  const crash = (engine: Engine): void => {
    for (const work of [...engine.queue, ...engine.running]) {
      if (work.isOver) continue
      finish(work)
      result.failed++
    }
    Object.assign(engine, { queue: [], running: [], cache: new Set(), isLost: true })
  }

  const step = (engine: Engine, now: number): void => {
    engine.queue = engine.queue.filter(work => !work.isOver)
    engine.running = engine.running.filter(work => !work.isOver)
    if (engine.queue.length + engine.running.length === 0) return
    let chunk = CHUNK_TOKENS
    while (chunk > 0 && engine.queue.length > 0 && engine.running.length < fleet.slots) {
      const work = engine.queue[0]
      const { kind, prompt } = work.req
      if (work.unprocessed < 0) {
        const isCached = engine.cache.has(prompt)
        const isCachedElsewhere = engines.some(other => !other.isLost && other.cache.has(prompt))
        if (!isCached && !isCachedElsewhere && seen.has(prompt)) result.reprocessedTokens += kind.sharedTokens
        work.unprocessed = kind.ownTokens + (isCached ? 0 : kind.sharedTokens * (isCachedElsewhere ? COPY_SHARE : 1))
        engine.cache.add(prompt)
        seen.add(prompt)
      }
      const processed = Math.min(chunk, work.unprocessed)
      work.unprocessed -= processed
      chunk -= processed
      if (work.unprocessed > 0) break
      engine.queue.shift()
      engine.running.push(work)
    }
    engine.busyUntil = now + STEP_MS + STEP_PER_REQUEST_MS * engine.running.length + (CHUNK_TOKENS - chunk) / PROMPT_TOKENS_PER_MS
    for (const work of engine.running) {
      if (!work.isAnswered) {
        work.isAnswered = true
        waiting.delete(work)
        estimators[work.engine][work.req.instance].onResponse(work.pending, engine.busyUntil)
        const firstMs = engine.busyUntil - work.req.arrivedAt
        result.firstMs.push(firstMs)
        const isLate = firstMs > work.req.kind.targetMs
        result[isLate ? 'late' : 'inTime']++
        result.credit += work.req.kind.worth * (isLate ? LATE_CREDIT : 1)
      }
      work.remaining--
      if (work.remaining <= 0) finish(work)
    }
  }

  for (let now = 0; now < load.seconds * 1000; now++) {
    const second = now / 1000
    for (const [i, engine] of engines.entries()) {
      if (load.isLost(i, second) && !engine.isLost) crash(engine)
      engine.isLost = load.isLost(i, second)
      if (!engine.isLost && engine.busyUntil <= now) step(engine, now)
    }
    known.update(own, (engine, instance) => estimators[engine][instance].estimateMs(now), now)
    for (const kind of load.kinds) {
      if (random() >= kind.perSecond * load.factor(second) / 1000) continue
      result.requests++
      result.maxCredit += kind.worth
      send({ kind, prompt: `${kind.name},${Math.floor(kind.subjects * random())}`, instance: Math.floor(fleet.instances * random()), arrivedAt: now, retries: 0, attempts: 0 }, -1, now)
    }
    for (const item of retrying.filter(entry => entry.at <= now)) {
      retrying.splice(retrying.indexOf(item), 1)
      send(item.req, -1, now)
    }
    for (const work of [...waiting]) {
      const waitedMs = now - work.sentAt
      if (now - work.req.arrivedAt > CLIENT_TIMEOUT_MS && waitedMs > work.req.kind.targetMs) {
        finish(work)
        result.failed++
      } else if (policy.movesSlowRequests && waitedMs > 2 * work.req.kind.targetMs && work.req.attempts < 2) {
        finish(work)
        send(work.req, work.engine, now)
      }
    }
  }
  return result
}
