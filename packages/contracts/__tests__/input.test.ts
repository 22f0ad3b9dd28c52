import test from 'ava'
import * as fc from 'fast-check'
import * as contracts from '../src/index.js'

const LIMITS = { maxBytes: 10_000, maxDepth: 20, maxValues: 500 }

test('input: JSON within its limits is parsed as JSON.parse does', t => {
  fc.assert(fc.property(fc.json({ maxDepth: 8 }), text => {
    const parsed = contracts.input.parseJson(Buffer.from(text), { maxBytes: Infinity, maxDepth: Infinity, maxValues: Infinity })
    t.deepEqual(parsed, { kind: 'valid', value: JSON.parse(text) })
  }), { seed: 11, numRuns: 300 })
})

test('input: JSON that is too long, too deep or has too many values is refused before it is parsed', t => {
  const refused = ['['.repeat(21) + ']'.repeat(21), `[${'[],'.repeat(300)}0]`, '{"a":'.repeat(21) + '1' + '}'.repeat(21), `"${'a'.repeat(10_000)}"`, `[${'1,'.repeat(501)}1]`]
  for (const text of refused) t.is(contracts.input.parseJson(Buffer.from(text), LIMITS).kind, 'invalid', text.slice(0, 40))
})

test('input: brackets and commas within strings count for no limit', t => {
  const value = { text: `${'[{,'.repeat(900)}"\\` }
  t.deepEqual(contracts.input.parseJson(Buffer.from(JSON.stringify(value)), LIMITS), { kind: 'valid', value })
})

test('input: only addresses that can be connected to are accepted', t => {
  const isOk = (text: string): boolean => contracts.input.address.safeParse(text).success
  for (const text of ['10.0.0.1:80', '127.9.9.9:65535', '223.255.255.255:1']) t.true(isOk(text), text)
  for (const text of ['10.0.0.1', '10.0.0.1:', '10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:080', '10.0.0.1:1e3', '10.0.0.1:-1', `10.0.0.1:${'9'.repeat(40)}`, '999.1.1.1:80', '1.2.3:80', '01.2.3.4:80', '0.0.0.0:80', '224.0.0.1:80', 'localhost:80', '[::1]:80', '1.2.3.4:80\r\nX: y']) t.false(isOk(text), text)
})

test('input: an item of a list that does not match costs none of the others', t => {
  const list = [1, 'a', 2, null, -1]
  const { accepted, refused } = contracts.input.parseEach(contracts.input.count, list)
  t.deepEqual([accepted, refused], [[1, 2], 3])
  t.is(contracts.input.parseEach(contracts.input.count, { length: 3 }).refused, 1)
})
