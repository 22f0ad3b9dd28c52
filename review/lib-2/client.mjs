/** A client that sends one request and records what comes back, byte by byte. */
import * as http from 'node:http'
import * as fleets from './fleet.mjs'

/**
 * Sends a request to an entry instance. The client leaves after `leaveMs`, or after a gap of `gapMs` between two events of a stream.
 * @param {{ entry: object, id: string, method: string, path: string, headers: object, body: string, gapMs?: number, leaveMs?: number }} opts
 * @returns {Promise<{ id: string, status: number | undefined, body: string, isComplete: boolean, sentAt: number, endedAt: number, endedBy: string, error?: string }>}
 */
export async function send (opts) {
  const { entry, id } = opts
  const sentAt = performance.now()
  return await new Promise(resolve => {
    let status
    let body = ''
    let endedBy = 'system'
    let gapTimer
    const leave = why => {
      endedBy = why
      req.destroy()
    }
    const settle = (isComplete, error) => {
      clearTimeout(gapTimer)
      clearTimeout(leaveTimer)
      resolve({ id, status, body, isComplete, sentAt, endedAt: performance.now(), endedBy, error })
    }
    const restartGap = () => {
      clearTimeout(gapTimer)
      if (opts.gapMs !== undefined) gapTimer = setTimeout(() => { leave('client, after a gap') }, opts.gapMs)
    }
    const leaveTimer = opts.leaveMs === undefined ? undefined : setTimeout(() => { leave('client') }, opts.leaveMs)
    const req = http.request({ host: entry.ip, port: fleets.PORTS.front, agent: false, method: opts.method, path: opts.path, headers: { ...opts.headers, 'x-kingcupdeck-attempt-id': id, 'content-length': Buffer.byteLength(opts.body) } }, res => {
      status = res.statusCode
      res.on('data', chunk => {
        body += String(chunk)
        restartGap()
      })
      res.on('error', () => {})
      res.on('close', () => { settle(res.complete) })
    })
    req.on('error', err => { settle(false, err.message) })
    restartGap()
    req.end(opts.body)
  })
}
