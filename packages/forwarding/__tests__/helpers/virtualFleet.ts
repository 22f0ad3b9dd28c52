/** Entry instances and endpoints on virtual time: requests that crash what runs them, and others beside them. */
import * as contracts from '@kingcupdeck/contracts'
import * as crashQuarantines from '../../src/quarantine/crashQuarantine.js'
import type * as crashReports from '../../src/quarantine/crashReport.js'
import type * as runTrackers from '../../src/quarantine/runTracker.js'
import * as random from './random.js'

/** What happens in a run of the model. */
export interface Scenario {
  seed: number
  instances: number
  endpoints: number
  /** Crashing requests, and clients that send each of them. */
  crashing: number
  copies: number
  /** Time from the start of a run to the crash. */
  crashMs: number
  /** Time for which a run waits in the queue of its endpoint at most. */
  queueMs: number
  /** Other requests in a second, their mean duration, and the share of them that are the same request. */
  rate: number
  meanMs: number
  popularShare: number
  /** Maximum delay of a message between instances. */
  gossipMs: number
  /** Share of the messages between instances that are lost. */
  lossShare: number
  /** Interval at which an instance is replaced by one that has just started; never if undefined. */
  restartMs?: number
}

/** What was seen in a run of the model. */
export interface Outcome {
  crashes: number
  /** The most sends of a crashing request later than {@link GRACE_MS} after its third crash. */
  lateSends: number
  /** Other requests that were asked for, and those that ended with a rejection. */
  others: number
  rejected: number
}

/** Defaults of a scenario. */
export const QUIET: Omit<Scenario, 'seed'> = { instances: 8, endpoints: 12, crashing: 1, copies: 1, crashMs: 70, queueMs: 0, rate: 60, meanMs: 800, popularShare: 0, gossipMs: 10, lossShare: 0 }

const END_MS = 40_000
const CRASHES = 3
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
export function runScenario (scenario: Scenario): Outcome {
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

  /** Asks the instance that permits trials of a request, if it may only be sent as one. */
  const askToSend = (fingerprint: string, instance: VirtualInstance, at: number, proceed: (isAllowed: boolean, at: number) => void): void => {
    const { kind } = instance.quarantine.judge(fingerprint, at)
    const [arbiter] = contracts.toRendezvousOrder(fingerprint, instances, item => `i${item.place}`)
    if (kind !== 'trial') proceed(kind === 'allowed', at)
    else if (arbiter === instance) proceed(at - instance.startedAt > LEARNING_MS && instance.quarantine.grantTrial(fingerprint, at, 'self'), at)
    else {
      const reports = instance.quarantine.toReportsOf(fingerprint, at)
      const isLost = draw() < scenario.lossShare
      schedule(at + draw() * scenario.gossipMs, askedAt => {
        arbiter.quarantine.merge(reports.map(item => ({ ...item, agoMs: item.agoMs + askedAt - at })), askedAt, `i${instance.place}`)
        const isGranted = !isLost && instances.includes(arbiter) && askedAt - arbiter.startedAt > LEARNING_MS && arbiter.quarantine.grantTrial(fingerprint, askedAt, `i${instance.place}`)
        schedule(askedAt + draw() * scenario.gossipMs, repliedAt => { proceed(isGranted && !instance.quarantine.isQuarantined(fingerprint, repliedAt), repliedAt) })
      })
    }
  }

  /** Sends a request from an instance, unless that rejects it. */
  const send = (fingerprint: string, instance: VirtualInstance, askedAt: number, { onSent, onLost, onRejected }: SendOptions): void => {
    if (toEndpoint(askedAt) === undefined) {
      onLost(askedAt)
      return
    }
    askToSend(fingerprint, instance, askedAt, (isAllowed, at) => {
      if (!isAllowed) {
        onRejected(at)
        return
      }
      const endpoint = toEndpoint(at)
      if (endpoint === undefined) {
        onLost(at)
        return
      }
      const third = crashesOf.get(fingerprint)?.[CRASHES - 1] ?? Infinity
      if (at > third + GRACE_MS) lateSendsOf.set(fingerprint, (lateSendsOf.get(fingerprint) ?? 0) + 1)
      const run: VirtualRun = { isOver: false, instance, run: instance.quarantine.startRun(fingerprint, toIncarnation(endpoint), at), onLost }
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
    send(fingerprint, random.pick(draw, instances), at, {
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

  const sendOther = (fingerprint: string, durationMs: number, at: number, tries: number, returns: number): void => {
    send(fingerprint, random.pick(draw, instances), at, {
      onSent (run, endpoint, sentAt) {
        schedule(sentAt + durationMs, now => {
          if (run.isOver) return
          run.isOver = true
          endpoint.runs.delete(run)
          run.run.end('completed', now)
        })
      },
      onLost (lostAt) {
        if (tries < MAX_TRIES) schedule(lostAt + RETRY_MS * (0.5 + draw()), now => { sendOther(fingerprint, durationMs, now, tries + 1, returns) })
      },
      onRejected (rejectedAt) {
        if (returns < MAX_RETURNS) schedule(rejectedAt + RETURN_MS * (1 + draw() / 2), now => { sendOther(fingerprint, durationMs, now, tries, returns + 1) })
        else outcome.rejected++
      }
    })
  }

  const startOthers = (at: number): void => {
    outcome.others++
    const fingerprint = draw() < scenario.popularShare ? 'popular' : `other-${outcome.others}`
    sendOther(fingerprint, scenario.meanMs * (0.3 - Math.log(1 - draw())), at, 0, 0)
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
  while (true) {
    const next = events.pop()
    if (next === undefined || next.at > END_MS) break
    clock = next.at
    next.run(next.at)
  }
  return { ...outcome, lateSends: Math.max(0, ...lateSendsOf.values()) }
}
