/** Streams that break in several ways still give the caller the complete and correct answer. */
import * as ava from 'ava'
import * as answers from '../src/standIn/answers.js'
import * as engineServer from '../src/standIn/engineServer.js'
import * as smallFleet from './helpers/smallFleet.js'

const test = ava.default
let fleet: smallFleet.SmallFleet
const closing: Array<() => Promise<void>> = []

test.before(async () => {
  fleet = await smallFleet.startSmallFleet({ teardown: run => { closing.push(run as () => Promise<void>) } }, { engines: 3 })
})
test.after.always(async () => { for (const run of closing) await run() })

async function askStreaming (content: string, words: number): Promise<string> {
  const res = await fetch(`${fleet.routers[0].url}/v1/chat/completions`, { method: 'POST', headers: { authorization: 'Bearer demo-clerks' }, body: JSON.stringify({ model: 'frame-assistant', messages: [{ role: 'user', content }], max_tokens: words, stream: true }) })
  const text = await res.text()
  const events = text.split('\n\n').filter(block => block !== '').map(block => block.replace('data: ', ''))
  if (events.at(-1) !== '[DONE]') return `no end mark: ${text.slice(-300)}`
  return events.slice(0, -1).map(data => (JSON.parse(data) as { choices: Array<{ delta: { content?: string } }> }).choices[0].delta.content ?? '').join('')
}

// Guards against truncated answers (cut, stall, gap), repeated words (duplicate), words of another answer (cross), and reading without bound.
for (const fault of ['cut', 'stall', 'gap', 'cross', 'duplicate', 'error', 'endless', 'endlessError'] as const) {
  test.serial(`a stream with the fault "${fault}" gives the complete answer`, async t => {
    for (const engine of fleet.engines) engine.setFault(fault)
    const content = `tell me of the frame ${fault}`
    t.is(await askStreaming(content, 30), answers.toAnswerText([{ role: 'user', content }], 30))
    for (const engine of fleet.engines) engine.setFault(undefined)
  })
}

// Another engine resumes after the words that were sent already.
test.serial('a stream resumes at another engine when its engine crashes', async t => {
  const content = 'a long report on the condition of the frame'
  const answer = askStreaming(content, 120)
  await smallFleet.waitUntil(() => fleet.engines.some(engine => engine.model.load() > 0))
  await smallFleet.pause(300)
  const busy = fleet.engines.find(engine => engine.model.load() > 0) as engineServer.Engine
  busy.kill()
  t.is(await answer, answers.toAnswerText([{ role: 'user', content }], 120))
})
