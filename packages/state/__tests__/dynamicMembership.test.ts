/** A group whose members come and go: founded by a few, joined by others, replaced by machines at other addresses. */
import * as ava from 'ava'
import * as virtual from './helpers/virtualCluster.js'

const test = ava.default

async function found (founders: string[], others: string[], seed: number): Promise<virtual.VirtualCluster> {
  const cluster = new virtual.VirtualCluster(founders, seed, 20, true)
  for (const name of founders) await cluster.start(name)
  for (const name of others) await cluster.add(name)
  await cluster.clock.advance(15_000)
  return cluster
}

function voters (cluster: virtual.VirtualCluster): string[] {
  return (cluster.leader()?.process.replica?.status().voters ?? []).map(id => id.split('#')[0]).sort()
}

test('replicas that are no founders are admitted', async t => {
  const cluster = await found(['a', 'b', 'c'], ['d', 'e'], 3)
  t.deepEqual(voters(cluster), ['a', 'b', 'c', 'd', 'e'])
  t.deepEqual(cluster.violations, [])
})

// Machines are replaced by empty ones at other addresses, one after the other. If those that are gone stayed voters, the
// quorum would grow out of reach: after three replacements five of eight voters had to be alive, and a single further loss
// would stop every change of the configuration.
test('a machine that is gone for good is retired after its replacement was admitted', async t => {
  const cluster = await found(['a', 'b', 'c'], ['d', 'e'], 5)
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

// A machine that was cut off for longer than it takes to retire it comes back with its disk. It holds itself for a voter,
// hears no leader, and nobody votes for it: it must ask to be admitted again.
test('a machine that was retired while it was cut off comes back', async t => {
  const cluster = await found(['a', 'b', 'c'], ['d', 'e'], 7)
  cluster.network.isolated.add('b')
  await cluster.clock.advance(30_000)
  t.deepEqual(voters(cluster), ['a', 'c', 'd', 'e'])
  cluster.network.isolated.delete('b')
  await cluster.clock.advance(20_000)
  t.deepEqual(voters(cluster), ['a', 'b', 'c', 'd', 'e'])
  t.deepEqual(cluster.violations, [])
})

// Half of the voters are silent because a cable broke, not because they are gone: those that remain are too few to be safe
// without them, and none is retired.
test('no voter is retired while another one is silent', async t => {
  const cluster = await found(['a', 'b', 'c'], ['d', 'e'], 9)
  for (const name of ['a', 'b']) cluster.network.isolated.add(name)
  await cluster.clock.advance(40_000)
  t.is(voters(cluster).length, 5)
  t.deepEqual(cluster.violations, [])
})

// A wiped machine restarts beside seeds that are wiped as well, after the fleet was started long ago: if it founded a group,
// the fleet would have two histories.
test('a replica that may not found waits for its group', async t => {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 11, 20, true)
  for (const name of ['a', 'b', 'c']) await cluster.start(name, false)
  await cluster.clock.advance(20_000)
  t.is(cluster.leader(), undefined)
})

// An operator is told that a change is accepted; every replica is killed and starts again. What was committed is known to each
// replica from its own disk, before any leader is elected.
test('a restarted replica knows what was committed before there is a leader', async t => {
  const cluster = await found(['a', 'b', 'c'], [], 13)
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

// A leader's machine freezes, another one leads and takes changes, and the first one wakes up with its clock as it was: by the
// clock its lease still holds. A read must not be answered with what it knew before.
test('a confirmation is not given by a leader that was replaced while it was frozen', async t => {
  const cluster = await found(['a', 'b', 'c'], ['d', 'e'], 17)
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

// A leader's disk fills up. It must not lead on with what it cannot write, nor take the group with it: another one leads, and
// the replica is built anew from its disk once there is room.
test('a leader whose disk is full steps down and comes back', async t => {
  const cluster = await found(['a', 'b', 'c'], ['d', 'e'], 19)
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

// Two replicas lose what they had acknowledged and elect a leader without it; it would undo an accepted configuration at the
// third. The check must see it at the first message, and not only where the log is cut back.
test('a leader that contradicts what was committed is noticed', async t => {
  const cluster = await found(['a', 'b', 'c'], [], 17)
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
