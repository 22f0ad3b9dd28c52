/**
 * Paths from this entry instance to the endpoints. If a connection to an endpoint fails, other instances are asked whether they reach
 * it. If one does, the path is lost, not the endpoint: connections to it are opened through such an instance until the path is back.
 * Which instances help is known for each endpoint, since a path may be lost to a part of them only.
 */
import type * as net from 'node:net'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import type * as telemetry from '@kingcupdeck/telemetry'
import * as endpointDialers from './endpointDialer.js'
import type * as endpointPools from '../endpoints/endpointPool.js'
import * as endpointProbes from '../endpoints/endpointProbe.js'
import * as reachMessages from './reachMessages.js'
import * as reachQueries from './reachQuery.js'

/**
 * Why a connection to an endpoint failed: the path of this instance is lost, no instance that replied reaches the endpoint, or no
 * instance replied.
 */
export type PathVerdict = 'lost' | 'down' | 'unknown'

/** Paths from this entry instance to the endpoints. */
export interface LostPaths {
  /** Finds out whether the path to an endpoint is lost after a connection to it failed. */
  check (endpoint: endpointPools.Endpoint, failure: endpointProbes.ProbeFailure): Promise<PathVerdict>
  /**
   * Opens a connection to an endpoint.
   * @param helper inner address of the entry instance to connect through, by default any if the own path is lost
   * @throws endpointDialers.DialError
   */
  dial (endpoint: endpointPools.Endpoint, helper?: string): Promise<net.Socket>
  /** Applies changed records: connections through an instance that is leaving are not used for further requests. */
  update (list: readonly discovery.Record[]): void
  /** Returns whether a connection may be used for a further request. */
  mayReuse (socket: net.Socket): boolean
  /** Number of endpoints that are reached through other instances only. */
  count (): number
  /** Returns whether this instance has lost its paths to most endpoints of a service. */
  isImpaired (): boolean
  stop (): void
}

/** Options of {@link createLostPaths}. */
export interface LostPathsOptions extends Pick<reachQueries.ReachQueryOptions, 'zone' | 'region' | 'peers' | 'connect'> {
  pool: Pick<endpointPools.EndpointPool, 'all' | 'get' | 'clearBackoff' | 'closeIdleConnections'>
  connectDirectly: endpointDialers.Connect
  /** Opens a tunnel through another instance. @throws links.TunnelError if that instance does not reach the target, else Error */
  openTunnel: (helper: string, target: string) => Promise<net.Socket>
  /** Called when the path to an endpoint turns out to be lost. */
  onLost: (endpoint: endpointPools.Endpoint) => void
  log: telemetry.Log
  now: () => number
}

/** Interval at which lost paths are probed, and the helpers of their endpoints are asked again. */
const CHECK_INTERVAL_MS = 500
/** Random share of the interval, so that instances that lost their paths together do not probe together. */
const CHECK_JITTER = 0.25
/** Age of a response up to which a helper is known to still reach an endpoint. */
const REFRESH_MAX_AGE_MS = 1000
/** Lost paths that are probed at a time. */
const MAX_PROBES = 16
/** Consecutive successful probes after which a path is back; a lossy one lets some connections through. */
const MIN_SUCCESSES = 2
/** Endpoints of the same service or zone that are probed when a path is lost. */
const MAX_SIBLINGS = 24
const SIBLING_INTERVAL_MS = 250
/** Helpers that are tried for one connection. */
const MAX_HELPERS_TRIED = 2
/** Load of a helper in another zone, as a multiple of that of one in the same zone, at which the latter is preferred. */
const FAR_LOAD_FACTOR = 2
/** Share of the endpoints of a service whose paths are lost at an impaired instance. */
const IMPAIRED_SHARE = 0.5

interface LostPath { successes: number, since: number }

export function createLostPaths (opts: LostPathsOptions): LostPaths {
  const { pool, log, now } = opts
  const lost = new Map<endpointPools.Endpoint, LostPath>()
  const groups = new Map<string, number>()
  const checks = new Map<endpointPools.Endpoint, Promise<PathVerdict>>()
  const loads = new Map<string, number>()
  /** Inner addresses of the instances that are leaving. */
  const leaving = new Set<string>()
  const siblingsAt = new Map<string, number>()
  let timer: NodeJS.Timeout | undefined
  let isStopped = false
  const findReach = reachQueries.createReachQuery({ ...opts, onLoad: (helper, load) => { loads.set(helper, load) } })

  const toGroup = ({ record }: endpointPools.Endpoint): string => `${record.service} ${record.zone}`

  const toFields = ({ record, helpers }: endpointPools.Endpoint): { service: string, zone: string, helpers: string | undefined } => {
    return { service: record.service, zone: record.zone, helpers: helpers?.join(' ') }
  }

  const markLost = (endpoint: endpointPools.Endpoint, helpers: string[], failure: endpointProbes.ProbeFailure): void => {
    endpoint.helpers = helpers
    pool.clearBackoff(endpoint)
    // Requests on silent connections have waited for the path, not for the endpoint. Open connections may outlive a refusal.
    if (failure.isSilent) {
      endpoint.queueDelay?.reset()
      pool.closeIdleConnections(endpoint)
    }
    if (lost.has(endpoint)) return
    lost.set(endpoint, { successes: 0, since: now() })
    const group = toGroup(endpoint)
    groups.set(group, (groups.get(group) ?? 0) + 1)
    if (groups.get(group) === 1) log.event('pathLost', { ...toFields(endpoint), endpoint: endpoint.id, why: failure.why })
    opts.onLost(endpoint)
    timer ??= startTimer()
    void checkSiblings(endpoint)
  }

  const forget = (endpoint: endpointPools.Endpoint, isRegained: boolean): void => {
    const item = lost.get(endpoint)
    if (item === undefined) return
    lost.delete(endpoint)
    const group = toGroup(endpoint)
    const remaining = (groups.get(group) ?? 1) - 1
    if (remaining > 0) groups.set(group, remaining)
    else groups.delete(group)
    if (remaining === 0) siblingsAt.delete(group)
    if (remaining === 0 && isRegained) log.event('pathRegained', { ...toFields(endpoint), helpers: undefined, ms: Math.round(now() - item.since) })
    endpoint.helpers = undefined
    pool.closeIdleConnections(endpoint)
  }

  const isKnown = (endpoint: endpointPools.Endpoint): boolean => pool.get(endpoint.id) === endpoint

  const probe = async (endpoint: endpointPools.Endpoint): Promise<endpointProbes.ProbeFailure | undefined> => {
    return await endpointProbes.tryDial(async () => await endpointDialers.dial(opts.connectDirectly, endpoint.record.address))
  }

  /** Probes endpoints whose paths are probably lost too, so that no request has to find out. */
  const checkSiblings = async (endpoint: endpointPools.Endpoint): Promise<void> => {
    const group = toGroup(endpoint)
    if (now() - (siblingsAt.get(group) ?? -Infinity) < SIBLING_INTERVAL_MS) return
    siblingsAt.set(group, now())
    const { service, zone } = endpoint.record
    const siblings = pool.all().filter(item => (item.record.service === service || item.record.zone === zone) && item.record.state !== 'gone' && item.helpers === undefined)
    await Promise.all(discovery.toShuffled(siblings).slice(0, MAX_SIBLINGS).map(async item => {
      const failure = await probe(item)
      if (failure !== undefined) await check(item, failure)
    }))
  }

  const check = async (endpoint: endpointPools.Endpoint, failure: endpointProbes.ProbeFailure): Promise<PathVerdict> => {
    const running = checks.get(endpoint)
    if (running !== undefined) return await running
    // An earlier response says nothing: the endpoint may have gone down meanwhile.
    const started = findReach(endpoint, 0).then((reach): PathVerdict => {
      if (reach.helpers.length > 0 && isKnown(endpoint) && !isStopped) {
        markLost(endpoint, reach.helpers, failure)
        return 'lost'
      }
      forget(endpoint, false)
      return reach.isAnswered ? 'down' : 'unknown'
    }).finally(() => { checks.delete(endpoint) })
    checks.set(endpoint, started)
    return await started
  }

  /** Probes some lost paths, and asks for the helpers of the others. */
  const checkLost = async (): Promise<void> => {
    for (const endpoint of lost.keys()) if (!isKnown(endpoint)) forget(endpoint, false)
    const some = discovery.toShuffled([...lost.keys()]).slice(0, MAX_PROBES)
    await Promise.all(some.map(async endpoint => {
      const failure = await probe(endpoint)
      const item = lost.get(endpoint)
      if (item === undefined) return
      if (failure !== undefined) {
        item.successes = 0
        await refresh(endpoint)
      } else if (++item.successes >= MIN_SUCCESSES) {
        forget(endpoint, true)
      }
    }))
  }

  const refresh = async (endpoint: endpointPools.Endpoint): Promise<void> => {
    const { helpers } = await findReach(endpoint, REFRESH_MAX_AGE_MS)
    // Without any, connections through those known so far find out.
    if (helpers.length > 0 && lost.has(endpoint)) endpoint.helpers = helpers
  }

  const startTimer = (): NodeJS.Timeout => setTimeout(() => {
    void checkLost().finally(() => {
      timer = lost.size > 0 && !isStopped ? startTimer() : undefined
    })
  }, CHECK_INTERVAL_MS * (1 + CHECK_JITTER * (2 * Math.random() - 1))).unref()

  /** Chooses one of two random helpers by load, near ones first. */
  const chooseHelper = (helpers: readonly string[]): string => {
    const zones = new Map(opts.peers().filter(item => item.state === 'ready').map(item => [item.inner, item.zone]))
    const ready = helpers.filter(helper => zones.has(helper))
    const cost = (helper: string): number => ((loads.get(helper) ?? 0) + 1) * (zones.get(helper) === opts.zone ? 1 : FAR_LOAD_FACTOR)
    const [first, second = first] = discovery.toShuffled(ready.length > 0 ? ready : [...helpers])
    return cost(second) < cost(first) ? second : first
  }

  const dialHelper = async (endpoint: endpointPools.Endpoint, helper: string): Promise<net.Socket> => {
    try {
      const socket = endpointDialers.markTunnel(await opts.openTunnel(helper, reachMessages.toTarget(endpoint)), helper)
      loads.set(helper, (loads.get(helper) ?? 0) + 1)
      return socket
    } catch (err) {
      throw new endpointDialers.DialError(`through another instance: ${err instanceof Error ? err.message : String(err)}`, err instanceof links.TunnelError && err.isSilent)
    }
  }

  const dialThrough = async (endpoint: endpointPools.Endpoint): Promise<net.Socket> => {
    let cause: unknown
    for (let tries = 0; tries < MAX_HELPERS_TRIED && endpoint.helpers !== undefined && endpoint.helpers.length > 0; tries++) {
      const helper = chooseHelper(endpoint.helpers)
      try {
        return await dialHelper(endpoint, helper)
      } catch (err) {
        cause = err
        endpoint.helpers = endpoint.helpers?.filter(item => item !== helper)
      }
    }
    throw cause ?? new endpointDialers.DialError('through another instance: no instance that reaches the endpoint is known', false)
  }

  return {
    check,
    async dial (endpoint, helper) {
      if (helper !== undefined) return await dialHelper(endpoint, helper)
      if (endpoint.helpers !== undefined) return await dialThrough(endpoint)
      return await endpointDialers.dial(opts.connectDirectly, endpoint.record.address)
    },
    update (list) {
      for (const record of list) {
        if (record.kind !== 'entry') continue
        if (record.state !== 'leaving') {
          leaving.delete(record.inner)
          continue
        }
        leaving.add(record.inner)
        for (const endpoint of pool.all()) pool.closeIdleConnections(endpoint, record.inner)
      }
    },
    mayReuse (socket) {
      const helper = endpointDialers.findHelper(socket)
      return helper === undefined || !leaving.has(helper)
    },
    count: () => lost.size,
    isImpaired () {
      const known = new Map<string, { all: number, lost: number }>()
      for (const endpoint of lost.size === 0 ? [] : pool.all()) {
        const item = known.get(endpoint.record.service) ?? { all: 0, lost: 0 }
        item.all++
        if (endpoint.helpers !== undefined) item.lost++
        known.set(endpoint.record.service, item)
      }
      return [...known.values()].some(item => item.lost > 0 && item.lost >= IMPAIRED_SHARE * item.all)
    },
    stop () {
      isStopped = true
      clearTimeout(timer)
    }
  }
}
