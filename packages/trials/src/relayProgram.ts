/** Program of a relay in a process of its own: `node relayProgram.js HOST PORT`. It reports its address, and then takes orders. */
import * as relays from './relay.js'
import type * as relayProcesses from './relayProcess.js'

const [host, port] = process.argv.slice(2)
const relay = await relays.startRelay(host, Number(port))
process.on('message', (order: relayProcesses.RelayOrder) => {
  switch (order.kind) {
    case 'mode': relay.setMode(order.mode); break
    case 'blackhole': relay.blackholeOpenConnections(); break
  }
})
// The parent may have ended without closing the relay.
process.on('disconnect', () => { process.exit(0) })
process.send?.(relay.address)
