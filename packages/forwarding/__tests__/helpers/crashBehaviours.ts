/** Endpoints that crash while they respond. */
import * as testEntries from './testEntry.js'

/** How an endpoint responds before it crashes. */
export type Crash = (req: Parameters<testEntries.Behaviour>[0], res: Parameters<testEntries.Behaviour>[1], crash: () => void) => void

export const beforeResponse: Crash = (req, res, crash) => { crash() }
export const afterHeaders: Crash = (req, res, crash) => {
  testEntries.beginStream(req, res)
  res.flushHeaders()
  setTimeout(crash, 20)
}
export const afterEvent: Crash = (req, res, crash) => {
  testEntries.beginStream(req, res)
  res.write('id: 1\ndata: event 1\n\n')
  setTimeout(crash, 20)
}

/** The end of the connection looks like that of the answer. */
export const insideUnframed: Crash = (req, res, crash) => {
  res.useChunkedEncodingByDefault = false
  res.shouldKeepAlive = false
  res.writeHead(200, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's' })
  res.write('part of an answer')
  setTimeout(crash, 20)
}
