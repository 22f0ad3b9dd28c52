/** Non-idempotent calls run at most once, however often they are repeated. */
import * as ava from 'ava'
import * as uuid from 'uuid'
import * as smallFleet from './helpers/smallFleet.js'

const test = ava.default
let fleet: smallFleet.SmallFleet
const closing: Array<() => Promise<void>> = []

test.before(async () => {
  fleet = await smallFleet.startSmallFleet({ teardown: run => { closing.push(run as () => Promise<void>) } }, { engines: 0, plains: 2, controls: 3 })
})
test.after.always(async () => { for (const run of closing) await run() })

const charge = async (router: number, body: unknown, key?: string): Promise<smallFleet.Reply> => await smallFleet.post(`${fleet.routers[router].url}/v1/services/bookings/charge-deposit`, 'deposits', body, key === undefined ? {} : { 'idempotency-key': key })
const runsOf = (key: string): number => fleet.plains.reduce((sum, plain) => sum + (plain.keys.get(key) ?? 0), 0)

test.serial('an idempotency key is required and must contain its creation time', async t => {
  const none = await charge(0, { amount: 1 })
  t.is(smallFleet.toError(none).code, 'key_required')
  t.is(smallFleet.toError(none).ran, 'no')
  for (const key of ['1', uuid.v4()]) t.is(smallFleet.toError(await charge(0, { amount: 1 }, key)).code, 'key_invalid')
})

test.serial('a repeat at another instance gets the stored answer', async t => {
  const key = uuid.v7()
  const first = await charge(0, { amount: 100 }, key)
  t.is(first.status, 200)
  t.deepEqual((await charge(1, { amount: 100 }, key)).body, first.body)
  t.is(runsOf(key), 1)
})

test.serial('the same key with another body is refused', async t => {
  const key = uuid.v7()
  await charge(0, { amount: 100 }, key)
  const other = await charge(1, { amount: 200 }, key)
  t.is(smallFleet.toError(other).code, 'key_reused')
  t.is(smallFleet.toError(other).ran, 'no')
  t.is(runsOf(key), 1)
})

test.serial('concurrent copies of a call run once and get the same answer', async t => {
  const key = uuid.v7()
  const replies = await Promise.all([0, 1, 0, 1, 0, 1].map(async router => await charge(router, { amount: 7 }, key)))
  for (const reply of replies) t.is(reply.status, 200, JSON.stringify(reply.body))
  t.is(new Set(replies.map(reply => JSON.stringify(reply.body))).size, 1)
  t.is(runsOf(key), 1)
})

test.serial('a key older than the retention period is refused as not run', async t => {
  const key = uuid.v7({ msecs: Date.now() - 25 * 3600 * 1000 })
  const reply = await charge(0, { amount: 7 }, key)
  t.is(smallFleet.toError(reply).code, 'key_expired')
  t.is(smallFleet.toError(reply).ran, 'no')
  t.is(runsOf(key), 0)
})

// Guards against a second charge: the call may have run although its response was lost.
test.serial('a call without a response has an unknown outcome and is not repeated', async t => {
  for (const plain of fleet.plains) plain.dropNextResponse()
  const key = uuid.v7()
  const first = await charge(0, { amount: 9 }, key)
  t.is(smallFleet.toError(first).code, 'endpoint_lost')
  t.is(smallFleet.toError(first).ran, 'unknown')
  t.is(first.headers.get('x-should-retry'), 'false')
  const again = await charge(1, { amount: 9 }, key)
  t.is(smallFleet.toError(again).code, 'outcome_unknown')
  t.is(runsOf(key), 1)
})

test.serial('an idempotent call is retried when its response is lost', async t => {
  for (const plain of fleet.plains) plain.dropNextResponse()
  const reply = await smallFleet.post(`${fleet.routers[0].url}/v1/services/bookings/repair-status`, 'clerks', { frame: 12 })
  t.is(reply.status, 200, JSON.stringify(reply.body))
})
