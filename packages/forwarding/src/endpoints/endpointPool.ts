/**
 * Pool of the known endpoints: their announcements, the requests in flight of this and of the other entry instances, and recent
 * connection failures.
 */
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as endpointAgents from './endpointAgent.js'
import * as endpointBackoffs from './endpointBackoff.js'
import * as endpointDialers from '../paths/endpointDialer.js'
import * as endpointIndexes from './endpointIndex.js'
import type * as endpointProbes from './endpointProbe.js'
import * as newEndpoints from './newEndpoint.js'
import * as queueDelays from '../placement/queueDelay.js'
import * as supersededEndpoints from './supersededEndpoints.js'
import * as usableRecords from './usableRecord.js'

/** State of an endpoint at this instance. */
export interface Endpoint {
  readonly id: string
  record: discovery.EndpointRecord
  /** Its connections, from its first request until none is left; {@link endpointAgents.toAgent} creates it. */
  agent: http.Agent | undefined
  /** Returns whether a connection to it may be used for a further request. */
  mayReuse: (socket: net.Socket) => boolean
  /**
   * Opens a connection to it.
   * @param helper inner address of the entry instance to connect through, by default the present path
   * @throws DialError when that fails
   */
  dial: (helper?: string) => Promise<net.Socket>
  /** Inner addresses of the entry instances through which it is reached; undefined while this instance has a path of its own. */
  helpers: readonly string[] | undefined
  /** When this instance last received a response of it, on the monotonic clock; -Infinity if never. */
  answeredAt: number
  /** When it last accepted a connection for a probe, on the monotonic clock; -Infinity if never. */
  acceptedAt: number
  /** Requests in flight of this instance. */
  inFlight: number
  /** Requests in flight of the other entry instances, by their last gossip update. */
  peerInFlight: number
  /** Queue delay of the requests of this instance; undefined while it has sent none for a while. */
  queueDelay: queueDelays.QueueDelayEstimator | undefined
  /** Queue delay at the other entry instances in milliseconds, undefined without a recent gossip update. */
  peerQueueDelayMs: number | undefined
  /** Not used before this time, after a connection failure. */
  backoffUntil: number
  /** Consecutive connection failures. */
  failures: number
  /** The number of them that was logged last. */
  loggedFailures: number
  /** The value of `suspectedColdAt` before the first of them. */
  suspectedColdBefore: number
  /** Consecutive responses that were ended for their length. */
  excesses: number
  /** Not used before this time, after several of them. */
  excessUntil: number
  /** When another process was found at its address. */
  misdirectedAt: number | undefined
  /** End of the warm-up that it announced, 0 if it is warm. */
  coldUntil: number
  /** When it was last found or ordered to be in a state that may end in a warm-up, -Infinity if never. */
  suspectedColdAt: number
  /** Called when its availability zone is found unreachable, which is silence, and when a later start of it is announced, which is none. */
  readonly downListeners: Set<(failure: endpointProbes.ProbeFailure) => void>
  /** Called when it responds to a request, with the time at which that was sent. */
  readonly answerListeners: Set<(sentAt: number) => void>
}

/** The endpoints of all services. */
export interface EndpointPool {
  /** Applies changed endpoint records. */
  update (list: readonly discovery.Record[]): void
  get (id: string): Endpoint | undefined
  /** Returns the endpoints of a service that can be sent requests now. */
  usable (service: string, now: number): Endpoint[]
  /** Returns the endpoints of a service that could be sent requests now if their zones were not evacuated. */
  evacuated (service: string, now: number): Endpoint[]
  /** Returns the reachable endpoints of a service, also leaving ones. */
  reachable (service: string, now: number): Endpoint[]
  all (): Endpoint[]
  /** Describes how many endpoints of a service this instance reaches, for the log. */
  describeReach (service: string, now: number): string
  /** Records a connection failure; the endpoint is not used during a backoff period. */
  markUnreachable (endpoint: Endpoint, now: number, failure: endpointProbes.ProbeFailure): void
  /** Logs a connection failure that is not due to the path of this instance, once for each backoff period. */
  logUnreachable (endpoint: Endpoint, failure: endpointProbes.ProbeFailure): void
  /** Ends the backoff period of an endpoint that was up all the while: the connection failures were due to the path. */
  clearBackoff (endpoint: Endpoint): void
  /** Records a response; ends the backoff period. */
  markReachable (endpoint: Endpoint, now: number): void
  /** Records a response that was ended for its length; repeated ones set the endpoint aside for a time. */
  recordExcess (endpoint: Endpoint, now: number): void
  /** Records that the endpoints of a zone may have become cold, which their announcements will confirm later or not. */
  suspectCold (zone: string, now: number): void
  /** Records that another process answered at the address of the endpoint; it is not used until its next announcement. */
  markMisdirected (endpoint: Endpoint, now: number): void
  /** Removes endpoints that are no longer in the record table and have no requests in flight. */
  prune (): void
  /**
   * Closes idle connections to an endpoint, after one of its connections failed.
   * @param helper closes only those through this entry instance
   */
  closeIdleConnections (endpoint: Endpoint, helper?: string): void
}

/** Options of {@link createEndpointPool}. */
export interface EndpointPoolOptions {
  table: discovery.RecordTable
  /** Time of the last message from a control instance with a quorum. */
  lastQuorumAt: () => number
  /** Start of the uninterrupted period of such messages. */
  quorumSince: () => number
  /** Returns the evacuated zones; none by default. */
  evacuatedZones?: () => readonly string[]
  /** Called when an endpoint is found silent. */
  onSilence?: (endpoint: Endpoint, now: number) => void
  /** Called when an endpoint responds. */
  onAnswer?: (endpoint: Endpoint) => void
  /** Called when a later start of an endpoint that was not leaving is announced, or of another one at its address. */
  onRestart?: (endpoint: Endpoint) => void
  /** Returns whether a zone is unreachable while others are reachable; none by default. */
  isZoneAvoided?: (zone: string) => boolean
  /** An endpoint without an announcement for this time is unresponsive and not used, in milliseconds. */
  unresponsiveMs: () => number
  log: telemetry.Log
  /** Opens a connection to an endpoint, a direct one by default. @throws DialError when that fails */
  dial?: (endpoint: Endpoint, helper?: string) => Promise<net.Socket>
  /** Returns whether a connection may be used for a further request; true by default. */
  mayReuse?: (socket: net.Socket) => boolean
  /** Returns milliseconds on the monotonic clock. */
  now?: () => number
}

/** An endpoint that responded within this time counts as reached. */
const REACHED_MAX_AGE_MS = 1000

/**
 * Returns whether an endpoint warms up, or may do so before its announcement arrives.
 * @param coldStartMs warm-up time after a start, in milliseconds
 */
export function mayBeCold (endpoint: Endpoint, coldStartMs: number, now: number): boolean {
  return endpoint.coldUntil > now || now - endpoint.suspectedColdAt < coldStartMs
}

/** Returns a key that tells the starts of an endpoint apart. */
export function toIncarnation (endpoint: Endpoint): string {
  return `${endpoint.id}@${endpoint.record.startedAt}`
}

/** Creates an empty pool. */
export function createEndpointPool (opts: EndpointPoolOptions): EndpointPool {
  const index = endpointIndexes.createEndpointIndex()
  const evacuatedZones = opts.evacuatedZones ?? (() => [])
  const isZoneAvoided = opts.isZoneAvoided ?? (() => false)
  const now = opts.now ?? (() => performance.now())
  const dial = opts.dial ?? (async endpoint => await endpointDialers.dial(endpointDialers.connectDirectly, endpoint.record.address))

  const isUsable = usableRecords.createRecordCheck(opts.log)
  /** A record that is not applied is not sent again before it changes. */
  const guard = telemetry.createStepGuard(opts.log, 'endpoints')

  const toColdUntil = (record: discovery.EndpointRecord): number => record.coldMs > 0 ? now() + record.coldMs : 0

  const applyRecord = (record: discovery.EndpointRecord): void => {
    if (superseded.has(record)) return
    const known = index.get(record.id)
    if (record.state === 'gone') {
      if (known !== undefined) endpointAgents.release(known)
      index.remove(record.id)
      return
    }
    if (known !== undefined && known.record.startedAt === record.startedAt && known.record.address === record.address) {
      known.record = record
      known.coldUntil = toColdUntil(record)
      index.put(known)
      return
    }
    if (known !== undefined) {
      noteRestart(known, record)
      endpointAgents.release(known)
    }
    const endpoint = newEndpoints.createEndpoint(record, { dial, mayReuse: opts.mayReuse, coldUntil: toColdUntil(record) })
    index.put(endpoint)
    // A process that started later at the same address has replaced the earlier one, whose last announcement may arrive late.
    for (const earlier of index.addStart(endpoint)) {
      noteRestart(earlier, record)
      endpointAgents.release(earlier)
      index.remove(earlier.id)
      superseded.add(earlier.record)
    }
  }

  /** Uses endpoints again that went on being heard. Their starts are not noted: no further one at their address supersedes them. */
  const restore = (heard: ReadonlyArray<discovery.KnownRecord<discovery.EndpointRecord>>): void => {
    for (const { record, coldUntil } of heard) index.put(newEndpoints.createEndpoint(record, { dial, mayReuse: opts.mayReuse, coldUntil }))
  }

  const noteRestart = (endpoint: Endpoint, later: discovery.EndpointRecord): void => {
    if (later.startedAt <= endpoint.record.startedAt) return
    for (const listener of [...endpoint.downListeners]) guard(() => { listener({ why: 'a later start of the endpoint was announced', isSilent: false }) })
    if (endpoint.record.state === 'ready') opts.onRestart?.(endpoint)
  }

  /** Returns whether requests can be sent to an endpoint, directly or through another instance. */
  const isReachable = (endpoint: Endpoint, now: number): boolean => {
    return endpoint.backoffUntil <= now && (endpoint.helpers !== undefined || !isZoneAvoided(endpoint.record.zone))
  }

  const isMisdirected = (endpoint: Endpoint): boolean => {
    if (endpoint.misdirectedAt === undefined) return false
    return (opts.table.get(endpoint.id)?.lastSeenAt ?? -Infinity) <= endpoint.misdirectedAt
  }

  /** Returns a check of endpoints for one request. */
  const createUnresponsiveCheck = (): (id: string) => boolean => {
    const lastQuorumAt = opts.lastQuorumAt()
    // After an outage of the control instances all announcements are old. The time is counted from when updates resumed, so that not
    // all endpoints are considered unresponsive.
    const quorumSince = opts.quorumSince()
    const unresponsiveMs = opts.unresponsiveMs()
    return id => lastQuorumAt - Math.max(opts.table.get(id)?.lastSeenAt ?? -Infinity, quorumSince) > unresponsiveMs
  }

  const superseded = supersededEndpoints.createSupersededEndpoints({ table: opts.table, createUnresponsiveCheck, now })
  const toServiceEndpoints = (service: string): Endpoint[] => {
    restore(superseded.takeHeardAtInterval())
    return [...index.ofService(service)].filter(item => !isMisdirected(item))
  }

  return {
    update (list) {
      for (const record of list) {
        if (record.kind === 'endpoint') guard(() => { if (isUsable(record)) applyRecord(record) })
      }
    },
    get: id => index.get(id),
    usable (service, now) {
      const zones = evacuatedZones()
      const isUnresponsive = createUnresponsiveCheck()
      const ready = toServiceEndpoints(service).filter(item => item.record.state === 'ready' && !zones.includes(item.record.zone) && item.excessUntil <= now && !isUnresponsive(item.id))
      const reachable = ready.filter(item => isReachable(item, now))
      if (reachable.length > 0) return reachable
      // If no endpoint is reachable, those whose backoff is nearly over are used.
      return ready.filter(item => item.backoffUntil - now < endpointBackoffs.BACKOFF_MS)
    },
    evacuated (service, now) {
      const zones = evacuatedZones()
      if (zones.length === 0) return []
      const isUnresponsive = createUnresponsiveCheck()
      return toServiceEndpoints(service).filter(item => zones.includes(item.record.zone) && item.record.state === 'ready' && item.backoffUntil <= now && !isUnresponsive(item.id))
    },
    reachable (service, now) {
      const isUnresponsive = createUnresponsiveCheck()
      return toServiceEndpoints(service).filter(item => isReachable(item, now) && !isUnresponsive(item.id))
    },
    all: () => [...index.all()],
    describeReach (service, now) {
      const known = toServiceEndpoints(service)
      const reached = known.filter(item => now - item.answeredAt < REACHED_MAX_AGE_MS).length
      const inBackoff = known.filter(item => item.backoffUntil > now).length
      return `${reached} of ${known.length}, ${inBackoff} in backoff`
    },
    markUnreachable (endpoint, now, failure) {
      if (failure.isSilent) opts.onSilence?.(endpoint, now)
      // Concurrent attempts report the same failure, which must be counted only once.
      if (endpoint.backoffUntil > now) return
      endpointBackoffs.recordFailure(endpoint, now)
    },
    logUnreachable (endpoint, failure) {
      if (endpoint.loggedFailures === endpoint.failures) return
      endpoint.loggedFailures = endpoint.failures
      // A response may have come since.
      if (endpoint.failures === 0) return
      opts.log.event('endpointGone', { endpoint: endpoint.id, why: failure.why, failures: endpoint.failures, pauseMs: Math.round(endpoint.backoffUntil - now()) })
    },
    clearBackoff (endpoint) {
      if (endpoint.failures > 0) endpoint.suspectedColdAt = endpoint.suspectedColdBefore
      endpointBackoffs.resetFailures(endpoint)
    },
    markReachable (endpoint, now) {
      // A response through another instance says nothing about the path to its zone.
      if (endpoint.helpers === undefined) opts.onAnswer?.(endpoint)
      endpoint.answeredAt = now
      // It may have restarted, and its announcement may not have arrived yet.
      if (endpoint.failures > 0) endpoint.suspectedColdAt = now
      endpointBackoffs.resetFailures(endpoint)
    },
    recordExcess: endpointBackoffs.recordExcess,
    suspectCold (zone, now) {
      for (const endpoint of index.all()) {
        if (endpoint.record.zone === zone) endpoint.suspectedColdAt = now
      }
    },
    markMisdirected (endpoint, now) {
      endpoint.misdirectedAt = now
      endpointAgents.release(endpoint)
      opts.log.event('endpointGone', { endpoint: endpoint.id, why: 'another process has its address' })
    },
    prune () {
      for (const endpoint of index.all()) {
        if (endpoint.inFlight > 0) continue
        endpointAgents.dropUnused(endpoint)
        if (now() - endpoint.answeredAt >= queueDelays.MAX_AGE_MS) endpoint.queueDelay = undefined
        if (opts.table.get(endpoint.id) !== undefined) continue
        endpointAgents.release(endpoint)
        index.remove(endpoint.id)
      }
      index.pruneStarts()
      restore(superseded.takeHeard())
    },
    closeIdleConnections: endpointAgents.closeIdleConnections
  }
}
