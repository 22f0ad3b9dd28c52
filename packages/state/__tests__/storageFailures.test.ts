/** Replicas whose storage refuses writes, on virtual time: what a replica acknowledged must be on its disk. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as virtual from './helpers/virtualCluster.js'

const test = ava.default
const RUNS = 30

async function startGroup (seed: number): Promise<virtual.VirtualCluster> {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], seed, 20, true)
  cluster.restartsFailed = true
  for (const name of cluster.names) await cluster.start(name)
  for (const name of ['d', 'e']) await cluster.add(name)
  await cluster.clock.advance(15_000)
  return cluster
}

async function restartAll (cluster: virtual.VirtualCluster): Promise<void> {
  for (const name of cluster.nodes.keys()) cluster.crash(name)
  for (const name of cluster.nodes.keys()) await cluster.start(name, false)
  await cluster.clock.advance(20_000)
}

function checkAcknowledged (t: ava.ExecutionContext, cluster: virtual.VirtualCluster): void {
  t.deepEqual(cluster.violations, [])
  const applied = new Set(cluster.applied(cluster.leader()?.name ?? cluster.names[0]))
  t.deepEqual(cluster.acknowledged.filter(command => !applied.has(command)), [], 'an acknowledged command is lost')
}

// Guards against acknowledging entries that the disk refused, and against a gap in the log when it accepts writes again.
test('entries refused by a full disk are not acknowledged', async t => {
  const cluster = await startGroup(23)
  for (const [n, name] of [...cluster.nodes.keys()].entries()) {
    cluster.fullDisks.add(name)
    cluster.propose(`refused-${n}`)
    await cluster.clock.advance(2500)
    cluster.fullDisks.delete(name)
    cluster.propose(`after-${n}`)
    await cluster.clock.advance(4000)
  }
  await restartAll(cluster)
  t.true(cluster.acknowledged.length >= 5)
  checkAcknowledged(t, cluster)
})

// Guards against a replica that goes on after a failed write of its term, its vote, a truncation or a snapshot.
test('what a replica acknowledged is on its disk when any write may fail', async t => {
  const plan = fc.array(fc.record({
    target: fc.integer({ min: 0, max: 4 }),
    kind: fc.constantFrom('full', 'faulty', 'crash', 'isolate'),
    faultMs: fc.integer({ min: 50, max: 4000 }),
    pauseMs: fc.integer({ min: 0, max: 3000 })
  }), { minLength: 4, maxLength: 12 })
  await fc.assert(fc.asyncProperty(plan, fc.integer({ min: 1, max: 1e6 }), async (faults, seed) => {
    const cluster = await startGroup(seed)
    let n = 0
    const run = async (ms: number): Promise<void> => {
      for (let at = 0; at < ms; at += 100) {
        cluster.propose(`command-${n++}`)
        await cluster.clock.advance(100)
        cluster.checkLeaders()
      }
    }
    for (const fault of faults) {
      const name = [...cluster.nodes.keys()][fault.target]
      const set = { full: cluster.fullDisks, faulty: cluster.faultyDisks, isolate: cluster.network.isolated, crash: undefined }[fault.kind]
      set?.add(name)
      if (fault.kind === 'crash') cluster.crash(name)
      await run(fault.faultMs)
      set?.delete(name)
      if (fault.kind === 'crash') await cluster.start(name, false)
      await run(fault.pauseMs)
    }
    await cluster.clock.advance(15_000)
    await restartAll(cluster)
    t.not(cluster.leader(), undefined)
    checkAcknowledged(t, cluster)
  }), { seed: 20261205, numRuns: RUNS, endOnFailure: true })
})

// Guards against a group that is never founded because its first founder ended between two writes.
test('a founder that ended before its metadata was stored founds the group after its restart', async t => {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 29, 20, true)
  for (const name of cluster.names) await cluster.start(name)
  const { disk } = cluster.node('a')
  for (let i = 0; i < 2000 && disk.entries.length === 0; i++) await cluster.clock.advance(1)
  t.is(disk.meta?.founding, null)
  cluster.crash('a')
  await cluster.start('a', false)
  await cluster.clock.advance(10_000)
  t.not(cluster.leader(), undefined)
  t.deepEqual(cluster.violations, [])
})

// Guards against a delayed commit whose cause no log tells.
test('slow writes are logged with their duration', async t => {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 41)
  for (const name of cluster.names) await cluster.start(name)
  await cluster.clock.advance(15_000)
  cluster.propose('before')
  await cluster.clock.advance(2000)
  t.deepEqual(cluster.slowWrites, [])
  cluster.syncMs = { min: 1100, max: 1500 }
  cluster.propose('slow')
  await cluster.clock.advance(5000)
  t.true(cluster.acknowledged.includes('slow'))
  t.deepEqual([...new Set(cluster.slowWrites.map(item => item.name))].sort(), cluster.names)
  t.true(cluster.slowWrites.every(item => item.step === 'entries' && item.ms >= 1000))
})
