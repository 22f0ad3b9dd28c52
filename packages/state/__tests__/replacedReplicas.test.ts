/** Replicas that are replaced by new ones at other addresses, on virtual time: the group must keep a reachable quorum. */
import * as ava from 'ava'
import * as virtual from './helpers/virtualCluster.js'

const test = ava.default
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
