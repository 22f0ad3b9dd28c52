/**
 * Loopback hosts of this process. Connections of other processes come from another host, and no other process can take a port that is
 * closed here.
 */

const SUBNET = `127.${64 + (process.pid >> 8) % 64}.${process.pid % 256}`
const FIRST = 2
const HOSTS = 250
let count = 0

/** Host that is shared by all instances of this process. */
export const SHARED_HOST = `${SUBNET}.1`

/** Returns a host for one server: what is started later in this process cannot take its port either. */
export function nextHost (): string {
  return `${SUBNET}.${FIRST + count++ % HOSTS}`
}
