/** Endpoints that leave while they have work of ours. */
import * as ava from 'ava'
import * as timers from 'node:timers/promises'
import * as helper from './helpers/testEntry.js'

const test = ava.default

// A clerk's answer stops in the middle while a service is replaced. The endpoint tells a control instance that it is gone
// and serves on what it has; the entry instance forgets the endpoint and, with it, closed the connection the answer came on.
test('a stream goes on after its endpoint said that it is gone', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    helper.beginStream(req, res)
    res.write('id: 1\ndata: a\n\n')
    setTimeout(() => { res.end('id: 2\ndata: b\n\n') }, 300)
  })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream' })], [endpoint])
  const answer = entry.ask()
  await timers.setTimeout(100)
  entry.announce(endpoint, { state: 'gone' })
  const { isWhole, body } = await answer
  t.true(isWhole)
  t.is(body, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
  t.is((await entry.ask()).status, 503, 'it gets no new work')
  entry.close()
  endpoint.close()
})
