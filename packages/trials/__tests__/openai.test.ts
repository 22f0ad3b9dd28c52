/** Compatibility with the official OpenAI client, configured with a base URL and a key only. */
import * as ava from 'ava'
import * as openai from 'openai'
import * as answers from '../src/standIn/answers.js'
import * as smallFleet from './helpers/smallFleet.js'

const test = ava.default
let fleet: smallFleet.SmallFleet
const closing: Array<() => Promise<void>> = []

test.before(async () => {
  fleet = await smallFleet.startSmallFleet({ teardown: run => { closing.push(run as () => Promise<void>) } })
})
test.after.always(async () => { for (const run of closing) await run() })

const createClient = (apiKey = 'demo-clerks'): openai.OpenAI => new openai.OpenAI({ baseURL: `${fleet.routers[0].url}/v1`, apiKey, maxRetries: 0 })
const ask = (content: string): Array<{ role: 'user', content: string }> => [{ role: 'user', content }]

test('returns a complete answer without streaming', async t => {
  const messages = ask('how much gold leaf is left')
  const answer = await createClient().chat.completions.create({ model: 'frame-assistant', messages, max_tokens: 12 })
  t.is(answer.choices[0].message.content, answers.toAnswerText(messages, 12))
  t.is(answer.choices[0].finish_reason, 'stop')
  t.is(answer.usage?.completion_tokens, 12)
  t.is(answer.object, 'chat.completion')
})

test('streams an answer', async t => {
  const messages = ask('and how much gesso')
  const stream = await createClient().chat.completions.create({ model: 'frame-assistant', messages, max_tokens: 12, stream: true })
  let text = ''
  let usages = 0
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? ''
    if (chunk.usage != null) usages++
  }
  t.is(text, answers.toAnswerText(messages, 12))
  t.is(usages, 0)
})

test('a stream contains token counts if requested', async t => {
  const stream = await createClient().chat.completions.create({ model: 'frame-assistant', messages: ask('counts'), max_tokens: 5, stream: true, stream_options: { include_usage: true } })
  let tokens = 0
  for await (const chunk of stream) tokens = chunk.usage?.completion_tokens ?? tokens
  t.is(tokens, 5)
})

test('errors map to the error classes of the client', async t => {
  const wrongKey = await t.throwsAsync(createClient('nobody').models.list(), { instanceOf: openai.AuthenticationError })
  t.is(wrongKey?.code, 'unauthenticated')
  const wrongModel = await t.throwsAsync(createClient().chat.completions.create({ model: 'nothing', messages: ask('x') }), { instanceOf: openai.NotFoundError })
  t.is(wrongModel?.code, 'unknown_model')
  const wrongBody = await t.throwsAsync(createClient().chat.completions.create({ model: 'frame-assistant', messages: [] }), { instanceOf: openai.BadRequestError })
  t.is(wrongBody?.code, 'bad_request')
})

test('lists the models of the client account', async t => {
  const list = await createClient().models.list()
  t.deepEqual(list.data.map(model => model.id).sort(), ['archive-tagger', 'frame-assistant'])
})

// Guards against engines that keep computing an answer after its client disconnected.
test('an aborted request is cancelled at the engine', async t => {
  const stream = await createClient().chat.completions.create({ model: 'frame-assistant', messages: ask('a long story'), max_tokens: 3000, stream: true })
  const first = await stream[Symbol.asyncIterator]().next()
  t.false(first.done)
  stream.controller.abort()
  await smallFleet.waitUntil(() => fleet.engines.every(engine => engine.model.load() === 0), 8000)
  t.pass()
})
