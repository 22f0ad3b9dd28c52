/** Draws records with one odd field. */
import * as fc from 'fast-check'
import type * as discovery from '../../src/index.js'

const DEEP = JSON.parse('['.repeat(500) + ']'.repeat(500)) as unknown

/** Values of a wrong type, range, length, depth or encoding. */
export const oddValue: fc.Arbitrary<unknown> = fc.oneof(
  fc.constantFrom<unknown>(null, true, '', 'ก', '\0\n', 'a\r\nb: c', ' a', '\u{1f600}', '\ud800', '__proto__', 'a'.repeat(100_000), {}, [], DEEP, NaN, Infinity, -1, -0, 0.5, 2 ** 31, 2 ** 53 - 1, 2 ** 53, 1e308, '1e999'),
  fc.constantFrom('10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:080', '256.0.0.1:80', '0.0.0.0:80', '255.255.255.255:80', '10.0.0.1', '10.0.0.1:80:80', 'localhost:80', '[::1]:80', '1.2.3.4:80\r\nX: y', '10.0.0.1:9', '10.0.0.1:65535'),
  fc.anything(),
  fc.double(),
  fc.string({ unit: 'binary', maxLength: 300 })
)

const endpoint: fc.Arbitrary<discovery.EndpointRecord> = fc.record({
  kind: fc.constant('endpoint' as const),
  id: fc.constantFrom('e1', 'e2', '__proto__'),
  startedAt: fc.integer({ min: 1, max: 3 }),
  seq: fc.integer({ min: 1, max: 5 }),
  zone: fc.constantFrom('', 'z'),
  state: fc.constantFrom('starting' as const, 'ready' as const, 'leaving' as const, 'gone' as const),
  service: fc.constantFrom('s', 'constructor'),
  address: fc.constantFrom('10.0.0.1:80', '10.0.0.2:65535'),
  slots: fc.integer({ min: 1, max: 100 }),
  coldMs: fc.integer({ min: 0, max: 5000 })
})

const entry: fc.Arbitrary<discovery.EntryRecord> = fc.record({
  kind: fc.constant('entry' as const),
  id: fc.constantFrom('r1', 'r2'),
  startedAt: fc.integer({ min: 1, max: 3 }),
  seq: fc.integer({ min: 1, max: 5 }),
  zone: fc.constant('z'),
  state: fc.constantFrom('starting' as const, 'ready' as const),
  region: fc.constant('r'),
  front: fc.constant('10.0.0.3:80'),
  inner: fc.constant('10.0.0.3:81')
})

/** A valid record. */
export const properRecord: fc.Arbitrary<discovery.Record> = fc.oneof(endpoint, entry)

/** A record of which one field is replaced, or a value that is no record at all. */
export const oddRecord: fc.Arbitrary<unknown> = fc.oneof(
  {
    weight: 9,
    arbitrary: fc.tuple(properRecord, fc.nat(), oddValue).map(([record, at, value]) => {
      const keys = [...Object.keys(record), 'quarantined', 'isImpaired', 'more']
      return { ...record, [keys[at % keys.length]]: value }
    })
  },
  { weight: 1, arbitrary: oddValue }
)
