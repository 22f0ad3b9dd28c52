/** HTTP server of a plain service stand-in: counts runs by idempotency key and by request, and echoes the request body. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as announcer from './announcer.js'
import * as engineServer from './engineServer.js'

export interface PlainOptions {
  endpoint: string
  service: string
  zone: string
  token: string
  routers: readonly string[]
  port: number
  /** Duration of a call. */
  callMs: number
}

/** A running plain service. */
export interface PlainServer {
  readonly port: number
  /** How often each idempotency key ran. */
  readonly keys: Map<string, number>
  /** How often each request ran, by request id. */
  readonly runs: Map<string, number>
  /** Drops the response of the next call, which still runs. */
  dropNextResponse (): void
  kill (): void
}

const SLOTS = 64

export async function startPlainServer (opts: PlainOptions): Promise<PlainServer> {
  const keys = new Map<string, number>()
  const runs = new Map<string, number>()
  const boot = Date.now()
  let activeCalls = 0
  let isNextResponseDropped = false

  const server = http.createServer((req, res) => { serve(req, res).catch(() => { res.destroy() }) })

  const serve = async (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> => {
    if (req.url === '/health') { engineServer.sendJson(res, 200, { ok: true, boot }); return }
    if (req.url === '/stats') { engineServer.sendJson(res, 200, { endpoint: opts.endpoint, keys: [...keys], runs: [...runs] }); return }
    if (req.url === '/silent') {
      isNextResponseDropped = true
      engineServer.sendJson(res, 200, {})
      return
    }
    await run(req, res)
  }

  const run = async (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> => {
    const body = await engineServer.readJson(req)
    const key = req.headers[contracts.HEADERS.idempotencyKey]
    const requestId = String(req.headers[contracts.HEADERS.requestId] ?? '')
    if (typeof key === 'string') keys.set(key, (keys.get(key) ?? 0) + 1)
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1)
    const isResponseDropped = isNextResponseDropped
    isNextResponseDropped = false
    activeCalls++
    await timers.setTimeout(opts.callMs)
    activeCalls--
    if (isResponseDropped) return
    res.setHeader(contracts.HEADERS.attempt, String(req.headers[contracts.HEADERS.attempt] ?? ''))
    engineServer.sendJson(res, 200, { call: (req.url ?? '').slice(1), echo: body, receipt: contracts.hash32(JSON.stringify(body)) })
  }

  await new Promise<void>(resolve => { server.listen(opts.port, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  const announcements = announcer.startAnnouncer({
    routers: opts.routers,
    token: opts.token,
    toAnnouncement: seq => ({ endpoint: opts.endpoint, service: opts.service, zone: opts.zone, host: '127.0.0.1', port, boot, seq, state: 'ready', slots: SLOTS, weight: 1, load: activeCalls, carries: [], checksFencing: false, fence: 0, cacheEvents: [] })
  })

  return {
    port,
    keys,
    runs,
    dropNextResponse: () => { isNextResponseDropped = true },
    kill () {
      announcements.stop()
      server.close()
      server.closeAllConnections()
    }
  }
}
