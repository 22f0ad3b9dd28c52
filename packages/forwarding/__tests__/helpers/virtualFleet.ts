/** Entry instances and endpoints on virtual time: requests and parts of prompts that crash what runs them, and others beside them. */
import * as crashQuarantines from '../../src/quarantine/crashQuarantine.js'
import type * as crashReports from '../../src/quarantine/crashReport.js'
import type * as runTrackers from '../../src/quarantine/runTracker.js'
import * as suspectKeys from '../../src/quarantine/suspectKey.js'
import * as trialPermits from '../../src/quarantine/trialPermits.js'
import * as random from './random.js'
import type * as virtualScenarios from './virtualScenario.js'

const END_MS = 40_000
const CRASHES = 3
const PART_CRASHES = 5
/** When parts turn bad, and until when requests with them come. */
const BAD_FROM_MS = 5000
const BAD_TO_MS = 34_000
/** Time after that at which neighbours of a crashing part are asked for without it. */
const NEIGHBOURS_FROM_MS = 8000
const TOPICS = 10
const RESPONDS_AFTER_MS = 200
const GRACE_MS = 3000
const DOWN_MS = 4000
const PROBE_MS = 5
const REPEAT_INTERVAL_MS = 500
const LEARNING_MS = 3000
/** Clients send a crashing request again after this time at most, whatever became of it. */
const CLIENT_INTERVAL_MS = 1500
const RETRY_MS = 300
const MAX_TRIES = 6
/** Times that a rejected request comes back, and after how long. */
const MAX_RETURNS = 3
const RETURN_MS = 1500

interface VirtualInstance { place: number, startedAt: number, quarantine: crashQuarantines.CrashQuarantine }
interface VirtualRun { isOver: boolean, run: runTrackers.Run, instance: VirtualInstance, onLost: (at: number) => void }
interface SendOptions {
  onSent: (run: VirtualRun, endpoint: VirtualEndpoint, at: number) => void
  onLost: (at: number) => void
  onRejected: (at: number) => void
}
interface VirtualEndpoint { id: string, start: number, upAt: number, runs: Set<VirtualRun> }

/** Runs the model. */
export function runScenario (scenario: virtualScenarios.Scenario): virtualScenarios.Outcome {
  const draw = random.createRandom(scenario.seed)
  /** Latest first; of those at the same time the one scheduled last. */
  const events: Array<{ at: number, run: (at: number) => void }> = []
  let clock = 0
  const schedule = (at: number, run: (at: number) => void): void => {
    let low = 0
    let high = events.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (events[middle].at > at) low = middle + 1
      else high = middle
    }
    events.splice(low, 0, { at, run })
  }
  const endpoints = Array.from({ length: scenario.endpoints }, (_, i): VirtualEndpoint => ({ id: `e${i}`, start: 0, upAt: 0, runs: new Set() }))
  const crashesOf = new Map<string, number[]>()
  const lateSendsOf = new Map<string, number>()
  const crashesOfPart = new Map<number, number[]>()
  const sendsOfPart = new Map<number, number[]>()
  const firstAttempts: Array<{ at: number, isRejected: boolean }> = []
  const outcome = { crashes: 0, others: 0, rejected: 0 }

  const deliver = (from: VirtualInstance, to: number, reports: crashReports.CrashReport[]): void => {
    if (reports.length === 0 || draw() < scenario.lossShare) return
    const sentAt = clock
    schedule(clock + draw() * scenario.gossipMs, at => {
      const target = instances[to]
      if (target.place !== from.place) target.quarantine.merge(reports.map(item => ({ ...item, agoMs: item.agoMs + at - sentAt })), at, `i${from.place}`)
    })
  }

  const startInstance = (place: number, startedAt: number): VirtualInstance => {
    const instance: VirtualInstance = {
      place,
      startedAt,
      quarantine: crashQuarantines.createCrashQuarantine({
        startedAt,
        send (reports) { for (let to = 0; to < scenario.instances; to++) if (to !== place) deliver(instance, to, reports) }
      })
    }
    return instance
  }
  const instances = Array.from({ length: scenario.instances }, (_, place) => startInstance(place, -Infinity))

  const toIncarnation = (endpoint: VirtualEndpoint): string => `${endpoint.id}@${endpoint.start}`

  const crash = (endpoint: VirtualEndpoint, at: number): void => {
    const down = toIncarnation(endpoint)
    const lost = [...endpoint.runs]
    endpoint.runs.clear()
    endpoint.start++
    endpoint.upAt = at + DOWN_MS
    outcome.crashes++
    for (const item of lost) {
      item.isOver = true
      item.run.end('lost', at)
      item.onLost(at)
    }
    schedule(at + PROBE_MS, now => { for (const instance of new Set(lost.map(item => item.instance))) instance.quarantine.confirmDown(down, now, 'refused') })
  }

  const toEndpoint = (at: number): VirtualEndpoint | undefined => {
    const up = endpoints.filter(item => item.upAt <= at)
    return up.length === 0 ? undefined : random.pick(draw, up)
  }

  /** Asks the instances that permit trials, if a request may only be sent as one. */
  const askToSend = (keys: readonly string[], instance: VirtualInstance, at: number, proceed: (isAllowed: boolean, at: number) => void): void => {
    const verdict = instance.quarantine.judge(keys, at)
    if (verdict.kind !== 'trial') {
      proceed(verdict.kind === 'allowed', at)
      return
    }
    askArbiters(keys, instance, [...trialPermits.groupByArbiter(verdict.keys, instances, item => `i${item.place}`)], at, proceed)
  }

  const askArbiters = (carried: readonly string[], instance: VirtualInstance, groups: Array<[arbiter: VirtualInstance, keys: string[]]>, at: number, proceed: (isAllowed: boolean, at: number) => void): void => {
    const [first, ...rest] = groups
    if (first === undefined) {
      proceed(true, at)
      return
    }
    const [arbiter, keys] = first
    const next = (isGranted: boolean, now: number): void => {
      if (isGranted) askArbiters(carried, instance, rest, now, proceed)
      else proceed(false, now)
    }
    if (arbiter === instance) {
      next(at - instance.startedAt > LEARNING_MS && instance.quarantine.grantTrial(keys, carried, at, 'self'), at)
      return
    }
    const reports = instance.quarantine.toReportsOf(keys, at)
    const isLost = draw() < scenario.lossShare
    schedule(at + draw() * scenario.gossipMs, askedAt => {
      arbiter.quarantine.merge(reports.map(item => ({ ...item, agoMs: item.agoMs + askedAt - at })), askedAt, `i${instance.place}`)
      const isGranted = !isLost && instances.includes(arbiter) && askedAt - arbiter.startedAt > LEARNING_MS && arbiter.quarantine.grantTrial(keys, carried, askedAt, `i${instance.place}`)
      schedule(askedAt + draw() * scenario.gossipMs, repliedAt => { next(isGranted && !instance.quarantine.isQuarantined(keys, repliedAt, carried), repliedAt) })
    })
  }

  /** Sends a request from an instance, unless that rejects it. */
  const send = (keys: readonly string[], instance: VirtualInstance, askedAt: number, { onSent, onLost, onRejected }: SendOptions): void => {
    if (toEndpoint(askedAt) === undefined) {
      onLost(askedAt)
      return
    }
    askToSend(keys, instance, askedAt, (isAllowed, at) => {
      if (!isAllowed) {
        onRejected(at)
        return
      }
      const endpoint = toEndpoint(at)
      if (endpoint === undefined) {
        onLost(at)
        return
      }
      const [fingerprint] = keys
      const third = crashesOf.get(fingerprint)?.[CRASHES - 1] ?? Infinity
      if (at > third + GRACE_MS) lateSendsOf.set(fingerprint, (lateSendsOf.get(fingerprint) ?? 0) + 1)
      const run: VirtualRun = { isOver: false, instance, run: instance.quarantine.startRun(keys, toIncarnation(endpoint), at), onLost }
      endpoint.runs.add(run)
      onSent(run, endpoint, at)
    })
  }

  const sendCrashing = (fingerprint: string, at: number): void => {
    let isAnswered = false
    const again = (from: number): void => {
      if (isAnswered) return
      isAnswered = true
      schedule(from + CLIENT_INTERVAL_MS * (0.2 + 0.8 * draw()), now => { sendCrashing(fingerprint, now) })
    }
    send([fingerprint], random.pick(draw, instances), at, {
      onSent (run, endpoint, sentAt) {
        schedule(sentAt + draw() * scenario.queueMs + scenario.crashMs * (0.5 + draw()), now => {
          if (run.isOver) return
          crashesOf.set(fingerprint, [...crashesOf.get(fingerprint) ?? [], now])
          crash(endpoint, now)
        })
      },
      onLost: again,
      onRejected: again
    })
  }

  const toKeys = (fingerprint: string, parts: readonly string[]): string[] => [fingerprint, ...suspectKeys.toPartKeys('svc', 'm', parts)]

  const sendOther = (keys: readonly string[], durationMs: number, at: number, tries: number, returns: number): void => {
    const attempt = { at, isRejected: false }
    if (tries === 0 && returns === 0) firstAttempts.push(attempt)
    send(keys, random.pick(draw, instances), at, {
      onSent (run, endpoint, sentAt) {
        // A repeat of a request that was sound when it was sent first.
        if (sentAt >= BAD_FROM_MS && keys.some(key => key.endsWith(':bad-0'))) {
          crashWithPart(0, run, endpoint, sentAt)
          return
        }
        schedule(sentAt + RESPONDS_AFTER_MS, now => { if (!run.isOver) run.run.begin(now) })
        schedule(sentAt + durationMs, now => {
          if (run.isOver) return
          run.isOver = true
          endpoint.runs.delete(run)
          run.run.end('completed', now)
        })
      },
      onLost (lostAt) {
        if (tries < MAX_TRIES) schedule(lostAt + RETRY_MS * (0.5 + draw()), now => { sendOther(keys, durationMs, now, tries + 1, returns) })
      },
      onRejected (rejectedAt) {
        attempt.isRejected = true
        if (returns < MAX_RETURNS) schedule(rejectedAt + RETURN_MS * (1 + draw() / 2), now => { sendOther(keys, durationMs, now, tries, returns + 1) })
        else outcome.rejected++
      }
    })
  }

  /** Lets a run with a crashing part crash its endpoint. */
  const crashWithPart = (part: number, run: VirtualRun, endpoint: VirtualEndpoint, sentAt: number): void => {
    sendsOfPart.set(part, [...sendsOfPart.get(part) ?? [], sentAt])
    schedule(sentAt + draw() * scenario.queueMs + scenario.crashMs * (0.5 + draw()), now => {
      if (run.isOver) return
      crashesOfPart.set(part, [...crashesOfPart.get(part) ?? [], now])
      crash(endpoint, now)
    })
  }

  /** Returns the parts of the prompt of a sound request. */
  const toSoundParts = (at: number): string[] => {
    if (scenario.badParts === 0) return []
    const topic = `topic-${Math.floor(draw() * TOPICS)}`
    if (at < BAD_FROM_MS && draw() < scenario.turnsBadShare) return scenario.isFirst ? ['bad-0'] : ['root', 'bad-0']
    if (scenario.hasNeighbours && at > BAD_FROM_MS + NEIGHBOURS_FROM_MS && draw() < 0.1) return scenario.isFirst ? ['neighbour'] : ['root', 'neighbour']
    return scenario.isFirst ? [topic] : ['root', topic]
  }

  const toBadParts = (part: number): string[] => {
    const rest = scenario.hasNeighbours ? ['neighbour'] : draw() < 0.5 ? [`topic-${Math.floor(draw() * TOPICS)}`] : []
    return scenario.isFirst ? [`bad-${part}`, ...rest] : ['root', `bad-${part}`, ...rest]
  }

  let badCount = 0
  const sendBad = (part: number, at: number): void => {
    send(toKeys(`with-part-${badCount++}`, toBadParts(part)), random.pick(draw, instances), at, {
      onSent (run, endpoint, sentAt) { crashWithPart(part, run, endpoint, sentAt) },
      onLost () {},
      onRejected () {}
    })
    const next = at - Math.log(1 - draw()) * 1000 / scenario.badPerS
    if (next < BAD_TO_MS) schedule(next, now => { sendBad(part, now) })
  }

  const startOthers = (at: number): void => {
    outcome.others++
    const fingerprint = draw() < scenario.popularShare ? 'popular' : `other-${outcome.others}`
    sendOther(toKeys(fingerprint, toSoundParts(at)), scenario.meanMs * (0.3 - Math.log(1 - draw())), at, 0, 0)
    schedule(at - Math.log(1 - draw()) * 1000 / scenario.rate, startOthers)
  }

  const repeatReports = (at: number): void => {
    for (const instance of instances) deliver(instance, Math.floor(draw() * scenario.instances), instance.quarantine.toReports(at))
    schedule(at + REPEAT_INTERVAL_MS, repeatReports)
  }

  const restart = (at: number): void => {
    const place = Math.floor(draw() * scenario.instances)
    instances[place] = startInstance(place, at)
    for (const other of instances) if (other.place !== place) deliver(other, place, other.quarantine.toReports(at))
    schedule(at + (scenario.restartMs ?? Infinity), restart)
  }

  schedule(0, startOthers)
  schedule(0, repeatReports)
  if (scenario.restartMs !== undefined) schedule(scenario.restartMs, restart)
  for (let i = 0; i < scenario.crashing; i++) {
    for (let copy = 0; copy < scenario.copies; copy++) schedule(2000 + draw() * 1000, at => { sendCrashing(`crashing-${i}`, at) })
  }
  for (let part = 0; part < scenario.badParts; part++) schedule(BAD_FROM_MS + draw() * 1000, at => { sendBad(part, at) })
  while (true) {
    const next = events.pop()
    if (next === undefined || next.at > END_MS) break
    clock = next.at
    next.run(next.at)
  }
  const fifths = [...crashesOfPart].map(([part, list]) => ({ part, at: list[PART_CRASHES - 1] ?? Infinity, last: list[PART_CRASHES - 1] ?? list[list.length - 1] }))
  const settledAt = Math.max(BAD_FROM_MS, ...fifths.map(item => item.last)) + 2 * GRACE_MS
  const settled = firstAttempts.filter(item => item.at > settledAt && item.at < BAD_TO_MS)
  return {
    ...outcome,
    lateSends: Math.max(0, ...lateSendsOf.values()),
    partCrashes: Math.max(0, ...[...crashesOfPart.values()].map(list => list.length)),
    latePartSends: Math.max(0, ...fifths.map(({ part, at }) => (sendsOfPart.get(part) ?? []).filter(sentAt => sentAt > at + GRACE_MS).length)),
    settled: settled.length,
    settledRejected: settled.filter(item => item.isRejected).length
  }
}
