/** Encoding of versioned texts in full and as deltas. */
import * as zlib from 'node:zlib'
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as contracts from '../src/index.js'

const test = ava.default

function toText (entries: readonly number[], change = ''): Buffer {
  return Buffer.from(JSON.stringify({ routes: entries.map(entry => ({ name: `r-${entry}`, host: `h${(entry * 7919) % 100_003}.example`, note: `é${change}` })) }))
}

const entries = Array.from({ length: 2000 }, (_, i) => i)

// Sending the full document to every instance at each change would take too long on a slow link.
test('the delta for one removed entry of 2,000 is below 300 bytes', t => {
  const from = contracts.toVersionedText(1, toText(entries))
  const to = contracts.toVersionedText(2, toText(entries.filter(entry => entry !== 1200)))
  const packed = contracts.packDelta(from, to)
  t.true(packed.body.length < 300, `${packed.body.length} bytes`)
  t.true(contracts.packFull(to).body.length > 10_000)
  t.deepEqual(contracts.unpackText(packed, from), to)
})

test('packing and unpacking returns the original text', t => {
  const texts = fc.oneof(fc.uint8Array(), fc.array(fc.nat(30)).map(list => toText(list)), fc.array(fc.nat(30)).map(list => toText(list, 'x')))
  fc.assert(fc.property(texts, texts, (first, second) => {
    const from = contracts.toVersionedText(1, first)
    const to = contracts.toVersionedText(2, second)
    t.deepEqual(contracts.unpackText(contracts.packFull(to), null), to)
    t.deepEqual(contracts.unpackText(contracts.packDelta(from, to), from), to)
  }), { seed: 20261203 })
})

// Appending to or truncating a list turns the last piece of a text into an inner one, or the reverse; cached pieces must
// not carry the old boundary over to the next delta.
test('deltas applied in sequence reproduce each text', t => {
  const lists = fc.array(fc.array(fc.nat(12)).map(list => toText(list, list.length % 2 === 0 ? '},{' : '')), { maxLength: 12 })
  fc.assert(fc.property(lists, texts => {
    const versions = texts.map((text, i) => contracts.toVersionedText(i + 1, text))
    const packed = versions.map((item, i) => i === 0 ? contracts.packFull(item) : contracts.packDelta(versions[i - 1], item))
    let last: contracts.VersionedText | null = null
    for (const [i, item] of packed.entries()) {
      last = contracts.unpackText(item, last) ?? null
      t.deepEqual(last, versions[i])
    }
  }), { seed: 20261203 })
})

test('unpacking a delta with another base returns undefined', t => {
  const from = contracts.toVersionedText(1, toText([1, 2]))
  const other = contracts.toVersionedText(1, toText([1, 3]))
  const packed = contracts.packDelta(from, contracts.toVersionedText(2, toText([1, 2, 3])))
  t.is(contracts.unpackText(packed, other), undefined)
  t.is(contracts.unpackText(packed, null), undefined)
})

test('unpacking a text with the wrong digest throws', t => {
  const packed = contracts.packFull(contracts.toVersionedText(1, toText([1, 2])))
  t.throws(() => contracts.unpackText({ ...packed, digest: contracts.sha256('other') }, null), { message: /digest/ })
})

// Guards against a few damaged bytes that unpack to more than memory holds.
test('a packed text that unpacks to hundreds of megabytes is an error', t => {
  const from = contracts.toVersionedText(1, toText(entries))
  const whole = { version: 2, digest: 'x', base: '', body: zlib.deflateRawSync(Buffer.alloc(300 * 1024 * 1024), { level: 1 }) }
  t.throws(() => contracts.unpackText(whole, from))
  const steps = JSON.stringify(new Array(100_000).fill([0, 2000]))
  t.throws(() => contracts.unpackText({ version: 2, digest: 'x', base: from.digest, body: zlib.deflateRawSync(steps) }, from), { message: /longer than/ })
})
