/** A buffer that grows returns the bytes that were appended, whatever was removed between. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as links from '../src/index.js'

const test = ava.default

test('what is appended and not removed is returned', t => {
  fc.assert(fc.property(fc.array(fc.oneof(fc.uint8Array({ maxLength: 50 }), fc.nat(80))), steps => {
    const buffer = links.createGrowingBuffer()
    let expected = Buffer.alloc(0)
    const chunks: Array<[Buffer, string]> = []
    for (const step of steps) {
      if (typeof step === 'number') {
        buffer.skip(step)
        expected = expected.subarray(step)
      } else {
        const chunk = Buffer.from(step)
        chunks.push([chunk, chunk.toString('hex')])
        buffer.append(chunk)
        expected = Buffer.concat([expected, chunk])
      }
      t.true(buffer.view().equals(expected))
      t.is(buffer.size(), expected.length)
    }
    t.true(chunks.every(([chunk, text]) => chunk.toString('hex') === text), 'chunks are not written to')
  }), { seed: 76 })
})

test('small chunks take little more than their bytes', t => {
  const buffer = links.createGrowingBuffer(10_000)
  for (let i = 0; i < 10_000; i++) buffer.append(Buffer.from('x'))
  t.is(buffer.size(), 10_000)
  t.true(buffer.capacity() <= 10_000)
})
