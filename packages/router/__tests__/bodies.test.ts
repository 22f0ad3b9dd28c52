/** Limits of the JSON bodies of clients. */
import * as ava from 'ava'
import * as http from '../src/http.js'

const test = ava.default

// Guards against a 400 for a prompt that is sent as a list of token ids.
test('a body of 4 MB with a list of small numbers is parsed', t => {
  const prompt = new Array(1_900_000).fill(7)
  const body = http.parseJson(Buffer.from(JSON.stringify({ model: 'm', prompt })))
  t.is((body as { prompt: number[] }).prompt.length, prompt.length)
})

test('a body with more values than a proper one can hold is refused', t => {
  t.throws(() => http.parseJson(Buffer.from(`[${'[],'.repeat(2_500_000)}1]`)), { message: /values/ })
})
