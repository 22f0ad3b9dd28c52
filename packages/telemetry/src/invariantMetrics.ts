/** Exports the tallies of invariants as metrics. */
import * as prom from 'prom-client'
import * as invariants from './invariants.js'

/** Registers gauges that report the tallies of invariants. */
export function exportTallies (registry: prom.Registry, tallies: Record<invariants.Invariant, invariants.Tally>): void {
  const createGauge = (metric: string, help: string, pick: (tally: invariants.Tally) => number) => new prom.Gauge({
    name: metric,
    help,
    labelNames: ['invariant'],
    registers: [registry],
    collect () { for (const name of invariants.INVARIANTS) this.set({ invariant: name }, pick(tallies[name])) }
  })
  createGauge('kingcupdeck_invariant_checked', 'How often each invariant was checked', tally => tally.checked)
  createGauge('kingcupdeck_invariant_broken', 'How often each invariant did not hold: must stay 0', tally => tally.broken)
}
