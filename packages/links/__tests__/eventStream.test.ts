/** Splitting of event streams. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as links from '../src/index.js'

const test = ava.default

const lineEnd = fc.constantFrom('\n', '\r\n')
const comment = fc.tuple(fc.constantFrom(':', ': ping', ':id: 9'), lineEnd).map(([text, end]) => ({ id: undefined, isComment: true, text: text + end + end }))
const event = fc.tuple(fc.nat(99), fc.boolean(), lineEnd).map(([id, hasComment, end]) => ({ id: String(id), isComment: false, text: `${hasComment ? `: note${end}` : ''}id: ${id}${end}data: x${end}${end}` }))

test('events and comments are split alike however they are cut into chunks', t => {
  fc.assert(fc.property(fc.array(fc.oneof(comment, event), { maxLength: 12 }), fc.array(fc.nat(20), { maxLength: 40 }), (items, cuts) => {
    const input = Buffer.from(items.map(item => item.text).join(''))
    const splitter = links.createEventSplitter()
    const found: links.StreamEvent[] = []
    let at = 0
    for (const size of [...cuts, input.length]) {
      found.push(...splitter.push(input.subarray(at, at + size)))
      at += size
    }
    t.is(Buffer.concat(found.map(item => item.bytes)).toString(), input.toString())
    t.is(splitter.pendingBytes(), 0)
    t.deepEqual(found.filter(item => !item.isComment).map(item => item.id), items.filter(item => !item.isComment).map(item => item.id))
    t.true(found.filter(item => item.isComment).every(item => item.id === undefined))
  }), { seed: 5, numRuns: 500 })
})

// Each comment was an event of its own; a stream of nothing else kept the event loop from all other requests.
test('the comments of a chunk are one event', t => {
  const splitter = links.createEventSplitter()
  const events = splitter.push(Buffer.from(`id: 1\ndata: a\n\n${':\n\n'.repeat(20_000)}id: 2\ndata: b\n\n`))
  t.deepEqual(events.map(item => [item.id, item.isComment, item.bytes.length]), [['1', false, 15], [undefined, true, 60_000], ['2', false, 15]])
})
