/** In-process gossip of a fleet. */
import type * as ava from 'ava'
import * as discovery from '@kingcupdeck/discovery'
import type * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as crashQuarantines from '../../src/quarantine/crashQuarantine.js'
import type * as endpointPools from '../../src/endpoints/endpointPool.js'
import * as gossipTypes from '../../src/gossip/gossipTypes.js'
import * as loopLags from '../../src/instance/loopLag.js'
import * as loadGossips from '../../src/gossip/loadGossip.js'
import * as outlierDetectors from '../../src/placement/outlierDetector.js'

const ZONES = 5
export const ENDPOINTS = 20
/** Several intervals of each of the three hops. */
export const SETTLE_MS = 3500

/** An instance of a fleet whose links are function calls. */
export interface Instance {
  inner: string
  endpoints: Array<{ id: string, inFlight: number, peerInFlight: number, peerQueueDelayMs: number | undefined }>
  quarantine: crashQuarantines.CrashQuarantine
  outliers: outlierDetectors.OutlierDetector
  merged: () => number
  evacuations: discovery.Evacuations
  gossip: gossipTypes.Gossip
  sentCount: number
  isUp: boolean
  /** Rounds that are still to fail. */
  failures: number
}

/** A fleet whose links are function calls. */
export interface Fleet {
  instances: Instance[]
  /** Replaces an instance by one that has just started. */
  restart: (place: number) => void
}

/** Starts the gossip of a fleet. */
export function startFleet (t: ava.ExecutionContext, count: number): Fleet {
  const loopLag = loopLags.startLoopLag(() => performance.now())
  t.teardown(loopLag.stop)
  const instances = new Map<string, Instance>()
  const records = Array.from({ length: count }, (_, i): discovery.EntryRecord => ({ kind: 'entry', id: `i${i}`, startedAt: 1, seq: 1, zone: `z${i % ZONES}`, region: 'r', front: `f${i}`, inner: `n${i}`, state: 'ready' }))
  const start = (record: discovery.EntryRecord): void => {
    const endpoints = Array.from({ length: ENDPOINTS }, (_, k) => ({ id: `e${k}`, inFlight: 0, peerInFlight: 0, peerQueueDelayMs: undefined, queueDelay: { estimateMs: () => undefined } }))
    const quarantine = crashQuarantines.createCrashQuarantine({ lagMs: loopLag.lagMs, send: reports => { instance.gossip.sendCrashReports(reports) } })
    const outliers = outlierDetectors.createOutlierDetector()
    let merged = 0
    const connect = async (address: string): Promise<links.Link> => {
      const target = instances.get(address)
      if (target === undefined || !target.isUp || !instance.isUp) throw new Error('unreachable')
      return {
        sendEncoded (event: links.EncodedEvent) {
          instance.sentCount++
          target.gossip.onUpdate(gossipTypes.gossipUpdate.parse(event.body), record.inner)
        }
      } as unknown as links.Link
    }
    const gossip = loadGossips.createGossip({
      self: record,
      peers: () => records.filter(item => item !== record && instances.get(item.inner)?.isUp !== false),
      connect,
      lastFailureAt: () => -Infinity,
      pool: { all: () => endpoints, get: (id: string) => endpoints.find(item => item.id === id) } as unknown as endpointPools.EndpointPool,
      quarantine,
      outliers: { ...outliers, merge (list, now) { for (const [, attempts] of list) merged += attempts; outliers.merge(list, now) } },
      documentVersion () {
        if (instance.failures-- > 0) throw new Error('unexpected')
        return 1
      },
      evacuations: () => instance.evacuations,
      onEvacuations (received) { if (received.revision > instance.evacuations.revision) instance.evacuations = received },
      onDocumentVersion: () => {},
      log: telemetry.createLog({ instance: 'test', level: 'silent' })
    })
    const instance: Instance = { inner: record.inner, endpoints, quarantine, outliers, merged: () => merged, evacuations: discovery.NO_EVACUATIONS, gossip, sentCount: 0, isUp: true, failures: 0 }
    instances.set(record.inner, instance)
    gossip.start()
  }
  for (const record of records) start(record)
  t.teardown(() => { for (const instance of instances.values()) instance.gossip.stop() })
  return {
    get instances () { return records.map(item => instances.get(item.inner) as Instance) },
    restart (place) {
      instances.get(records[place].inner)?.gossip.stop()
      start(records[place])
    }
  }
}
