/** What an operator does when too few founders are left to elect a leader: docs/OPERATIONS.md, "A group that waits for good". */
import * as ava from 'ava'
import type * as state from '../src/index.js'
import * as virtual from './helpers/virtualCluster.js'
import * as virtualDisks from './helpers/virtualDisk.js'

const test = ava.default
const FILES = ['meta', 'log', 'synced', 'committed', 'snapshot']

function createCluster (): virtual.VirtualCluster {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 11, 20, true)
  cluster.maxFailedDisks = 1
  cluster.usesFiles = true
  cluster.timing = { heartbeatMs: 200, electionMinMs: 700, electionMaxMs: 1300 }
  return cluster
}

/** Proposes commands until there are so many acknowledged ones, or the time is over. */
async function propose (cluster: virtual.VirtualCluster, prefix: string, ms: number): Promise<string[]> {
  for (let at = 0; at < ms; at += 100) {
    cluster.propose(`${prefix}-${at}`)
    await cluster.clock.advance(100)
    cluster.checkLeaders()
  }
  return cluster.acknowledged.filter(command => command.startsWith(prefix))
}

/** Copies the folder of a replica to another machine. */
async function copyFolder (cluster: virtual.VirtualCluster, from: string, to: string): Promise<void> {
  const source = cluster.node(from).files.connect()
  cluster.node(to).files.wipe()
  const target = cluster.node(to).files.connect()
  await target.mkdir(virtualDisks.FOLDER, { recursive: true })
  for (const name of FILES) {
    const content = await source.readFile(`${virtualDisks.FOLDER}/${name}`).catch(() => undefined)
    if (content !== undefined) await target.writeFile(`${virtualDisks.FOLDER}/${name}`, content)
  }
}

// Guards against an operator without a way out when the disk of a founder is lost before the one that was told nothing is admitted.
test('founders without state take part with a copy of the folder of the last member', async t => {
  for (const numSeconds of [1, 12]) {
    const cluster = createCluster()
    void cluster.start('a')
    void cluster.start('b')
    await cluster.clock.advance(3000)
    const before = await propose(cluster, 'before', numSeconds * 1000)
    t.true(before.length > 3)
    const survivor = cluster.leader()?.name === 'a' ? 'a' : 'b'
    const lost = survivor === 'a' ? 'b' : 'a'
    cluster.wipe(lost)
    void cluster.start(lost, false)
    void cluster.start('c', false)
    t.deepEqual(await propose(cluster, 'waiting', 60_000), [])
    t.true(cluster.reports.some(item => item.name === survivor && item.missing.includes('of its voters must be up')))

    for (const name of cluster.names) cluster.crash(name)
    for (const name of [lost, 'c']) await copyFolder(cluster, survivor, name)
    for (const name of cluster.names) void cluster.start(name, false)
    t.true((await propose(cluster, 'after', 20_000)).length > 100)
    for (const name of cluster.names) for (const command of before) t.true(cluster.applied(name).includes(command), `${name} lacks ${command}`)
    t.is(cluster.leader()?.process.replica?.status().voters.length, 3)
    t.deepEqual(cluster.violations, [])
  }
})

// Guards against an operator without a way out when a told founder is gone for good and another one was told nothing.
test('a founder that was told nothing is told by its operator while no founder is a member', async t => {
  const cluster = createCluster()
  void cluster.start('a')
  void cluster.start('c', false)
  t.deepEqual(await propose(cluster, 'waiting', 60_000), [])
  t.true(cluster.reports.some(item => item.missing.includes('a: told, b: no reply, c: untold')))

  cluster.wipe('c')
  void cluster.start('c', true)
  t.true((await propose(cluster, 'after', 10_000)).length > 20)
  // A machine in place of the founder that is gone.
  await cluster.add('d', false)
  await cluster.clock.advance(30_000)
  t.deepEqual(cluster.leader()?.process.replica?.status().voters.map(id => id.split('#')[0]).sort(), ['a', 'c', 'd'])
  t.deepEqual(cluster.violations, [])
})

// Guards against an operator without a way out when a machine loses its disk between the proposal of its admission and the commit.
test('a machine that lost its disk while it was admitted takes part with a copy', async t => {
  const cluster = createCluster()
  for (const name of cluster.names) void cluster.start(name)
  await cluster.clock.advance(3000)
  const before = await propose(cluster, 'before', 2000)
  const leader = cluster.leader()?.name ?? ''
  const lost = cluster.names.find(name => name !== leader) ?? ''
  cluster.wipe(lost)
  void cluster.start(lost, false)
  await cluster.clock.advance(100)
  const replica = cluster.node(lost).process.replica as state.Replica
  const { handle } = replica
  replica.handle = async msg => {
    if (msg.t !== 'append' || !msg.entries.some(item => item.body.kind === 'membership' && item.body.voters.length === 4)) return await handle(msg)
    cluster.wipe(lost)
    throw new Error('no reply')
  }
  await cluster.clock.advance(5000)
  t.false(cluster.isUp(lost))
  void cluster.start(lost, false)
  t.deepEqual(await propose(cluster, 'waiting', 30_000), [])

  for (const name of cluster.names) cluster.crash(name)
  await copyFolder(cluster, leader, lost)
  for (const name of cluster.names) void cluster.start(name, false)
  t.true((await propose(cluster, 'after', 20_000)).length > 50)
  for (const name of cluster.names) for (const command of before) t.true(cluster.applied(name).includes(command), `${name} lacks ${command}`)
  t.is(cluster.leader()?.process.replica?.status().voters.length, 3)
  t.deepEqual(cluster.violations, [])
})
