/** The state machine of the document and the evacuated zones. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as cbor from 'cbor-x'
import * as contracts from '@kingcupdeck/contracts'
import * as coordination from '../src/index.js'

const test = ava.default
const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })
const AT = { index: 1, atMs: 0 }

function toDocument (version: number): contracts.VersionedText {
  return contracts.toVersionedText(version, Buffer.from(`document ${version}`))
}

test('a snapshot restores the document and the evacuations', t => {
  const machine = coordination.createDocumentMachine()
  machine.apply(contracts.packFull(toDocument(3)), AT)
  machine.apply({ t: 'evacuation', zone: 'z1', isEvacuated: true, revision: 0 }, AT)
  const restored = coordination.createDocumentMachine()
  restored.restore(machine.save())
  t.is(restored.latest()?.version, 3)
  t.deepEqual(restored.evacuations(), { revision: 1, zones: ['z1'] })
})

// Disks of earlier releases hold the packed document alone, and instances of both releases run during an upgrade.
test('a snapshot without evacuations has the form of earlier releases', t => {
  const machine = coordination.createDocumentMachine()
  const document = toDocument(3)
  machine.apply(contracts.packFull(document), AT)
  t.is(contracts.unpackText(codec.decode(machine.save()), null)?.digest, document.digest)
  const restored = coordination.createDocumentMachine()
  restored.restore(codec.encode(contracts.packFull(document)))
  t.is(restored.latest()?.version, 3)
  t.deepEqual(restored.evacuations(), { revision: 0, zones: [] })
})

// Repeats of an order may be committed in any order, also after later orders.
test('each command applies at most once, whatever repeats and delays there are', t => {
  const command = fc.record({ zone: fc.constantFrom('z1', 'z2'), isEvacuated: fc.boolean(), lag: fc.nat({ max: 3 }) })
  fc.assert(fc.property(fc.array(command, { maxLength: 30 }), commands => {
    const machine = coordination.createDocumentMachine()
    for (const { zone, isEvacuated, lag } of commands) {
      const before = machine.evacuations()
      const result = machine.apply({ t: 'evacuation', zone, isEvacuated, revision: before.revision - lag }, AT) as coordination.EvacuationResult
      if (lag > 0) {
        t.is(result.kind, 'outdated')
        t.deepEqual(machine.evacuations(), before)
      } else {
        t.is(result.kind, 'changed')
        t.is(machine.evacuations().zones.includes(zone), isEvacuated)
        t.is(machine.evacuations().revision, before.revision + 1)
      }
    }
  }))
})
