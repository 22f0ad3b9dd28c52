/** Elections among replicas of which the one with the longest log is a term behind. */
import * as ava from 'ava'
import * as virtual from './helpers/virtualCluster.js'

const test = ava.default

// Guards against a group without a leader for good: a candidate that asked for votes ended before its own term was on its disk.
for (const [title, votedFor] of [['for that one', 'b'], ['for itself', 'c'], ['for one that lost its disk', 'a']]) {
  test(`a leader is elected although the only other replica is a term ahead and voted ${title}`, async t => {
    const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 1)
    for (const name of cluster.names) await cluster.start(name)
    await cluster.clock.advance(3000)
    cluster.propose('acknowledged')
    await cluster.clock.advance(1000)
    t.deepEqual(cluster.acknowledged, ['acknowledged'])
    for (const name of cluster.names) cluster.crash(name)
    const [b, c] = ['b', 'c'].map(name => cluster.node(name).disk)
    const term = Math.max(b.meta?.term ?? 0, c.meta?.term ?? 0)
    const toId = (name: string): string => `${name}#${cluster.node(name).disk.meta?.incarnation ?? ''}`
    b.entries.push({ index: b.lastIndex() + 1, term, body: { kind: 'command', atMs: 0, command: 'not committed' } })
    if (b.meta !== undefined) b.meta = { ...b.meta, term }
    if (c.meta !== undefined) c.meta = { ...c.meta, term: term + 1, votedFor: toId(votedFor) }
    cluster.wipe('a')
    for (const name of cluster.names) await cluster.start(name)
    await cluster.clock.advance(10_000)
    t.not(cluster.leader(), undefined)
    t.deepEqual(cluster.applied('b').slice(0, 1), ['acknowledged'])
    t.deepEqual(cluster.applied('c'), cluster.applied('b'))
    t.deepEqual(cluster.violations, [])
  })
}
