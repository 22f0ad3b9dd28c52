/** Whether a replica that claims to be current has applied everything that was acknowledged before. */
import * as ava from 'ava'
import type * as state from '../src/index.js'
import * as virtual from './helpers/virtualCluster.js'

const test = ava.default

async function startGroup (names: string[], seed: number): Promise<virtual.VirtualCluster> {
  const cluster = new virtual.VirtualCluster(names, seed)
  for (const name of names) await cluster.start(name)
  await cluster.clock.advance(6000)
  return cluster
}

function leaderName (cluster: virtual.VirtualCluster): string {
  const leader = cluster.leader()
  if (leader === undefined) throw new Error('the group has no leader')
  return leader.name
}

/** Advances the time in small steps, and checks the claims of all replicas after each. */
async function advanceAndCheck (cluster: virtual.VirtualCluster, ms: number): Promise<void> {
  for (let at = 0; at < ms; at += 5) {
    await cluster.clock.advance(5)
    cluster.checkCurrency()
  }
}

// Guards against a stale document that passes for the latest because its replica hears the leader.
test('a follower whose disk stalls does not claim to be current', async t => {
  const cluster = await startGroup(['a', 'b', 'c'], 4)
  const follower = cluster.names.filter(name => name !== leaderName(cluster))[0]
  cluster.stalledDisks.add(follower)
  cluster.propose('changed')
  await advanceAndCheck(cluster, 4000)
  t.deepEqual(cluster.acknowledged, ['changed'])
  t.deepEqual(cluster.violations, [])
  cluster.stalledDisks.delete(follower)
  await cluster.clock.advance(2000)
  t.true((cluster.node(follower).process.replica?.lastCurrentAt() ?? 0) > cluster.clock.now() - 500, 'it is current again')
})

// Guards against claims of a new leader, and of its followers, that do not know yet what is committed.
test('after a loss of power no replica claims to be current before the first commit', async t => {
  for (let seed = 1; seed <= 20; seed++) {
    const cluster = await startGroup(['a', 'b', 'c', 'd', 'e'], seed)
    cluster.propose('changed')
    while (cluster.acknowledged.length === 0) await cluster.clock.advance(1)
    for (const name of cluster.names) cluster.crash(name)
    await cluster.clock.advance(600)
    for (const name of cluster.names) await cluster.start(name)
    await advanceAndCheck(cluster, 5000)
    t.deepEqual(cluster.violations, [], `seed ${seed}`)
    for (const name of cluster.names) t.true(cluster.applied(name).includes('changed'))
  }
})

// Guards against a follower that rests on a leader which was replaced on the other side of a partition.
test('a follower of a leader without a quorum does not claim to be current', async t => {
  const cluster = await startGroup(['a', 'b', 'c', 'd', 'e'], 6)
  const leader = leaderName(cluster)
  const [follower, ...others] = cluster.names.filter(name => name !== leader)
  for (const cutOff of [leader, follower]) {
    for (const other of others) cluster.network.brokenLinks.add([cutOff, other].sort().join(' '))
  }
  for (let i = 0; i < 40; i++) {
    if (others.includes(cluster.leader()?.name ?? '')) cluster.propose(`cmd-${i}`)
    await advanceAndCheck(cluster, 100)
  }
  t.true(cluster.acknowledged.length > 10)
  t.deepEqual(cluster.violations, [])
})

// Guards against a follower that has the entries up to the commit index in its log, but does not know yet that they are the leader's.
test('a follower is not current before the entries up to the commit index are confirmed', async t => {
  const cluster = await startGroup(['a', 'b', 'c'], 2)
  const leader = leaderName(cluster)
  const follower = cluster.node(cluster.names.filter(name => name !== leader)[0])
  const { replica } = follower.process
  const last = follower.disk.entries.at(-1)
  if (replica === undefined || last === undefined) return t.fail('no follower')
  for (const name of cluster.names) if (name !== follower.name) cluster.crash(name)
  const append = (change: Partial<Extract<state.Rpc, { t: 'append' }>>): state.Rpc => {
    return { t: 'append', term: last.term, leader: { name: leader, incarnation: `${leader}-1` }, prevIndex: last.index, prevTerm: last.term, entries: [], commit: last.index, quorumAgeMs: 0, ...change }
  }
  void replica.handle(append({ entries: [{ index: last.index + 1, term: last.term, body: { kind: 'noop' } }] }))
  await cluster.clock.advance(500)
  const before = replica.lastCurrentAt()
  void replica.handle(append({ commit: last.index + 1 }))
  await cluster.clock.advance(50)
  t.is(replica.lastCurrentAt(), before)
  void replica.handle(append({ prevIndex: last.index + 1, commit: last.index + 1 }))
  await cluster.clock.advance(50)
  t.true(replica.lastCurrentAt() > before)
})
