/** Prometheus metrics of a control instance of the forwarding fleet. */
import * as prom from 'prom-client'
import type * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import type * as controlInstances from './controlInstance.js'

const BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4]

/** The metrics of a control instance. */
export interface ControlMetrics {
  registry: prom.Registry
  /** Duration of calls of operators and endpoints, seconds, by kind and status. */
  calls: prom.Histogram<'call' | 'status'>
}

/**
 * Creates the metrics.
 * @param droppedLines returns the number of log lines dropped so far
 */
export function createControlMetrics (instance: controlInstances.ControlInstance, droppedLines: () => number): ControlMetrics {
  const registry = new prom.Registry()
  const registers = [registry]
  const gauge = (name: string, help: string, read: () => number): void => {
    const created = new prom.Gauge({ name, help, registers, collect () { created.set(read()) } })
  }
  gauge('kingcupdeck_document_version', 'Version of the document held here', () => instance.store.latest()?.version ?? 0)
  gauge('kingcupdeck_evacuated_zones', 'Evacuated availability zones held here', () => instance.store.evacuations().zones.length)
  gauge('kingcupdeck_control_current', 'Whether this instance had applied all committed entries a short time ago', () => instance.store.isCurrent() ? 1 : 0)
  gauge('kingcupdeck_group_founded', 'Whether this instance knows a leader of the group of the document', () => instance.store.status()?.missing === null ? 1 : 0)
  gauge('kingcupdeck_control_leads', 'Whether this instance leads the group of the document', () => instance.store.isLeader() ? 1 : 0)
  gauge('kingcupdeck_records', 'Endpoints and entry instances that are known and not gone', () => instance.table.all().filter(item => item.state !== 'gone').length)
  gauge('kingcupdeck_links_open', 'Open links to other instances', links.openLinkCount)
  gauge('kingcupdeck_sockets_open', 'Open TCP connections of this process, of all kinds', links.openSocketCount)
  gauge('kingcupdeck_subscribers', 'Entry instances that are subscribed here', instance.subscriberCount)
  gauge('kingcupdeck_records_late', 'Records without a recent heartbeat', instance.lateCount)
  gauge('kingcupdeck_log_lines_dropped', 'Log lines that were left out to stay within bounds', droppedLines)
  createRefusedCounter(instance.refusals, registers)
  return {
    registry,
    calls: new prom.Histogram({ name: 'kingcupdeck_control_call_seconds', help: 'Calls of operators and endpoints, by kind and status', labelNames: ['call', 'status'], buckets: BUCKETS_SECONDS, registers })
  }
}

function createRefusedCounter (refusals: discovery.Refusals, registers: prom.Registry[]): void {
  const counter = new prom.Counter({
    name: 'kingcupdeck_input_refused_total',
    help: 'Refused announcements, records and heartbeats, by kind',
    labelNames: ['kind'],
    registers,
    collect () {
      counter.reset()
      for (const [kind, count] of refusals.counts()) counter.inc({ kind }, count)
    }
  })
}
