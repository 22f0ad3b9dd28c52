/** Reads the requests of client connections. */
import type * as http from 'node:http'

/**
 * Waits until the responses to earlier requests of the connection were sent: a response has no connection before, so nothing tells
 * whether its client is still there.
 * @returns false if the connection closed meanwhile
 */
export async function waitForTurn (req: http.IncomingMessage, res: http.ServerResponse): Promise<boolean> {
  return await new Promise(resolve => {
    res.once('socket', () => { resolve(true) })
    req.once('close', () => { resolve(false) })
  })
}
