/** Endpoints that leave while requests are in flight. */
import * as ava from 'ava'
import * as timers from 'node:timers/promises'
import * as helper from './helpers/testEntry.js'

const test = ava.default

// Guards against closing a connection in use when its endpoint is removed from the pool.
test('a stream continues after its endpoint announced that it is gone', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    helper.beginStream(req, res)
    res.write('id: 1\ndata: a\n\n')
    setTimeout(() => { res.end('id: 2\ndata: b\n\n') }, 300)
  })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'stream' })], [endpoint])
  const response = entry.send()
  await timers.setTimeout(100)
  entry.announce(endpoint, { state: 'gone' })
  const { isComplete, body } = await response
  t.true(isComplete)
  t.is(body, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
  t.is((await entry.send()).status, 503, 'no new requests are sent to it')
  entry.close()
  endpoint.close()
})
