/** The tallies of invariants as metrics. */
import * as prom from 'prom-client'
import * as invariants from './invariants.js'

/**
 * Shows tallies in a registry.
 * @param registry where they are shown
 * @param tallies how often each invariant was checked and did not hold
 */
export function exportTallies (registry: prom.Registry, tallies: Record<invariants.Invariant, invariants.Tally>): void {
  const create = (metric: string, help: string, pick: (tally: invariants.Tally) => number) => new prom.Gauge({
    name: metric,
    help,
    labelNames: ['invariant'],
    registers: [registry],
    collect () { for (const name of invariants.INVARIANTS) this.set({ invariant: name }, pick(tallies[name])) }
  })
  create('kingcupdeck_invariant_checked', 'How often each invariant was checked', tally => tally.checked)
  create('kingcupdeck_invariant_broken', 'How often each invariant did not hold: must stay 0', tally => tally.broken)
}
