/** Free loopback addresses. */
import * as net from 'node:net'

/** Returns an address that nothing listened on a moment ago. */
export async function findFreeAddress (): Promise<string> {
  const server = net.createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  await new Promise(resolve => { server.close(resolve) })
  return `127.0.0.1:${port}`
}
