/** Requests whose handling hangs: each ends shortly after its deadline. */
import * as ava from 'ava'
import * as helper from './helpers/testEntry.js'
import * as rawClients from './helpers/rawClient.js'

const test = ava.default
const never = async (): Promise<never> => await new Promise(() => {})
const HEAD = 'POST /a/x HTTP/1.1\r\nHost: test.example\r\nX-Attempt: r1\r\nX-Deadline-Ms: 600\r\nContent-Length: 2\r\n\r\n'
const disconnect: helper.Behaviour = req => { req.socket.destroy() }

for (const [step, bytes, inject, status] of [
  ['admission', `${HEAD.replace('/a/x', '/none/x')}ok`, entry => { entry.ctx.confirmDocument = never }, 503],
  ['body', `${HEAD}o`, () => {}, 503],
  ['not sent', `${HEAD}ok`, entry => {
    entry.ctx.quarantine.judge = () => ({ kind: 'trial', keys: ['k'] })
    entry.ctx.trialPermits.maySend = never
  }, 503],
  ['sent', `${HEAD}ok`, entry => {
    entry.ctx.quarantine.isSuspected = () => true
    entry.ctx.paths.check = never
  }, 504]
] satisfies Array<[string, string, (entry: helper.TestEntry) => void, number]>) {
  // Guards against requests that hang for ever, as after an exception in a callback.
  test(`a request that hangs is answered after its deadline: ${step}`, async t => {
    const endpoint = await helper.startEndpoint('e1', (...args) => {
      endpoint.stopListening()
      disconnect(...args)
    })
    const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
    inject(entry)
    const { text } = await rawClients.sendRaw(entry.address, bytes.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'), { timeoutMs: 4000 })
    t.regex(text, new RegExp(`^HTTP/1\\.1 ${status} `))
    t.is(endpoint.requests.length, status === 504 ? 1 : 0)
    t.deepEqual(entry.lines.filter(line => line.event === 'requestOverdue').map(line => line.step), [step])
    entry.close()
    endpoint.close()
  })
}
