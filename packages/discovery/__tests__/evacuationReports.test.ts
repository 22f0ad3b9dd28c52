/** Which evacuated zones an entry instance assumes from the reports of several control instances. */
import * as ava from 'ava'
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
