/** Entry instances whose clock is behind that of their previous run. */
import * as ava from 'ava'
import * as fleet from './helpers/testFleet.js'

const test = ava.default

// Guards against an instance that no client is told of for two minutes, because its record counts as an earlier run's.
test('an instance that starts with its clock set back is returned to clients', async t => {
  const control = await fleet.startControl()
  t.teardown(control.close)
  control.put(fleet.toDocument(1, ['/a/']))
  const other = await fleet.startInstance('other', [control.inner])
  t.teardown(other.stop)
  const first = await fleet.startInstance('e1', [control.inner], { startedAt: Date.now() })
  await fleet.until('the first run is known', () => other.addresses().includes(first.front))
  await first.stop()
  const second = await fleet.startInstance('e1', [control.inner], { startedAt: Date.now() - 5000 })
  t.teardown(second.stop)
  await fleet.until('the second run is known', () => other.addresses().includes(second.front))
  t.true(second.addresses().includes(second.front))
})
