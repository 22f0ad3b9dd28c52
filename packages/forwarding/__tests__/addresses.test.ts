/** Addresses of entry instances for clients. */
import * as ava from 'ava'
import type * as discovery from '@kingcupdeck/discovery'
import * as addresses from '../src/instance/addresses.js'

const test = ava.default

function toRecord (id: string, zone: string, region: string): discovery.EntryRecord {
  return { kind: 'entry', id, startedAt: 1, seq: 1, zone, region, front: `${id}:80`, inner: `${id}:81`, state: 'ready' }
}

const READY = [toRecord('a1', 'a', 'north'), toRecord('a2', 'a', 'north'), toRecord('b1', 'b', 'north'), toRecord('c1', 'c', 'south')]

function select (zone: string | undefined, region: string | undefined, unreachable: string[] = []): string[] {
  return addresses.selectInstances(READY, { zone, region }, item => !unreachable.includes(item.id)).map(item => item.id)
}

test('a client gets the instances of its zone, or of its region if the zone has a single one', t => {
  t.deepEqual(select('a', 'north'), ['a1', 'a2'])
  t.deepEqual(select('b', 'north'), ['a1', 'a2', 'b1'])
})

// Requests that are bound to a region must not be directed to another one while the client's has instances.
test('other regions are used only if the region of the client has no instance', t => {
  t.deepEqual(select('c', 'south'), ['c1'])
  t.deepEqual(select('x', 'west'), ['a1', 'a2', 'b1', 'c1'])
  t.deepEqual(select(undefined, undefined), ['a1', 'a2', 'b1', 'c1'])
})

test('unreachable instances are left out while others are reachable', t => {
  t.deepEqual(select('a', 'north', ['a1', 'a2']), ['b1'])
  t.deepEqual(select('a', 'north', ['a1', 'a2', 'b1', 'c1']), ['a1', 'a2'])
})
