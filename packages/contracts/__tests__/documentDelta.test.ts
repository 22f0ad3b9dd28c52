/** Deltas between versions of the configuration document. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as contracts from '../src/index.js'

const test = ava.default
const PARTS = ['zones', 'priorities', 'services', 'models', 'carriages', 'clientAccounts', 'patience', 'operators'] as const

/** Builds a document with one part of the given entries; JSON keeps every key as one of the object's own. */
function toDocument (entries: ReadonlyArray<readonly [string, number]>): contracts.Document {
  const part = `{${entries.map(([id, value]) => `${JSON.stringify(id)}:{"value":${value}}`).join(',')}}`
  return { ...Object.fromEntries(PARTS.map(name => [name, {}])), zones: JSON.parse(part), deployment: 'd', timeZone: 'UTC', ledger: {} } as unknown as contracts.Document
}

// Guards against an entry that is called like a member of every object, and is not removed at the instances that receive deltas.
test('a delta turns one document into the other, whatever their entries are called', t => {
  const id = fc.oneof(fc.constantFrom('a', 'b', '__proto__', 'constructor', 'toString', 'hasOwnProperty', ''), fc.string())
  const entries = fc.uniqueArray(fc.tuple(id, fc.nat(2)), { maxLength: 6, selector: ([key]) => key })
  fc.assert(fc.property(entries, entries, (before, after) => {
    const [from, to] = [toDocument(before), toDocument(after)]
    const changes = JSON.parse(JSON.stringify(contracts.diffDocuments(from, to))) as contracts.Change[]
    const applied = contracts.applyChanges(from, changes)
    t.deepEqual(Object.entries(applied.zones).sort(), Object.entries(to.zones).sort())
  }), { seed: 67, numRuns: 300 })
})
