/** Connections that close before the response is complete, and the causes that the metric and the log tell. */
import * as ava from 'ava'
import * as helper from './helpers/testEntry.js'
import * as rawClients from './helpers/rawClient.js'

const test = ava.default

async function causesOf (entry: helper.TestEntry): Promise<{ [cause: string]: number }> {
  const { values } = await entry.metrics.broken.get()
  return Object.fromEntries(values.map(item => [String(item.labels.cause), item.value]))
}

const toRequest = (id: string, path = '/a/x'): string => `GET ${path} HTTP/1.1\r\nHost: test.example\r\nX-Attempt: ${id}\r\n\r\n`
const breakAfterEvent: helper.Behaviour = (req, res) => {
  helper.beginStream(req, res)
  res.write('id: 1\ndata: a\n\n', () => { setTimeout(() => res.socket?.destroy(), 50) })
}
const stallAfterEvent: helper.Behaviour = (req, res) => {
  helper.beginStream(req, res)
  res.write('id: 1\ndata: a\n\n')
}

let count = 0
for (const [cause, behave, act] of [
  ['endpoint', breakAfterEvent, async entry => { await rawClients.sendRaw(entry.address, toRequest('r1')) }],
  ['client', stallAfterEvent, async entry => { await rawClients.sendRaw(entry.address, toRequest('r1'), { timeoutMs: 300 }) }],
  ['deadline', stallAfterEvent, async entry => { await rawClients.sendRaw(entry.address, toRequest('r1')) }],
  // Bytes that are no request do not end the response before them.
  ['deadline', stallAfterEvent, async entry => { await rawClients.sendRaw(entry.address, toRequest('r1'), { later: '\u0001\r\n\r\n' }) }],
  ['stopping', stallAfterEvent, async entry => {
    setTimeout(() => { entry.server.destroy() }, 300)
    await rawClients.sendRaw(entry.address, toRequest('r1'))
  }]
] satisfies Array<[string, helper.Behaviour, (entry: helper.TestEntry) => Promise<void>]>) {
  // Guards against connections that close without an answer for a cause that neither a metric nor a log line tells.
  test(`a connection that closes before the response is complete is counted by its cause: ${cause}, ${String(++count)}`, async t => {
    const endpoint = await helper.startEndpoint('e1', behave)
    const entry = await helper.startEntry([helper.toRoute({ kind: 'stream', timeoutMs: 800 })], [endpoint])
    await act(entry)
    await new Promise(resolve => { setTimeout(resolve, 200) })
    t.deepEqual(await causesOf(entry), { [cause]: 1 })
    const lines = entry.lines.filter(line => line.event === 'responseCut' || line.event === 'requestEnded')
    t.true(lines.length > 0 && lines.every(line => line.request === 'r1'))
    entry.close()
    endpoint.close()
  })
}
