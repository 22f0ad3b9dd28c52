/** Which evacuated zones an entry instance assumes from the reports of several control instances. */
import * as ava from 'ava'
import * as discovery from '../src/index.js'
import * as helper from './helpers/testControl.js'

const test = ava.default

// An instance that asked only control instances that had missed an order served by their older list until there was a leader.
test('an evacuation that only a majority of the control instances knows reaches all instances without a leader', async t => {
  const addresses: string[] = []
  const controls = await Promise.all(Array.from({ length: 9 }, async (_, i) => await helper.startControl({ isTicking: true, isCurrent: false, peerAddresses: addresses, evacuations: i < 4 ? undefined : { revision: 1, zones: ['z1'] } })))
  addresses.push(...controls.map(item => item.address))
  const entries = Array.from({ length: 40 }, (_, i) => helper.startEntry(`i${i}`, addresses.slice(0, 3)))
  t.teardown(async () => {
    for (const entry of entries) entry.stop()
    await Promise.all(controls.map(async item => { await item.close() }))
  })
  await helper.until('all instances know it', () => entries.every(entry => entry.evacuatedZones().includes('z1')))
  t.pass()
})

// An order whose sender was told that its outcome is unknown may never be committed.
test('a pending evacuation counts until a control instance with a quorum decides', async t => {
  const cfg: helper.ControlOptions = { isTicking: true, isCurrent: false, evacuations: { revision: 0, zones: [], pending: ['z1'] } }
  const control = await helper.startControl(cfg)
  const entry = helper.startEntry('i1', [control.address])
  t.teardown(async () => {
    entry.stop()
    await control.close()
  })
  await helper.until('the zone counts as evacuated', () => entry.evacuatedZones().join() === 'z1')
  cfg.isCurrent = true
  cfg.evacuations = { revision: 0, zones: [] }
  await helper.until('the zone is used', () => entry.evacuatedZones().length === 0)
  t.pass()
})

function track (): { tracker: discovery.EvacuationTracker, zones: () => string } {
  let assumed: discovery.AssumedEvacuations = { ...discovery.NO_EVACUATIONS, committed: [] }
  return { tracker: discovery.createEvacuationTracker(latest => { assumed = latest }), zones: () => `${assumed.zones.join()} of which committed ${assumed.committed.join()}` }
}

test('pending orders of an earlier revision are decided by a later one', t => {
  const { tracker, zones } = track()
  tracker.note({ revision: 1, zones: ['z1'], pending: ['z2'] }, 'c1', false)
  t.is(zones(), 'z1,z2 of which committed z1')
  tracker.note({ revision: 2, zones: [] }, 'c2', false)
  t.is(zones(), ' of which committed ')
})

test('reports in any order lead to the same zones, and older ones change nothing', t => {
  const reports = [{ revision: 0, zones: [] }, { revision: 3, zones: ['z3'] }, { revision: 2, zones: ['z1', 'z3'], pending: ['z2'] }, { revision: 3, zones: ['z3'], pending: ['z4'] }]
  for (let first = 0; first < reports.length; first++) {
    const { tracker, zones } = track()
    for (let i = 0; i < reports.length; i++) {
      const at = (first + i) % reports.length
      tracker.note(reports[at], `c${at}`, false)
    }
    t.is(zones(), 'z3,z4 of which committed z3')
  }
})

test('with a quorum, pending orders do not count', t => {
  const { tracker, zones } = track()
  tracker.note({ revision: 1, zones: ['z1'], pending: ['z2'] }, 'c1', true)
  t.is(zones(), 'z1 of which committed z1')
})
