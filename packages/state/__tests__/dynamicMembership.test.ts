/** Dynamic membership: joining, removal and replacement of replicas. */
import * as ava from 'ava'
import * as virtual from './helpers/virtualCluster.js'

const test = ava.default

async function startGroup (founders: string[], others: string[], seed: number): Promise<virtual.VirtualCluster> {
  const cluster = new virtual.VirtualCluster(founders, seed, 20, true)
  for (const name of founders) await cluster.start(name)
  for (const name of others) await cluster.add(name)
  await cluster.clock.advance(15_000)
  return cluster
}

function voters (cluster: virtual.VirtualCluster): string[] {
  return (cluster.leader()?.process.replica?.status().voters ?? []).map(id => id.split('#')[0]).sort()
}

test('replicas other than the founders are admitted', async t => {
  const cluster = await startGroup(['a', 'b', 'c'], ['d', 'e'], 3)
  t.deepEqual(voters(cluster), ['a', 'b', 'c', 'd', 'e'])
  t.deepEqual(cluster.violations, [])
})

// Guards against a quorum that becomes unreachable as replaced replicas remain voters.
test('a lost replica is removed after its replacement was admitted', async t => {
  const cluster = await startGroup(['a', 'b', 'c'], ['d', 'e'], 5)
  for (const [gone, fresh] of [['a', 'f'], ['b', 'g'], ['d', 'h']]) {
    cluster.crash(gone)
    await cluster.clock.advance(1000)
    await cluster.add(fresh)
    await cluster.clock.advance(30_000)
  }
  t.deepEqual(voters(cluster), ['c', 'e', 'f', 'g', 'h'])
  cluster.propose('after')
  await cluster.clock.advance(2000)
  t.true(cluster.acknowledged.includes('after'))
  t.deepEqual(cluster.violations, [])
})

// The removed replica still believes it is a voter, receives no appends and gets no votes.
test('a replica that was removed during a partition joins again', async t => {
  const cluster = await startGroup(['a', 'b', 'c'], ['d', 'e'], 7)
  cluster.network.isolated.add('b')
  await cluster.clock.advance(30_000)
  t.deepEqual(voters(cluster), ['a', 'c', 'd', 'e'])
  cluster.network.isolated.delete('b')
  await cluster.clock.advance(20_000)
  t.deepEqual(voters(cluster), ['a', 'b', 'c', 'd', 'e'])
  t.deepEqual(cluster.violations, [])
})

test('no voter is removed while another one is unresponsive', async t => {
  const cluster = await startGroup(['a', 'b', 'c'], ['d', 'e'], 9)
  for (const name of ['a', 'b']) cluster.network.isolated.add(name)
  await cluster.clock.advance(40_000)
  t.is(voters(cluster).length, 5)
  t.deepEqual(cluster.violations, [])
})

// Guards against a second group with a diverging history after all founders lost their disks.
test('a replica that may not bootstrap waits for its group', async t => {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 11, 20, true)
  for (const name of ['a', 'b', 'c']) await cluster.start(name, false)
  await cluster.clock.advance(20_000)
  t.is(cluster.leader(), undefined)
})

test('a restarted replica applies committed entries before a leader is elected', async t => {
  const cluster = await startGroup(['a', 'b', 'c'], [], 13)
  for (let i = 0; i < 5; i++) {
    cluster.propose(`change-${i}`)
    await cluster.clock.advance(500)
  }
  for (const name of cluster.names) cluster.crash(name)
  for (const name of cluster.names) await cluster.start(name)
  await cluster.clock.advance(50)
  t.is(cluster.leader(), undefined)
  for (const name of cluster.names) t.is(cluster.applied(name).length, 5)
})

// Guards against a former leader that starts without the last change, since its followers had synced it before.
test('a restarted leader whose disk was slow applies what its followers committed', async t => {
  const cluster = await startGroup(['a', 'b', 'c'], [], 13)
  const leader = cluster.leader()?.name ?? ''
  cluster.stalledDisks.add(leader)
  cluster.propose('change')
  await cluster.clock.advance(100)
  t.deepEqual(cluster.acknowledged, ['change'])
  cluster.stalledDisks.delete(leader)
  await cluster.clock.advance(200)
  for (const name of cluster.names) cluster.crash(name)
  await cluster.start(leader)
  await cluster.clock.advance(50)
  t.deepEqual(cluster.applied(leader), ['change'])
})

// Guards against stale reads from a replaced leader whose lease still looks valid by its own clock.
test('a leader that was replaced during a partition cannot confirm its leadership', async t => {
  const cluster = await startGroup(['a', 'b', 'c'], ['d', 'e'], 17)
  const old = cluster.leader() as NonNullable<ReturnType<typeof cluster.leader>>
  cluster.network.isolated.add(old.name)
  const replica = old.process.replica as NonNullable<typeof old.process.replica>
  let outcome = ''
  replica.confirmLeadership(900).then(() => { outcome = 'confirmed' }, err => { outcome = (err as Error).name })
  await cluster.clock.advance(3000)
  t.is(outcome, 'ProposalError')
  const now = cluster.leader()
  t.not(now?.name, old.name)
  let isConfirmed = false
  now?.process.replica?.confirmLeadership(900).then(() => { isConfirmed = true }, () => {})
  await cluster.clock.advance(1000)
  t.true(isConfirmed)
})

test('a leader whose disk is full steps down and can be restarted', async t => {
  const cluster = await startGroup(['a', 'b', 'c'], ['d', 'e'], 19)
  const old = cluster.leader()?.name ?? ''
  cluster.fullDisks.add(old)
  cluster.propose('does not fit')
  await cluster.clock.advance(6000)
  t.deepEqual(cluster.failed, [old])
  t.not(cluster.leader()?.name, old)
  cluster.propose('after')
  await cluster.clock.advance(1000)
  t.true(cluster.acknowledged.includes('after'))
  cluster.fullDisks.delete(old)
  cluster.crash(old)
  await cluster.start(old)
  await cluster.clock.advance(6000)
  t.true(cluster.applied(old).includes('after'))
  t.deepEqual(cluster.violations, [])
})

// The conflict must be detected at the first append, not only when the log is truncated.
test('a leader whose log conflicts with committed entries is detected', async t => {
  const cluster = await startGroup(['a', 'b', 'c'], [], 17)
  cluster.propose('one')
  await cluster.clock.advance(2000)
  t.deepEqual(cluster.violations, [])
  const follower = cluster.names.find(name => name !== cluster.leader()?.name) as string
  const replica = cluster.node(follower).process.replica as NonNullable<ReturnType<typeof cluster.node>['process']['replica']>
  const status = replica.status()
  void replica.handle({ t: 'append', term: status.term + 5, leader: { name: 'x', incarnation: 'x' }, prevIndex: status.commit, prevTerm: status.term + 4, entries: [], commit: status.commit })
  await cluster.clock.advance(100)
  t.true(cluster.violations.some(item => item.startsWith('commitNeverReverts')))
})
