/** Prometheus metrics of an entry instance. */
import * as prom from 'prom-client'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'

const DURATION_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1, 2, 4, 8, 15]
const MAX_ACCOUNT_LABELS = 100
const MAX_ROUTE_LABELS = 100

export interface EntryMetrics {
  registry: prom.Registry
  /** Time from the request to the response headers. */
  firstByte: prom.Histogram<'account' | 'route'>
  /** Time from the request to its end. */
  duration: prom.Histogram<'account' | 'route'>
  requests: prom.Counter<'route' | 'outcome'>
  attempts: prom.Counter<'service' | 'outcome'>
  /** Requests whose connection was closed before their response was complete, by cause. */
  broken: prom.Counter<'route' | 'cause'>
  /** Silent streams, by whether the endpoint continued or another one did. */
  silences: prom.Counter<'outcome'>
  open: prom.Gauge
  documentVersion: prom.Gauge
  evacuatedZones: prom.Gauge
  evacuationRevision: prom.Gauge
  subscriptions: prom.Gauge
  droppedLines: prom.Gauge
  toAccountLabel: (account: string) => string
  toRouteLabel: (route: string) => string
}

/** Figures that are read when the metrics are collected. */
export interface CollectedFigures {
  /** Time since a control instance with a quorum was heard last, milliseconds; Infinity before the first. */
  quorumAgeMs: () => number
  /** Bytes that are held for requests and responses. */
  heldBytes: () => number
  /** Endpoints that are reached through other instances only. */
  lostPaths: () => number
  /** Connections to endpoints that are open on behalf of other instances. */
  tunnels: () => number
}

/** Creates the metrics. */
export function createEntryMetrics (droppedLines: () => number = () => 0, collected: CollectedFigures = { quorumAgeMs: () => Infinity, heldBytes: () => 0, lostPaths: () => 0, tunnels: () => 0 }): EntryMetrics {
  const registry = new prom.Registry()
  const registers = [registry]
  const gauge = (name: string, help: string, read: () => number): void => {
    const created = new prom.Gauge({ name, help, registers, collect () { created.set(read()) } })
  }
  gauge('kingcupdeck_links_open', 'Open links to other instances', links.openLinkCount)
  gauge('kingcupdeck_sockets_open', 'Open TCP connections of this process, of all kinds', links.openSocketCount)
  gauge('kingcupdeck_lost_paths', 'Endpoints that are reached through other entry instances only', collected.lostPaths)
  gauge('kingcupdeck_tunnels_open', 'Connections to endpoints that are open on behalf of other entry instances', collected.tunnels)
  gauge('kingcupdeck_held_bytes', 'Bytes that are held for requests and responses', collected.heldBytes)
  gauge('kingcupdeck_quorum_age_seconds', 'Time since a control instance with a quorum was heard last; meanwhile the instance serves by what it knew before, or by handouts', () => collected.quorumAgeMs() / 1000)
  return {
    registry,
    firstByte: new prom.Histogram({ name: 'kingcupdeck_forward_first_byte_seconds', help: 'From the request to the head of its answer, per client account and route', labelNames: ['account', 'route'], buckets: DURATION_BUCKETS_S, registers }),
    duration: new prom.Histogram({ name: 'kingcupdeck_forward_seconds', help: 'From the request to its end, per client account and route', labelNames: ['account', 'route'], buckets: DURATION_BUCKETS_S, registers }),
    requests: new prom.Counter({ name: 'kingcupdeck_forward_requests_total', help: 'Requests by route and outcome', labelNames: ['route', 'outcome'], registers }),
    attempts: new prom.Counter({ name: 'kingcupdeck_forward_attempts_total', help: 'Sends to endpoints by service and outcome', labelNames: ['service', 'outcome'], registers }),
    broken: new prom.Counter({ name: 'kingcupdeck_forward_broken_total', help: 'Requests whose connection was closed before their response was complete, by route and cause: endpoint, client, deadline, stopping, memory or error', labelNames: ['route', 'cause'], registers }),
    silences: new prom.Counter({ name: 'kingcupdeck_forward_silences_total', help: 'Streams whose endpoint was silent, by outcome: continued by it, or moved to another one', labelNames: ['outcome'], registers }),
    open: new prom.Gauge({ name: 'kingcupdeck_forward_open', help: 'Requests that run now', registers }),
    documentVersion: new prom.Gauge({ name: 'kingcupdeck_document_version', help: 'Version of the document in force here', registers }),
    evacuatedZones: new prom.Gauge({ name: 'kingcupdeck_evacuated_zones', help: 'Evacuated availability zones in force here', registers }),
    evacuationRevision: new prom.Gauge({ name: 'kingcupdeck_evacuation_revision', help: 'Revision of the evacuated availability zones in force here', registers }),
    subscriptions: new prom.Gauge({ name: 'kingcupdeck_control_subscriptions', help: 'Control instances that tell this instance news', registers }),
    droppedLines: new prom.Gauge({ name: 'kingcupdeck_log_lines_dropped', help: 'Log lines that were left out to stay within bounds', registers, collect () { this.set(droppedLines()) } }),
    toAccountLabel: telemetry.createBoundedLabels(MAX_ACCOUNT_LABELS),
    toRouteLabel: telemetry.createBoundedLabels(MAX_ROUTE_LABELS)
  }
}
