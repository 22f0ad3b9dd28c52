import * as http from 'node:http'
import test from 'ava'
import * as fc from 'fast-check'
import * as contracts from '../src/index.js'

const ANNOUNCEMENT = { endpoint: 'e1', service: 'assistant', zone: 'z', host: '127.0.0.1', port: 8080, boot: 1, seq: 1, state: 'ready', slots: 8, load: 0 }
const odd = fc.oneof(fc.string({ unit: 'binary', maxLength: 400 }), fc.double(), fc.anything(), fc.constantFrom('กลุ่ม', 'a\r\nb', 'localhost', '::1', '999.1.1.1', 2 ** 53, 1e308, -1, [], {}, 'a'.repeat(100_000)))

// An id that cannot stand in the header of the engine fails each response of that engine.
test('announcements: an accepted endpoint can be named in a header and connected to', t => {
  fc.assert(fc.property(fc.constantFrom(...Object.keys(ANNOUNCEMENT)), odd, (field, value) => {
    const parsed = contracts.announcement.safeParse({ ...ANNOUNCEMENT, [field]: value })
    if (!parsed.success) return
    const { data } = parsed
    http.validateHeaderValue(contracts.HEADERS.engine, data.endpoint)
    t.notThrows(() => new URL(`http://${data.host}:${data.port}`))
    t.true([data.boot, data.seq, data.slots, data.load].every(Number.isSafeInteger))
    t.true([data.service, data.zone, data.endpoint].every(text => text.length <= contracts.input.MAX_NAME_LENGTH))
  }), { seed: 5, numRuns: 2000 })
})

test('announcements: an id with control characters or letters outside ASCII is refused', t => {
  for (const endpoint of ['\0\n', 'a\r\nX: b', 'กลุ่ม', ' a', '']) t.false(contracts.announcement.safeParse({ ...ANNOUNCEMENT, endpoint }).success)
})
