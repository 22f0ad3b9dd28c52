/** The first start of a group whose processes end, or are away, within it, on virtual time: it is founded once, whoever lives through it. */
import * as ava from 'ava'
import * as virtual from './helpers/virtualCluster.js'

const test = ava.default
const TIMING = { heartbeatMs: 200, electionMinMs: 700, electionMaxMs: 1300 }
/** Time within which a quorum of told founders has a leader, milliseconds. */
const LEADER_MS = 6000
/** The same if nobody was told, since that must be found for 10 s. */
const UNTOLD_MS = 17_000
/** Before the first write is synced. */
const BEFORE_MARK_MS = 0
/** After the first write is synced, and before the others are. */
const AFTER_MARK_MS = 12

function createCluster (seed: number, maxFailedDisks = 1, names = ['a', 'b', 'c']): virtual.VirtualCluster {
  const cluster = new virtual.VirtualCluster(names, seed, 20, true)
  cluster.maxFailedDisks = maxFailedDisks
  cluster.timing = TIMING
  cluster.syncMs = { min: 8, max: 9 }
  return cluster
}

async function run (cluster: virtual.VirtualCluster, ms: number): Promise<void> {
  for (let at = 0; at < ms; at += 20) {
    await cluster.clock.advance(20)
    cluster.checkLeaders()
  }
}

/** Starts all, ends the first so many after a time, and starts them again. */
async function startWithKills (cluster: virtual.VirtualCluster, count: number, killedAfterMs: number, again: boolean): Promise<void> {
  const names = [...cluster.nodes.keys()]
  for (const name of names) await cluster.start(name)
  const killed = names.slice(0, count)
  await cluster.clock.advance(killedAfterMs)
  for (const name of killed) cluster.crash(name)
  await cluster.clock.advance(100)
  for (const name of killed) await cluster.start(name, again)
}

function voters (cluster: virtual.VirtualCluster): string[] {
  return (cluster.leader()?.process.replica?.status().voters ?? []).map(id => id.split('#')[0]).sort()
}

/** Checks that there is one group, and that all replicas are its voters and have its state. */
async function checkFounded (t: ava.ExecutionContext, cluster: virtual.VirtualCluster, detail = ''): Promise<void> {
  t.truthy(cluster.leader(), `no leader ${detail}`)
  cluster.propose('first')
  await run(cluster, 8000)
  t.deepEqual(cluster.acknowledged, ['first'], detail)
  t.deepEqual(voters(cluster), [...cluster.nodes.keys()].sort(), detail)
  for (const name of cluster.nodes.keys()) t.deepEqual(cluster.applied(name), ['first'], `${name} ${detail}`)
  t.deepEqual(cluster.violations, [], detail)
}

// Guards against a system that never starts because one founder is away at its first start.
test('a group is founded without one of its founders, which joins later', async t => {
  for (const away of ['a', 'b', 'c']) {
    const cluster = createCluster(3)
    for (const name of cluster.names) if (name !== away) await cluster.start(name)
    await run(cluster, LEADER_MS)
    t.truthy(cluster.leader(), `without ${away}`)
    for (const name of ['d', 'e']) await cluster.add(name)
    await run(cluster, 34_000)
    await cluster.start(away)
    await run(cluster, LEADER_MS)
    await checkFounded(t, cluster, `without ${away}`)
    t.deepEqual(cluster.claims, [])
  }
})

// Guards against a system that never starts because one founder ends before, or after, it has stored what it was told.
test('a group is founded although a founder ends in its first moments', async t => {
  for (const killedAfterMs of [BEFORE_MARK_MS, AFTER_MARK_MS, 25, 400]) {
    for (const again of [true, false]) {
      const cluster = createCluster(5)
      await startWithKills(cluster, 1, killedAfterMs, again)
      await run(cluster, LEADER_MS)
      await checkFounded(t, cluster, `killed after ${killedAfterMs} ms, told ${again}`)
      t.deepEqual(cluster.claims, [])
    }
  }
})

// Guards against a system that never starts because most founders end before they have stored what they were told.
test('a group is founded by what one founder, or one other replica, was told', async t => {
  for (const others of [[], ['d', 'e']]) {
    for (const killed of others.length > 0 ? [2, 3] : [2]) {
      const cluster = createCluster(7)
      for (const name of others) await cluster.add(name)
      await startWithKills(cluster, killed, BEFORE_MARK_MS, false)
      await run(cluster, LEADER_MS)
      await checkFounded(t, cluster, `${killed} killed of ${cluster.nodes.size}`)
      t.true(cluster.claims.length >= killed - 1)
    }
  }
})

// Guards against a system that never starts because all processes were killed at once in their first moments.
test('a group is founded although nobody alive was told so', async t => {
  const cluster = createCluster(9)
  await startWithKills(cluster, 3, BEFORE_MARK_MS, false)
  await run(cluster, 9000)
  t.is(cluster.leader(), undefined, 'founded before it could know that there is no group')
  await run(cluster, UNTOLD_MS - 9000)
  await checkFounded(t, cluster)
})

// Guards against fleets with two, one or five founders that never start.
test('any number of founders found the group', async t => {
  for (const [names, killed, maxFailedDisks] of [[['a'], 0, 0], [['a'], 1, 0], [['a', 'b'], 1, 1], [['a', 'b', 'c', 'd', 'e'], 3, 2]] as const) {
    const cluster = createCluster(11, maxFailedDisks, [...names])
    await startWithKills(cluster, killed, BEFORE_MARK_MS, false)
    await run(cluster, UNTOLD_MS)
    await checkFounded(t, cluster, `${killed} killed of ${names.length}`)
  }
})

// Guards against fleets that may lose as many disks as a quorum of the founders has, and never start because their processes were killed at once.
test('a group is founded by one told founder although the others may have lost their disks', async t => {
  for (const killed of [2, 3]) {
    const cluster = createCluster(25, 2)
    for (const name of ['d', 'e']) await cluster.add(name, false)
    await startWithKills(cluster, killed, BEFORE_MARK_MS, false)
    await run(cluster, 9000)
    t.is(cluster.leader(), undefined, 'founded before it could know that there is no group')
    await run(cluster, UNTOLD_MS - 9000)
    await checkFounded(t, cluster, `${killed} killed`)
  }
})

// Guards against a second group founded by those that lost their disks and a founder that is slow to return.
test('two of three founders lose their disks while all others have no power, and no second group is founded', async t => {
  for (const first of [['a', 'b'], ['a', 'b', 'c']]) {
    const cluster = createCluster(27, 2)
    for (const name of cluster.names) await cluster.start(name)
    for (const name of ['d', 'e']) await cluster.add(name)
    await run(cluster, LEADER_MS + 10_000)
    cluster.propose('precious')
    await run(cluster, 500)
    for (const name of cluster.nodes.keys()) cluster.crash(name)
    for (const name of ['a', 'b']) cluster.wipe(name)
    for (const name of first) await cluster.start(name, false)
    await run(cluster, 40_000)
    t.deepEqual(cluster.claims, [])
    for (const name of cluster.nodes.keys()) if (!first.includes(name)) await cluster.start(name, false)
    await run(cluster, 20_000)
    t.true(cluster.leader() !== undefined && cluster.applied(cluster.leader()?.name ?? '').includes('precious'))
    t.deepEqual(cluster.claims, [])
    t.deepEqual(cluster.violations, [])
  }
})

// Guards against a founder that votes twice in a term, with a disk that it lost within the founding and with the one after it.
test('a founder loses its disk within the founding', async t => {
  for (const lostAfterMs of [15, 30, 200, 900, 1500]) {
    for (const lost of ['a', 'b', 'c']) {
      const cluster = createCluster(13)
      for (const name of cluster.names) await cluster.start(name)
      await run(cluster, lostAfterMs)
      cluster.wipe(lost)
      await run(cluster, 500)
      await cluster.start(lost, false)
      await run(cluster, LEADER_MS)
      await checkFounded(t, cluster, `${lost} lost after ${lostAfterMs} ms`)
      t.deepEqual(cluster.claims, [])
    }
  }
})

// Guards against a second group beside a living one that cannot be reached.
test('replicas with empty disks that are cut off from their group never found another one', async t => {
  const cluster = createCluster(15)
  for (const name of cluster.names) await cluster.start(name)
  for (const name of ['d', 'e']) await cluster.add(name)
  await run(cluster, 10_000)
  cluster.propose('precious')
  await run(cluster, 500)
  cluster.wipe('a')
  for (const name of ['d', 'e']) cluster.crash(name)
  cluster.seeds = ['a', 'f', 'g']
  await cluster.start('a', false)
  for (const name of ['f', 'g']) await cluster.add(name, false)
  cluster.mayHaveGroup = true
  for (const one of ['a', 'f', 'g']) for (const other of ['b', 'c', 'd', 'e']) cluster.network.brokenLinks.add([one, other].sort().join(' '))
  await run(cluster, 40_000)
  t.deepEqual(cluster.claims, [])
  cluster.network.brokenLinks.clear()
  cluster.seeds = undefined
  for (const name of ['d', 'e']) await cluster.start(name, false)
  await run(cluster, 20_000)
  cluster.propose('after')
  await run(cluster, 1000)
  t.deepEqual(cluster.acknowledged, ['precious', 'after'])
  t.deepEqual(cluster.violations, [])
})

// Guards against a second group after all machines lost power, as many as are tolerated with their disks.
test('all replicas lose power and some their disks, and no second group is founded', async t => {
  for (const lost of [['a'], ['a', 'b'], ['b', 'e']]) {
    const cluster = createCluster(17, lost.length, lost.length === 2 ? ['a', 'b', 'c', 'd', 'e'] : ['a', 'b', 'c'])
    for (const name of cluster.names) await cluster.start(name)
    await run(cluster, LEADER_MS)
    cluster.propose('precious')
    await run(cluster, 500)
    for (const name of cluster.names) cluster.crash(name)
    for (const name of lost) cluster.wipe(name)
    // Those that lost their disks are up first, for longer than it takes to find that nobody was told anything.
    for (const name of lost) await cluster.start(name, false)
    await run(cluster, 15_000)
    for (const name of cluster.names) if (!lost.includes(name)) await cluster.start(name, false)
    await run(cluster, 20_000)
    t.true(cluster.leader() !== undefined && cluster.applied(cluster.leader()?.name ?? '').includes('precious'))
    t.deepEqual(cluster.claims, [])
    t.deepEqual(cluster.violations, [])
  }
})

// Guards against founders that take part with empty logs, and elect a leader without what another one has acknowledged.
test('founders that were told nothing do not claim beside one that is a member', async t => {
  const cluster = createCluster(23)
  for (const name of ['a', 'b']) await cluster.start(name)
  await run(cluster, LEADER_MS)
  cluster.propose('precious')
  await run(cluster, 500)
  cluster.crash('b')
  cluster.wipe('a')
  for (const name of ['a', 'c']) await cluster.start(name, false)
  // Not even after the member was away for long.
  for (const step of ['start', 'isolate', 'join'] as const) {
    if (step === 'start') await cluster.start('b', false)
    if (step === 'isolate') cluster.network.isolated.add('b')
    if (step === 'join') cluster.network.isolated.delete('b')
    await run(cluster, 15_000)
    t.deepEqual(cluster.claims, [], step)
  }
  t.deepEqual(cluster.acknowledged, ['precious'])
  t.deepEqual(cluster.violations, [])
})

// Guards against a founder whose damaged disk makes it pass for one that was never part of a group.
test('a replica whose damaged state was removed neither claims nor lets others claim', async t => {
  const cluster = createCluster(19)
  for (const name of cluster.names) {
    cluster.node(name).disk.isFormer = name === 'c'
    await cluster.start(name, name === 'c')
  }
  await run(cluster, 30_000)
  t.deepEqual(cluster.claims, [])
  t.is(cluster.leader(), undefined)
})

// Guards against a vote that counts for a founder's identity although it was given before that was claimed: its former disk may have voted too.
test('a vote counts for the identity that was asked for it', async t => {
  const cluster = createCluster(29)
  cluster.syncMs = { min: 50, max: 50 }
  for (const name of cluster.names.slice(0, 2)) await cluster.start(name, name === 'a')
  await run(cluster, 200)
  await cluster.start('c', false)
  while (cluster.node('c').process.replica === undefined) await cluster.clock.advance(1)
  const candidate = { name: 'b', incarnation: 'any' }
  const vote = cluster.node('c').process.replica?.handle({ t: 'vote', term: 1, candidate, lastIndex: 1, lastTerm: 0, isTransfer: true })
  await run(cluster, 200)
  t.deepEqual(cluster.claims, ['c'])
  t.like(await vote, { isGranted: true, from: { incarnation: 'c-1' } })
})

// Guards against a system that does not start, and does not say why.
test('replicas without a leader say what is missing', async t => {
  const cluster = createCluster(21)
  await cluster.start('a')
  await run(cluster, 12_000)
  t.deepEqual(cluster.reports, Array.from({ length: 2 }, () => ({ name: 'a', missing: 'a: told, b: no reply, c: no reply; needed: 2 told founders, or a reply of each' })))
  t.is(cluster.node('a').process.replica?.status().missing, cluster.reports[0].missing)
  for (const name of ['b', 'c']) await cluster.start(name)
  await run(cluster, LEADER_MS)
  t.is(cluster.node('a').process.replica?.status().missing, null)
})

// Guards against a founder that is removed because its first writes are slow, so that the group has no leader after two further losses.
test('a founder that is late at the first start is not removed for the replicas that were admitted meanwhile', async t => {
  const cluster = createCluster(17)
  for (const name of ['a', 'b']) await cluster.start(name)
  for (const name of ['d', 'e']) await cluster.add(name)
  await run(cluster, 8000)
  t.deepEqual(voters(cluster), ['a', 'b', 'c', 'd', 'e'])
  await cluster.start('c')
  for (const name of ['d', 'e']) cluster.crash(name)
  await run(cluster, 5000)
  cluster.propose('first')
  await run(cluster, 3000)
  t.deepEqual(cluster.acknowledged, ['first'])
  t.deepEqual(cluster.violations, [])
})
