/** Fleet views, endpoint ownership and the endpoint table. */
import * as ava from 'ava'
import type * as contracts from '@kingcupdeck/contracts'
import * as membership from '../src/index.js'

const test = ava.default

const instance = (id: string, incarnation: number, zone = 'z'): contracts.Instance => ({ id, boot: id, incarnation, zone, peer: '127.0.0.1:1', url: 'http://127.0.0.1:2', leaving: false })
const joined = (number: number, item: contracts.Instance): contracts.ViewChange => ({ number, kind: 'joined', instance: item })
const left = (number: number, item: contracts.Instance): contracts.ViewChange => ({ number, kind: 'left', instance: item })
const endpoints = Array.from({ length: 200 }, (_, i) => ({ id: `e${i}`, zone: 'z' }))

test('ownership is balanced and moves only with the removed instance', t => {
  const three = ['a', 'b', 'c'].map((id, i) => instance(id, i + 1))
  const before = endpoints.map(item => membership.findOwner(three, item)?.id)
  const after = endpoints.map(item => membership.findOwner(three.slice(0, 2), item)?.id)
  for (const id of ['a', 'b', 'c']) t.true(before.filter(owner => owner === id).length > 40)
  t.true(endpoints.every((_, i) => before[i] === 'c' || before[i] === after[i]))
})

test('owners are chosen in the endpoint\'s zone and never among leaving instances', t => {
  const list = [instance('a', 1, 'x'), instance('b', 2, 'y'), { ...instance('c', 3, 'y'), leaving: true }]
  t.true(endpoints.every(item => membership.findOwner(list, { ...item, zone: 'y' })?.id === 'b'))
  t.is(membership.findOwner([{ ...list[0], leaving: true }], endpoints[0]), undefined)
})

// Guards against two owners at once, which would exceed the load cap of the endpoint.
test('a new owner waits until the previous owner has seen the view', t => {
  const [a, b, c] = [instance('a', 1), instance('b', 2), instance('c', 3)]
  const views = membership.createViews()
  views.apply({ number: 3, base: { number: 2, instances: [a, b] }, changes: [joined(3, c)], laggards: [{ instance: 'a', seen: 2 }] })
  const moved = endpoints.filter(item => membership.findOwner([a, b], item)?.id === 'a' && membership.findOwner([a, b, c], item)?.id === 'c')
  const fromB = endpoints.filter(item => membership.findOwner([a, b], item)?.id === 'b' && membership.findOwner([a, b, c], item)?.id === 'c')
  t.true(moved.length > 0 && fromB.length > 0)
  t.true(moved.every(item => !views.isOwnershipSettled(item)))
  t.true(fromB.every(item => views.isOwnershipSettled(item)))
  views.apply({ number: 3, changes: [], laggards: [] })
  t.true(moved.every(item => views.isOwnershipSettled(item)))
})

test('a removed instance does not block ownership', t => {
  const [a, b] = [instance('a', 1), instance('b', 2)]
  const views = membership.createViews()
  views.apply({ number: 2, base: { number: 2, instances: [a, b] }, changes: [], laggards: [{ instance: 'a', seen: 1 }] })
  views.apply({ number: 3, changes: [left(3, a)], laggards: [] })
  t.true(endpoints.every(item => views.ownerOf(item)?.id === 'b' && views.isOwnershipSettled(item)))
})

// A new control leader lists all instances as laggards, since it does not know which views they have seen.
test('settled ownership stays settled after a control failover', t => {
  const [a, b] = [instance('a', 1), instance('b', 2)]
  const views = membership.createViews()
  views.apply({ number: 2, base: { number: 2, instances: [a, b] }, changes: [], laggards: [] })
  views.apply({ number: 2, changes: [], laggards: [{ instance: 'a', seen: 1 }, { instance: 'b', seen: 2 }] })
  t.true(endpoints.every(item => views.isOwnershipSettled(item)))
})

test('an older view is not applied', t => {
  const [a, b] = [instance('a', 1), instance('b', 2)]
  const views = membership.createViews()
  views.apply({ number: 2, base: { number: 2, instances: [a, b] }, changes: [], laggards: [] })
  t.false(views.apply({ number: 1, base: { number: 1, instances: [a] }, changes: [], laggards: [] }))
  t.is(views.number(), 2)
})

const toRecord = (seq: number, state: contracts.EndpointRecord['state'] = 'ready', boot = 1): contracts.EndpointRecord => ({ id: 'e', service: 's', zone: 'z', address: '127.0.0.1:1', boot, seq, state, slots: 1, weight: 1, models: [], checksFencing: false })

test('records are merged by boot and sequence number, not by order of arrival', t => {
  const table = membership.createEndpointTable()
  t.true(table.merge(toRecord(5, 'leaving')))
  t.false(table.merge(toRecord(4)))
  t.false(table.merge(toRecord(5)))
  t.true(table.merge(toRecord(5, 'gone')))
  t.false(table.merge(toRecord(5, 'leaving')))
  t.true(table.merge(toRecord(1, 'ready', 2)))
  t.deepEqual(table.ready('s').map(item => item.boot), [2])
})

test('equal tables have equal digests, and differing records are found', t => {
  const [left, right] = [membership.createEndpointTable(), membership.createEndpointTable()]
  const list = Array.from({ length: 100 }, (_, i) => ({ ...toRecord(1), id: `e${i}` }))
  list.forEach(left.merge)
  ;[...list].reverse().forEach(right.merge)
  t.deepEqual(left.bucketDigests(), right.bucketDigests())
  right.merge({ ...toRecord(2), id: 'e7' })
  t.true(right.findDifferences(left.bucketDigests()).some(item => item.id === 'e7' && item.seq === 2))
  t.true(right.findDifferences(left.bucketDigests()).length < 20)
})
