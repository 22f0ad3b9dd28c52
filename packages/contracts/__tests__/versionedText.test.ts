/** Texts packed whole and as differences. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as contracts from '../src/index.js'

const test = ava.default

function toText (entries: readonly number[], change = ''): Buffer {
  return Buffer.from(JSON.stringify({ routes: entries.map(entry => ({ name: `r-${entry}`, host: `h${(entry * 7919) % 100_003}.example`, note: `é${change}` })) }))
}

const numbers = Array.from({ length: 2000 }, (_, i) => i)

// A control instance on 4.2 Mbit/s sends a document of 2,000 entries to 22 instances at each change. Whole ones take it over a
// second, so that a few changes in a row are in force after the time that the operators allow.
test('a change of one entry of 2,000 is sent in a few hundred bytes', t => {
  const from = contracts.toVersionedText(1, toText(numbers))
  const to = contracts.toVersionedText(2, toText(numbers.filter(entry => entry !== 1200)))
  const packed = contracts.packDelta(from, to)
  t.true(packed.body.length < 300, `${packed.body.length} bytes`)
  t.true(contracts.packFull(to).body.length > 10_000)
  t.deepEqual(contracts.unpackText(packed, from), to)
})

test('any text comes out of its packing as it went in', t => {
  const bytes = fc.oneof(fc.uint8Array(), fc.array(fc.nat(30)).map(list => toText(list)), fc.array(fc.nat(30)).map(list => toText(list, 'x')))
  fc.assert(fc.property(bytes, bytes, (first, second) => {
    const from = contracts.toVersionedText(1, first)
    const to = contracts.toVersionedText(2, second)
    t.deepEqual(contracts.unpackText(contracts.packFull(to), null), to)
    t.deepEqual(contracts.unpackText(contracts.packDelta(from, to), from), to)
  }), { seed: 20261203 })
})

// A replica that starts applies the differences of its log one after the other. Where a list grows or shrinks at its end, what
// was the last piece of a text stands before others in the next one, or the other way round.
test('differences that are applied in a row give each text as it was', t => {
  const lists = fc.array(fc.array(fc.nat(12)).map(list => toText(list, list.length % 2 === 0 ? '},{' : '')), { maxLength: 12 })
  fc.assert(fc.property(lists, texts => {
    const held = texts.map((text, i) => contracts.toVersionedText(i + 1, text))
    const packed = held.map((item, i) => i === 0 ? contracts.packFull(item) : contracts.packDelta(held[i - 1], item))
    let last: contracts.VersionedText | null = null
    for (const [i, item] of packed.entries()) {
      last = contracts.unpackText(item, last) ?? null
      t.deepEqual(last, held[i])
    }
  }), { seed: 20261203 })
})

test('a difference from a text that is not held gives nothing', t => {
  const from = contracts.toVersionedText(1, toText([1, 2]))
  const other = contracts.toVersionedText(1, toText([1, 3]))
  const packed = contracts.packDelta(from, contracts.toVersionedText(2, toText([1, 2, 3])))
  t.is(contracts.unpackText(packed, other), undefined)
  t.is(contracts.unpackText(packed, null), undefined)
})

test('a damaged text is refused', t => {
  const whole = contracts.packFull(contracts.toVersionedText(1, toText([1, 2])))
  t.throws(() => contracts.unpackText({ ...whole, digest: contracts.sha256('other') }, null), { message: /digest/ })
})
