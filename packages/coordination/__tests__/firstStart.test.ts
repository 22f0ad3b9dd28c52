/** The first start of control instances over loopback, some of whose processes ended before they had stored that it was the first one. */
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as contracts from '@kingcupdeck/contracts'
import * as telemetry from '@kingcupdeck/telemetry'
import * as coordination from '../src/index.js'
import * as controlMetrics from '../src/controlMetrics.js'
import * as firstStarts from '../src/firstStart.js'
import * as freeAddresses from './helpers/freeAddress.js'

const test = ava.default
/** What each process knows: told at this start, told before it ended in its first moments, or nothing. */
type Told = 'now' | 'before' | 'never'

async function start (t: ava.ExecutionContext, inner: string, founders: string[], told: Told): Promise<coordination.ControlInstance> {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'first-start-'))
  if (told === 'before') await firstStarts.saveFirstStart(folder, founders)
  const log = telemetry.createLog({ instance: inner, level: 'silent' })
  const instance = await coordination.startControlInstance({ inner, founders, mayFound: told === 'now', contacts: () => founders, maxFailedDisks: 1, dataFolder: folder, secret: 'test', log, invariants: telemetry.createInvariants({ log, isFatal: true }) })
  t.teardown(async () => {
    await instance.stop()
    await fs.rm(folder, { recursive: true, force: true })
  })
  return instance
}

async function put (instance: coordination.ControlInstance): Promise<string> {
  const document = contracts.toVersionedText(7, Buffer.from('seven'))
  for (let tries = 0; tries < 20; tries++) {
    try {
      return (await instance.store.put(document, 1500)).kind
    } catch {
      await timers.setTimeout(50)
    }
  }
  return 'never'
}

// Guards against a fleet that never starts because processes ended in their first moments and were then told that it is no first start.
for (const told of [['never', 'now', 'now'], ['never', 'never', 'now'], ['before', 'before', 'before'], ['never', 'before', 'never'], ['never', 'never', 'never']] satisfies Told[][]) {
  test(`a first document is accepted; founders were told: ${told.join(', ')}`, async t => {
    const founders = await Promise.all(told.map(freeAddresses.findFreeAddress))
    const instances = await Promise.all(founders.map(async (inner, i) => await start(t, inner, founders, told[i])))
    t.is(await put(instances[0]), 'stored')
    for (const item of instances) t.is((await item.store.read(5000))?.version, 7)
  })
}

// Guards against callers and operators who are not told why the fleet does not start.
test('an instance whose group is not founded says what is missing', async t => {
  const founders = await Promise.all([1, 2, 3].map(freeAddresses.findFreeAddress))
  const instance = await start(t, founders[0], founders, 'never')
  await timers.setTimeout(500)
  const err = await t.throwsAsync(instance.store.read(300))
  t.regex(err?.message ?? '', /no leader known within 300 ms: .*no reply.*needed: 2 told founders/)
  const metrics = controlMetrics.createControlMetrics(instance, () => 0)
  t.regex(await metrics.registry.metrics(), /kingcupdeck_group_founded 0/)
})
