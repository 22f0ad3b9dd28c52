/** Measurement of stalls of the process. */
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as loopLags from '../src/instance/loopLag.js'
import * as loopbackHosts from './helpers/loopbackHost.js'

const test = ava.default
const STALL_MS = 300
/** Longer than the interval of the measurement. */
const MAX_INTERVAL_MS = 100
const SETTLING_MS = 200

/** Computes for a time. */
function stall (ms: number): void {
  const end = performance.now() + ms
  while (performance.now() < end);
}

// Guards against taking what happened during a stall for what happened after it.
test('what is handled after a stall may be as old as the stall', async t => {
  const lag = loopLags.startLoopLag(() => performance.now())
  const lags: number[] = []
  const server = net.createServer(socket => { socket.on('data', () => { lags.push(lag.lagMs()) }) })
  const host = loopbackHosts.nextHost()
  await new Promise<void>(resolve => { server.listen(0, host, resolve) })
  const socket = net.connect((server.address() as net.AddressInfo).port, host)
  t.teardown(() => {
    lag.stop()
    socket.destroy()
    server.close()
  })
  await new Promise(resolve => socket.once('connect', resolve))
  for (let i = 0; i < 3; i++) {
    await timers.setTimeout(SETTLING_MS)
    await timers.setImmediate()
    // Timers run in between, but nothing that has arrived is handled.
    setTimeout(stall, 1, STALL_MS)
    socket.write('x')
    stall(STALL_MS)
    while (lags.length === i) await timers.setTimeout(1)
    t.true(lags[i] >= 2 * STALL_MS - MAX_INTERVAL_MS, `${lags[i]} ms`)
  }
  // What is handled on time is not old.
  while (lag.lagMs() > 0) await timers.setTimeout(1)
  t.is(lags.length, 3)
})
