/** Quarantine of a request that crashes every engine it runs on. */
import * as ava from 'ava'
import * as answers from '../src/standIn/answers.js'
import * as engineServer from '../src/standIn/engineServer.js'
import * as smallFleet from './helpers/smallFleet.js'

const test = ava.default

// Guards against the loss of all engines in turn. The request crashes one engine, is retried in isolation, crashes a second
// one, and is refused from then on.
test('a crashing request takes down at most two engines, and concurrent requests are answered', async t => {
  const fleet = await smallFleet.startSmallFleet(t, { engines: 5 })
  const url = `${fleet.routers[0].url}/v1/chat/completions`
  const neighbours = Array.from({ length: 8 }, (_, i) => ({ model: 'frame-assistant', max_tokens: 60, messages: [{ role: 'user', content: `neighbour ${i}` }] }))
  const answered = Promise.all(neighbours.map(async body => await smallFleet.post(url, 'clerks', body)))
  await smallFleet.waitUntil(() => fleet.engines.reduce((sum, engine) => sum + engine.runs.size, 0) === neighbours.length)
  const poison = { model: 'frame-assistant', max_tokens: 20, messages: [{ role: 'user', content: engineServer.POISON_WORD }] }
  const first = await smallFleet.post(url, 'clerks', poison)
  t.is(smallFleet.toError(first).code, 'request_quarantined')
  for (const router of fleet.routers) {
    const again = await smallFleet.post(`${router.url}/v1/chat/completions`, 'clerks', poison)
    t.is(smallFleet.toError(again).code, 'request_quarantined')
    t.is(again.headers.get('x-should-retry'), 'false')
  }
  const replies = await answered
  for (const [i, reply] of replies.entries()) {
    t.is((reply.body as { choices?: Array<{ message: { content: string } }> }).choices?.[0].message.content, answers.toAnswerText(neighbours[i].messages, 60), JSON.stringify(reply.body))
  }
  const alive = await Promise.all(fleet.engines.map(async engine => await fetch(`http://127.0.0.1:${engine.port}/health`).then(() => true, () => false)))
  t.is(alive.filter(isAlive => !isAlive).length, 2)
})
