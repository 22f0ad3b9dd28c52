/**
 * The endpoints as this entry instance sees them: what their announcements say, what it has running on them, what
 * the other entry instances report, and which of them failed lately.
 */
import * as http from 'node:http'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as queueDelays from './queueDelay.js'

/** An endpoint as this instance sees it. */
export interface Endpoint {
  readonly id: string
  record: discovery.EndpointRecord
  agent: http.Agent
  /** Requests of this instance that run there. */
  inFlight: number
  /** Requests of the other entry instances there, as they told last. */
  peerInFlight: number
  /** How long requests of this instance wait there until their answers begin. */
  queueDelay: queueDelays.QueueDelayEstimator
  /** The same as the other entry instances see it, milliseconds; undefined where none said so lately. */
  peerQueueDelayMs: number | undefined
  /** Not used before this time, after it could not be reached. */
  backoffUntil: number
  /** Failures to reach it in a row. */
  failures: number
  /** The announcement after which it was found that another process has its address. */
  misdirectedSeq: number | undefined
}

/** The endpoints of all services. */
export interface EndpointPool {
  /** Takes changed records. */
  update (list: readonly discovery.Record[]): void
  get (id: string): Endpoint | undefined
  /** @returns the endpoints of a service that may get work now */
  usable (service: string, now: number): Endpoint[]
  /** @returns the endpoints of a service whose caches can be reached, also those that leave */
  reachable (service: string, now: number): Endpoint[]
  /** @returns all endpoints */
  all (): Endpoint[]
  /** Notes that an endpoint could not be connected to. */
  markUnreachable (endpoint: Endpoint, now: number, why: string): void
  /** Notes that an endpoint answered. */
  markReachable (endpoint: Endpoint): void
  /** Notes that another process answered at the endpoint's address. */
  markMisdirected (endpoint: Endpoint): void
  /** Forgets endpoints that the table has forgotten and that have no work. */
  prune (): void
  /** Gives up all idle connections to an endpoint, after one of them was found silent or broken. */
  closeIdleConnections (endpoint: Endpoint): void
}

/** What a pool is built from. */
export interface EndpointPoolOptions {
  table: discovery.RecordTable
  /** When a control instance with a quorum was last heard: silence counts only up to then. */
  currentAt: () => number
  /** Since when such a one has been heard without a gap. */
  currentSince: () => number
  /** An endpoint that was not heard of for this long gets no work, milliseconds. */
  unresponsiveMs: number
  log: telemetry.Log
}

/** First pause after an endpoint could not be reached; doubled with each further failure. */
const AVOID_MS = 250
const AVOID_MOST_MS = 2000
/** An idle connection is closed after this time, before most endpoints do it themselves. */
const IDLE_CONNECTION_MS = 4000
const IDLE_CONNECTIONS = 32
const KEEP_ALIVE_PROBE_MS = 1000

/**
 * Creates a pool.
 * @param opts where records come from
 * @returns the pool, empty until {@link EndpointPool.update}
 */
export function createEndpointPool (opts: EndpointPoolOptions): EndpointPool {
  const known = new Map<string, Endpoint>()

  const createAgent = (): http.Agent => new http.Agent({
    keepAlive: true,
    keepAliveMsecs: KEEP_ALIVE_PROBE_MS,
    maxFreeSockets: IDLE_CONNECTIONS,
    scheduling: 'lifo',
    timeout: IDLE_CONNECTION_MS
  })

  const take = (record: discovery.EndpointRecord): void => {
    const held = known.get(record.id)
    if (record.state === 'gone') {
      if (held !== undefined) retire(held)
      known.delete(record.id)
      return
    }
    if (held !== undefined && held.record.startedAt === record.startedAt && held.record.address === record.address) {
      held.record = record
      return
    }
    if (held !== undefined) retire(held)
    known.set(record.id, {
      id: record.id,
      record,
      agent: createAgent(),
      inFlight: 0,
      peerInFlight: 0,
      queueDelay: queueDelays.createQueueDelayEstimator(),
      peerQueueDelayMs: undefined,
      backoffUntil: 0,
      failures: 0,
      misdirectedSeq: undefined
    })
    // A process that was started later at the same address has taken the place of the one before, whose last announcement
    // may still be under way.
    for (const other of known.values()) {
      if (other.id !== record.id && other.record.address === record.address && other.record.startedAt < record.startedAt) {
        retire(other)
        known.delete(other.id)
      }
    }
  }

  const isMisdirected = (endpoint: Endpoint): boolean => {
    if (endpoint.misdirectedSeq === undefined) return false
    return (opts.table.get(endpoint.id)?.lastSeenSeq ?? 0) <= endpoint.misdirectedSeq
  }

  const isSilent = (endpoint: Endpoint): boolean => {
    // Guards against an instance that refuses everything when control instances are back after a while: it has heard of no
    // endpoint for as long, and will only with their next announcements. Silence counts from when there is news again.
    const heardAt = Math.max(opts.table.get(endpoint.id)?.lastSeenAt ?? -Infinity, opts.currentSince())
    return opts.currentAt() - heardAt > opts.unresponsiveMs
  }

  const isReachable = (endpoint: Endpoint, now: number): boolean => endpoint.backoffUntil <= now && !isSilent(endpoint)

  return {
    update (list) {
      for (const record of list) {
        if (record.kind === 'endpoint') take(record)
      }
    },
    get: id => known.get(id),
    usable (service, now) {
      const ready = [...known.values()].filter(item => item.record.service === service && item.record.state === 'ready' && !isMisdirected(item))
      const reachable = ready.filter(item => isReachable(item, now))
      if (reachable.length > 0) return reachable
      // With nothing better, those whose pause is nearly over are tried: each may be back already.
      return ready.filter(item => item.backoffUntil - now < AVOID_MS && !isSilent(item))
    },
    reachable: (service, now) => [...known.values()].filter(item => item.record.service === service && !isMisdirected(item) && isReachable(item, now)),
    all: () => [...known.values()],
    markUnreachable (endpoint, now, why) {
      // Many attempts find out about one failure together; each further one would double the pause and add a line to the log.
      if (endpoint.backoffUntil > now) return
      endpoint.failures++
      const pauseMs = Math.min(AVOID_MOST_MS, AVOID_MS * 2 ** (endpoint.failures - 1))
      endpoint.backoffUntil = now + pauseMs
      opts.log.event('endpointGone', { endpoint: endpoint.id, why, failures: endpoint.failures, pauseMs })
    },
    markReachable (endpoint) {
      endpoint.failures = 0
      endpoint.backoffUntil = 0
    },
    markMisdirected (endpoint) {
      endpoint.misdirectedSeq = opts.table.get(endpoint.id)?.lastSeenSeq ?? endpoint.record.seq
      retire(endpoint)
      opts.log.event('endpointGone', { endpoint: endpoint.id, why: 'another process has its address', seq: endpoint.misdirectedSeq })
    },
    prune () {
      for (const [id, endpoint] of known) {
        if (opts.table.get(id) !== undefined || endpoint.inFlight > 0) continue
        retire(endpoint)
        known.delete(id)
      }
    },
    closeIdleConnections: dropIdle
  }
}

function dropIdle (endpoint: Endpoint): void {
  for (const sockets of Object.values(endpoint.agent.freeSockets)) {
    for (const socket of [...(sockets ?? [])]) socket.destroy()
  }
}

/**
 * Guards against answers that are cut by us: an endpoint that says that it is gone serves on what it has for a while, so
 * only its idle connections are closed, and those in use when their answer has ended.
 */
function retire (endpoint: Endpoint): void {
  endpoint.agent.maxFreeSockets = 0
  dropIdle(endpoint)
}
