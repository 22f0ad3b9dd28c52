/** Replicas that are replaced by new ones at other addresses, on virtual time: the group must keep a reachable quorum. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import type * as state from '../src/index.js'
import * as virtual from './helpers/virtualCluster.js'

const test = ava.default
const RUNS = 30
/** A further replica may be lost this long after the successor of the previous one has started. */
const CATCH_UP_MS = 4000

async function startGroup (seed: number): Promise<virtual.VirtualCluster> {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], seed, 20, true)
  for (const name of cluster.names) await cluster.start(name)
  for (const name of ['d', 'e']) await cluster.add(name)
  await cluster.clock.advance(15_000)
  return cluster
}

function voters (cluster: virtual.VirtualCluster): string[] {
  return (cluster.leader()?.process.replica?.status().voters ?? []).map(id => id.split('#')[0]).sort()
}

function running (cluster: virtual.VirtualCluster): string[] {
  return [...cluster.nodes.keys()].filter(name => cluster.isUp(name)).sort()
}

async function run (cluster: virtual.VirtualCluster, ms: number): Promise<void> {
  for (let at = 0; at < ms; at += 100) {
    await cluster.clock.advance(100)
    cluster.checkLeaders()
  }
}

// Guards against a new replica that is never admitted because the leader is none of the contacts in its settings.
test('a new replica joins through the leader that its contacts name', async t => {
  const cluster = await startGroup(41)
  for (let i = 0; i < 40 && ['a', 'b', 'c'].includes(cluster.leader()?.name ?? 'a'); i++) {
    const name = cluster.leader()?.name
    if (name !== undefined) cluster.crash(name)
    await cluster.clock.advance(5000)
    if (name !== undefined) await cluster.start(name)
    await cluster.clock.advance(5000)
  }
  t.true(['d', 'e'].includes(cluster.leader()?.name ?? ''))
  await cluster.add('f')
  await run(cluster, CATCH_UP_MS)
  t.true(voters(cluster).includes('f'))
})

// Guards against removed replicas that block the removal of each other and then outnumber the others.
test('replicas replaced in turn are removed, and a disk may be lost afterwards', async t => {
  for (const seed of [21, 22, 23]) {
    const cluster = await startGroup(seed)
    for (const [gone, fresh] of [['a', 'f'], ['b', 'g'], ['d', 'h']]) {
      cluster.crash(gone)
      await run(cluster, 1000)
      await cluster.add(fresh)
      await run(cluster, 7000)
    }
    await run(cluster, 30_000)
    t.deepEqual(voters(cluster), ['c', 'e', 'f', 'g', 'h'], `seed ${seed}`)
    cluster.propose('before')
    await run(cluster, 1000)
    cluster.wipe('c')
    for (const name of ['e', 'f', 'g', 'h']) cluster.crash(name)
    for (const name of ['c', 'e', 'f', 'g', 'h']) await cluster.start(name, false)
    await run(cluster, 10_000)
    cluster.propose('after')
    await run(cluster, 1000)
    t.deepEqual(cluster.acknowledged, ['before', 'after'], `seed ${seed}`)
    t.deepEqual(cluster.violations, [])
  }
})

// Guards against a group without a quorum although only one replica is lost at a time.
test('the group has a leader after any losses in turn', async t => {
  const plan = fc.array(fc.record({
    kind: fc.constantFrom('replace', 'wipe', 'crash', 'isolate', 'powerLoss'),
    target: fc.integer({ min: 0, max: 4 }),
    isLeader: fc.boolean(),
    downMs: fc.integer({ min: 200, max: 3000 }),
    pauseMs: fc.integer({ min: 0, max: 5000 })
  }), { minLength: 4, maxLength: 10 })
  await fc.assert(fc.asyncProperty(plan, fc.integer({ min: 1, max: 1e6 }), async (losses, seed) => {
    const cluster = await startGroup(seed)
    for (const [i, loss] of losses.entries()) {
      const up = running(cluster)
      cluster.seeds = up.slice(0, 3)
      const name = loss.isLeader ? cluster.leader()?.name ?? up[0] : up[loss.target % up.length]
      cluster.propose(`command-${i}`)
      await run(cluster, 500)
      switch (loss.kind) {
        case 'replace':
          cluster.crash(name)
          await run(cluster, loss.downMs)
          await cluster.add(`new-${i}`)
          break
        case 'wipe':
          cluster.wipe(name)
          await run(cluster, loss.downMs)
          await cluster.start(name, false)
          break
        case 'crash':
          cluster.crash(name)
          await run(cluster, loss.downMs)
          await cluster.start(name, false)
          break
        case 'isolate':
          cluster.network.isolated.add(name)
          await run(cluster, loss.downMs)
          cluster.network.isolated.delete(name)
          break
        case 'powerLoss':
          for (const other of up) cluster.crash(other)
          for (const other of up) await cluster.start(other, false)
          break
      }
      await run(cluster, CATCH_UP_MS + loss.pauseMs)
    }
    await run(cluster, 20_000)
    cluster.propose('last')
    await run(cluster, 1000)
    t.true(cluster.acknowledged.includes('last'), 'the group has no leader')
    t.deepEqual(voters(cluster), running(cluster))
    const applied = new Set(cluster.applied(cluster.leader()?.name ?? ''))
    t.deepEqual(cluster.acknowledged.filter(command => !applied.has(command)), [], 'an acknowledged command is lost')
    t.deepEqual(cluster.violations, [])
  }), { seed: 20261206, numRuns: RUNS, endOnFailure: true })
})

// Guards against a group without a quorum for ever: the new voter that the quorum needs has not received the entry that makes it one.
test('a new voter votes before it knows that it is one', async t => {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 7)
  for (const name of cluster.names) await cluster.start(name)
  await cluster.clock.advance(6000)
  const leader = cluster.leader()?.name ?? ''
  const lost = cluster.names.find(name => name !== leader) ?? ''
  cluster.wipe(lost)
  await cluster.clock.advance(500)
  await cluster.start(lost)
  const status = (name: string): state.ReplicaStatus | undefined => cluster.node(name).process.replica?.status()
  const countVoters = (name: string): number => status(name)?.voters.length ?? 0
  const other = cluster.names.find(name => name !== leader && name !== lost) ?? ''
  for (let ms = 0; ms < 5000 && (status(lost)?.lastIndex ?? 0) < (status(leader)?.lastIndex ?? 0); ms++) await cluster.clock.advance(1)
  // The leader has heard that the new replica is up and up to date, and reaches only the other one with the entry that admits it.
  const replica = cluster.node(lost).process.replica as state.Replica
  const { handle } = replica
  const isAdmission = (item: state.Entry): boolean => item.body.kind === 'membership' && item.body.voters.length === 4
  replica.handle = async msg => {
    if (msg.t === 'append' && msg.entries.some(isAdmission)) throw new Error('no reply')
    return await handle(msg)
  }
  await cluster.clock.advance(500)
  t.deepEqual([leader, other, lost].map(countVoters), [4, 4, 3])
  cluster.crash(leader)
  replica.handle = handle
  await cluster.start(leader)
  await cluster.clock.advance(20_000)
  t.truthy(cluster.leader())
  t.is(voters(cluster).length, 3)
})
