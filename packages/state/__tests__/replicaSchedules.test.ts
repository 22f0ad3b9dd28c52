/** The replicated log under seeded schedules of message loss, delay, crashes, partitions and lost disks. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import type * as state from '../src/index.js'
import * as virtual from './helpers/virtualCluster.js'

const test = ava.default
const RUNS = 40

type Fault = { at: number, kind: 'crash' | 'isolate' | 'wipe' | 'noise' | 'stall', target: number, durationMs: number }

function toPlans (kinds: ReadonlyArray<Fault['kind']>): fc.Arbitrary<Fault[]> {
  return fc.array(fc.record({
    at: fc.integer({ min: 3000, max: 40_000 }),
    kind: fc.constantFrom(...kinds),
    target: fc.integer({ min: 0, max: 4 }),
    durationMs: fc.integer({ min: 200, max: 9000 })
  }), { minLength: 3, maxLength: 14 })
}

const faults = toPlans(['crash', 'isolate', 'wipe', 'noise'])

/** Runs a fault plan, with faults on at most a minority of the replicas at a time. */
async function runPlan (size: number, seed: number, plan: Fault[]): Promise<virtual.VirtualCluster> {
  const cluster = new virtual.VirtualCluster(Array.from({ length: size }, (_, i) => `n${i}`), seed)
  for (const name of cluster.names) await cluster.start(name)
  const activeFaults = new Map<string, { at: number, end: () => Promise<void> }>()
  // A voter that lost its disk counts as down until it was admitted again.
  const isIntact = (id: string): boolean => {
    const [name, incarnation] = id.split('#')
    return cluster.isUp(name) && cluster.node(name).disk.meta?.incarnation === incarnation
  }
  const isComplete = (): boolean => {
    const status = cluster.leader()?.process.replica?.status()
    return status !== undefined && status.voters.length === size && status.learners.length === 0 && status.voters.every(isIntact)
  }
  const queue = [...plan].sort((a, b) => a.at - b.at)
  for (let at = 0, n = 0; at < 55_000; at += 100) {
    await cluster.clock.advance(100)
    cluster.checkLeaders()
    cluster.checkCurrency()
    if (at % 300 === 0) cluster.propose(`cmd-${n++}`)
    for (const [name, item] of activeFaults) {
      if (item.at > at) continue
      activeFaults.delete(name)
      await item.end()
    }
    while (queue.length > 0 && queue[0].at <= at) {
      const fault = queue.shift() as Fault
      const name = cluster.names[fault.target % size]
      const isTolerated = activeFaults.size < Math.floor((size - 1) / 2) && !activeFaults.has(name)
      // A further disk is lost only after the previous membership change is complete.
      if (!isTolerated || (fault.kind === 'wipe' && !isComplete())) continue
      activeFaults.set(name, { at: at + fault.durationMs, end: injectFault(cluster, name, fault) })
    }
  }
  for (const item of activeFaults.values()) await item.end()
  cluster.network.loss = 0
  await cluster.clock.advance(25_000)
  cluster.checkLeaders()
  return cluster
}

function injectFault (cluster: virtual.VirtualCluster, name: string, fault: Fault): () => Promise<void> {
  switch (fault.kind) {
    case 'crash':
      cluster.crash(name)
      return async () => { await cluster.start(name) }
    case 'wipe':
      cluster.wipe(name)
      return async () => { await cluster.start(name) }
    case 'isolate':
      cluster.network.isolated.add(name)
      return async () => { cluster.network.isolated.delete(name) }
    case 'stall':
      cluster.stalledDisks.add(name)
      return async () => { cluster.stalledDisks.delete(name) }
    case 'noise':
      cluster.network.loss = 0.15
      cluster.network.delayMs = 25
      return async () => {
        cluster.network.loss = 0
        cluster.network.delayMs = 3
      }
  }
}

function checkHistory (t: ava.ExecutionContext, cluster: virtual.VirtualCluster): void {
  t.deepEqual(cluster.violations, [])
  t.true(cluster.acknowledged.length > 20, `only ${cluster.acknowledged.length} commands were acknowledged`)
  const longest = cluster.names.map(name => cluster.applied(name)).sort((a, b) => b.length - a.length)[0]
  for (const name of cluster.names) t.deepEqual(cluster.applied(name), longest, `${name} has applied a different history`)
  const appliedCommands = new Set(longest)
  t.deepEqual(cluster.acknowledged.filter(command => !appliedCommands.has(command)), [], 'an acknowledged command is lost')
  t.is(appliedCommands.size, longest.length, 'a command was applied twice')
}

// Guards against losing an acknowledged command by elections after crashes and lost disks.
for (const size of [3, 5]) {
  test(`no acknowledged command is lost with ${size} replicas`, async t => {
    await fc.assert(fc.asyncProperty(faults, fc.integer({ min: 1, max: 1e6 }), async (plan, seed) => {
      checkHistory(t, await runPlan(size, seed, plan))
    }), { seed: 20261203, numRuns: RUNS, endOnFailure: true })
  })
}

// Guards against two leaders with a valid lease: a candidate that heard from the leader during its last election votes for itself.
test('a candidate that has just heard from the leader does not stand again', async t => {
  const plan: Fault[] = [
    { at: 25_029, kind: 'noise', target: 2, durationMs: 4835 },
    { at: 28_510, kind: 'wipe', target: 2, durationMs: 5643 },
    { at: 34_746, kind: 'wipe', target: 4, durationMs: 574 },
    { at: 30_056, kind: 'isolate', target: 3, durationMs: 7950 },
    { at: 33_560, kind: 'wipe', target: 2, durationMs: 5048 },
    { at: 30_816, kind: 'isolate', target: 0, durationMs: 8868 },
    { at: 33_703, kind: 'wipe', target: 3, durationMs: 5486 },
    { at: 29_606, kind: 'noise', target: 2, durationMs: 5545 },
    { at: 36_864, kind: 'crash', target: 3, durationMs: 7447 }
  ]
  checkHistory(t, await runPlan(3, 467_899, plan))
})

// Guards against a stale document that passes for the latest, after any of these faults.
test('no replica claims to be current with an old state while disks stall and replicas crash', async t => {
  await fc.assert(fc.asyncProperty(toPlans(['crash', 'isolate', 'stall', 'noise']), fc.integer({ min: 1, max: 1e6 }), async (plan, seed) => {
    checkHistory(t, await runPlan(5, seed, plan))
  }), { seed: 20261204, numRuns: RUNS, endOnFailure: true })
})

// Guards against electing a leader that lacks entries which the lost disk had acknowledged.
test('a replica that lost its disk does not vote', async t => {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 11)
  for (const name of cluster.names) await cluster.start(name)
  await cluster.clock.advance(6000)
  const first = cluster.leader()?.name ?? ''
  const [behind, witness] = cluster.names.filter(name => name !== first)
  cluster.network.isolated.add(behind)
  await cluster.clock.advance(100)
  cluster.propose('precious')
  await cluster.clock.advance(500)
  t.deepEqual(cluster.acknowledged, ['precious'])
  cluster.wipe(witness)
  cluster.network.isolated.add(first)
  cluster.network.isolated.delete(behind)
  await cluster.start(witness)
  await cluster.clock.advance(20_000)
  t.is(cluster.leader(), undefined, 'the wiped replica voted for a leader without the entry')
  cluster.network.isolated.delete(first)
  await cluster.clock.advance(20_000)
  t.true(cluster.applied(cluster.leader()?.name ?? '').includes('precious'))
  t.true(cluster.applied(witness).includes('precious'))
  t.deepEqual(cluster.violations, [])
})

test('a second disk may be lost right after the first replica was admitted again', async t => {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 5)
  for (const name of cluster.names) await cluster.start(name)
  await cluster.clock.advance(6000)
  for (let i = 0; i < 60; i++) {
    cluster.propose(`before-${i}`)
    await cluster.clock.advance(30)
  }
  for (const lost of ['b', 'c', 'a']) {
    cluster.wipe(lost)
    await cluster.clock.advance(500)
    await cluster.start(lost)
    for (let waited = 0; waited < 30_000; waited += 200) {
      await cluster.clock.advance(200)
      const voters = cluster.leader()?.process.replica?.status().voters ?? []
      if (voters.length === 3 && voters.some(id => id === `${lost}#${lost}-${cluster.node(lost).starts}`)) break
    }
  }
  cluster.propose('after')
  await cluster.clock.advance(3000)
  t.is(cluster.acknowledged.filter(command => command.startsWith('before')).length, 60)
  t.true(cluster.acknowledged.includes('after'))
  for (const name of cluster.names) t.is(cluster.applied(name).length, 61)
  t.deepEqual(cluster.violations, [])
})

// Guards against stale answers from an isolated leader after its lease expired.
test('an isolated leader stops being ready and steps down', async t => {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 3)
  for (const name of cluster.names) await cluster.start(name)
  await cluster.clock.advance(6000)
  const isolated = cluster.leader()?.name ?? ''
  cluster.network.isolated.add(isolated)
  await cluster.clock.advance(1000)
  t.false(cluster.node(isolated).process.replica?.isReady())
  await cluster.clock.advance(6000)
  t.not(cluster.leader()?.name, isolated)
  t.not(cluster.leader(), undefined)
  t.not(cluster.node(isolated).process.replica?.status().role, 'leader')
  t.deepEqual(cluster.violations, [])
})

// Guards against two valid leases when only the link between the leader and one follower fails.
test('a follower in contact with the leader votes for no other candidate', async t => {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 8)
  for (const name of cluster.names) await cluster.start(name)
  await cluster.clock.advance(6000)
  const leader = cluster.leader()?.name ?? ''
  const [cutOff] = cluster.names.filter(name => name !== leader)
  cluster.network.brokenLinks.add([leader, cutOff].sort().join(' '))
  for (let i = 0; i < 1000; i++) {
    await cluster.clock.advance(10)
    cluster.checkLeaders()
  }
  t.is(cluster.leader()?.name, leader)
  t.deepEqual(cluster.violations, [])
})

// Guards against acknowledging entries that are in memory but not yet synced.
test('a repeated append is acknowledged only after the first is synced', async t => {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 2)
  for (const name of cluster.names) await cluster.start(name)
  await cluster.clock.advance(6000)
  const leader = cluster.leader() as NonNullable<ReturnType<typeof cluster.leader>>
  const follower = cluster.node(cluster.names.filter(name => name !== leader.name)[0])
  const replica = follower.process.replica
  const last = follower.disk.entries.at(-1)
  if (replica === undefined || last === undefined) return t.fail('no follower')
  const [name, incarnation] = (leader.process.replica?.status().voters.find(id => id.startsWith(leader.name)) ?? '').split('#')
  const append: state.Rpc = { t: 'append', term: last.term, leader: { name, incarnation }, prevIndex: last.index, prevTerm: last.term, entries: [{ index: last.index + 1, term: last.term, body: { kind: 'noop' } }], commit: 0 }
  const isOnDisk = (): boolean => follower.disk.entries.at(-1)?.index === last.index + 1
  const seen: boolean[] = []
  for (const msg of [append, structuredClone(append)]) void replica.handle(msg).then(() => { seen.push(isOnDisk()) })
  await cluster.clock.advance(100)
  t.deepEqual(seen, [true, true])
})

// Guards against a leader that stays one without a quorum, or repairs nothing, because one of its tasks has ended.
test('an error in a task of the leader ends its replica, which starts again', async t => {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 5)
  cluster.restartsFailed = true
  let isThrown = false
  cluster.onLeadershipChange = () => {
    if (isThrown) return
    isThrown = true
    throw new Error('test')
  }
  for (const name of cluster.names) await cluster.start(name)
  for (let at = 0; at < 20_000; at += 100) await cluster.clock.advance(100)
  t.true(isThrown)
  t.is(cluster.failed.length, 1)
  t.truthy(cluster.leader())
})
