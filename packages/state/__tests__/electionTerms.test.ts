/** Elections between replicas whose terms differ. */
import * as ava from 'ava'
import type * as state from '../src/index.js'
import * as virtual from './helpers/virtualCluster.js'

const test = ava.default

// Guards against a group without a leader for ever: the only replica that can win asks for a term that the other one has already.
test('a replica with the longer log wins although the other one is terms ahead', async t => {
  for (const ahead of [0, 1, 2, 3]) {
    const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 5)
    const founding = cluster.names.map(name => ({ name, incarnation: name }))
    const first: state.Entry = { index: 1, term: 0, body: { kind: 'membership', voters: founding } }
    Object.assign(cluster.node('a').disk, { meta: { incarnation: 'a', term: 1, votedFor: null, founding }, entries: [first, { index: 2, term: 1, body: { kind: 'noop' } }] })
    Object.assign(cluster.node('b').disk, { meta: { incarnation: 'b', term: 1 + ahead, votedFor: null, founding }, entries: [first] })
    for (const name of ['a', 'b']) void cluster.start(name)
    for (let ms = 0; ms < 10_000 && cluster.leader() === undefined; ms += 50) await cluster.clock.advance(50)
    t.is(cluster.leader()?.name, 'a', `${ahead} terms ahead`)
    t.deepEqual(cluster.violations, [])
  }
})
