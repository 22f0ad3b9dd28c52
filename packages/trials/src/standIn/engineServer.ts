/**
 * HTTP server of the engine stand-in: OpenAI-style streams with numbered events and resume, cancellation, KV cache transfer,
 * orders to load models, announcements, and injected faults.
 */
import * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as undici from 'undici'
import * as contracts from '@kingcupdeck/contracts'
import * as announcer from './announcer.js'
import * as answers from './answers.js'
import * as attemptStream from './attemptStream.js'
import * as engineModel from './engineModel.js'
import * as prefixCache from './prefixCache.js'

export interface EngineOptions {
  endpoint: string
  service: string
  zone: string
  token: string
  routers: readonly string[]
  port: number
  speed: engineModel.EngineSpeed
  checksFencing: boolean
  /** Size of the KV cache per token and its transfer rate, which determine the time of an import. */
  kvBytesPerToken: number
  kvBytesPerSecond: number
  /** Time to load one model. */
  modelLoadMs: number
  /** Models that are loaded at the start. */
  carries: contracts.ServedModel[]
  /** Called when a request crashes the engine; ends the process, or the server in a test. */
  crash (): void
}

/** A running engine stand-in. */
export interface Engine {
  readonly port: number
  readonly model: engineModel.EngineModel
  /** How often each request started here, by request id. */
  readonly runs: Map<string, number>
  /** Fencing numbers of the received orders, and whether each was obeyed. */
  readonly orders: Array<{ fence: number, isObeyed: boolean }>
  /** Delays between the leaving announcement and each request that started after it, ms. */
  readonly lateStarts: number[]
  /** Sets the fault of the next stream. */
  setFault (fault: attemptStream.StreamFault | undefined): void
  /** Refuses all further orders, so that the loaded models stay as they are. */
  refuseOrders (): void
  /** Announces that the engine is leaving. */
  leave (): Promise<void>
  /** Closes the server and all connections, as a killed process does. */
  kill (): void
}

/** A prompt that contains this word crashes the engine. */
export const POISON_WORD = 'poison-pill'
const STEP_INTERVAL_MS = 4
const FINISHED_ATTEMPT_RETENTION_MS = 5000
const POISON_AFTER_WORDS = 2

/** A chat completion; `offset` is the number of words that another engine produced already. */
type EngineRequest = contracts.ChatRequest & { kingcupdeck_resume?: { offset: number } }

interface RunningAttempt { job: engineModel.Job, stream: attemptStream.AttemptStream }

export async function startEngine (opts: EngineOptions): Promise<Engine> {
  const model = engineModel.createEngineModel(opts.speed)
  const boot = Date.now()
  const attempts = new Map<string, RunningAttempt>()
  const runs = new Map<string, number>()
  const orders: Engine['orders'] = []
  const lateStarts: number[] = []
  let carries = opts.carries
  let fence = 0
  let nextFault: attemptStream.StreamFault | undefined
  let isRefusingOrders = false
  let leavingSince: number | undefined
  let cacheSeq = 0
  let cacheEvents: contracts.Announcement['cacheEvents'] = []
  let loading: Promise<void> = Promise.resolve()

  const server = http.createServer((req, res) => {
    route(req, res).catch(err => {
      if (!res.headersSent) sendJson(res, 500, { error: { message: String(err) } })
    })
  })

  const route = async (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> => {
    const url = new URL(req.url ?? '/', 'http://engine')
    switch (`${req.method ?? 'GET'} ${url.pathname}`) {
      case 'GET /health': sendJson(res, 200, { ok: true, boot }); return
      case 'POST /v1/chat/completions': await handleCompletion(req, res); return
      case 'POST /cancel': {
        const { attempt } = await readJson(req) as { attempt: string }
        const running = attempts.get(attempt)
        if (running !== undefined) model.cancel(running.job)
        attempts.delete(attempt)
        sendJson(res, 200, { cancelled: running !== undefined })
        return
      }
      case 'GET /kv': sendJson(res, 200, { blocks: model.findChatBlocks(url.searchParams.get('chat') ?? '') }); return
      case 'POST /kv/import': await handleKvImport(req, res); return
      case 'POST /orders': await handleOrder(req, res); return
      case 'POST /fault':
        nextFault = (await readJson(req) as { fault?: attemptStream.StreamFault }).fault
        sendJson(res, 200, {})
        return
      case 'POST /leave':
        await leave()
        sendJson(res, 200, {})
        return
      case 'GET /stats':
        sendJson(res, 200, { endpoint: opts.endpoint, load: model.load(), ...model.totals, runs: [...runs], orders, lateStarts, carries })
        return
      default: sendJson(res, 404, { error: { message: 'no such path' } })
    }
  }

  const handleCompletion = async (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> => {
    const attempt = String(req.headers[contracts.HEADERS.attempt] ?? '')
    const lastEvent = req.headers['last-event-id']
    const body = await readJson(req) as EngineRequest
    const from = lastEvent === undefined ? 0 : Number(/\.(-?\d+)$/.exec(String(lastEvent))?.[1] ?? -1) + 1
    const existing = attempts.get(attempt)
    if (existing !== undefined) {
      existing.stream.attach(res, from)
      return
    }
    const carried = carries.find(item => item.model === body.model)
    if (carried === undefined) {
      sendJson(res, 503, { error: { message: `model ${body.model} is not loaded on this engine` } })
      return
    }
    const fault = nextFault
    nextFault = undefined
    if (fault === 'error') {
      sendJson(res, 500, { error: { message: 'out of memory' } })
      return
    }
    if (fault === 'endlessError') {
      res.writeHead(500, { 'content-type': 'application/json' })
      void attemptStream.sendEndlessly(res)
      return
    }
    startAttempt(attempt, req, body, fault).attach(res, Math.max(0, (body.kingcupdeck_resume?.offset ?? 0) - 1))
  }

  const startAttempt = (attempt: string, req: http.IncomingMessage, body: EngineRequest, fault: attemptStream.StreamFault | undefined): attemptStream.AttemptStream => {
    const requestId = String(req.headers[contracts.HEADERS.requestId] ?? attempt)
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1)
    if (leavingSince !== undefined) lateStarts.push(Date.now() - leavingSince)
    const messages = body.messages as answers.Message[]
    const words = body.max_completion_tokens ?? body.max_tokens ?? answers.DEFAULT_ANSWER_TOKENS
    const isPoison = messages.some(message => String(message.content).includes(POISON_WORD))
    const resumeOffset = Math.min(words, body.kingcupdeck_resume?.offset ?? 0)
    const chat = String(req.headers[contracts.HEADERS.chat] ?? '')
    const stream = attemptStream.createAttemptStream({ attempt, requestId, model: body.model, createdAt: boot, resumeOffset, fault })
    const onWord = (index: number, word: string | undefined): void => {
      if (isPoison && index >= POISON_AFTER_WORDS) opts.crash()
      else if (word !== undefined) stream.emitWord(index, word)
      else {
        recordCacheEvent(chat)
        stream.finish({ promptTokens: job.promptTokens, cachedTokens: job.cachedTokens, words })
        setTimeout(() => attempts.delete(attempt), FINISHED_ATTEMPT_RETENTION_MS).unref()
      }
    }
    const job: engineModel.Job = model.submit({ attempt, requestId, chat, rank: Number(req.headers[contracts.HEADERS.priority] ?? 5), messages, words, resumeOffset, onWord })
    attempts.set(attempt, { job, stream })
    return stream
  }

  const recordCacheEvent = (chat: string): void => {
    cacheSeq++
    // Drops every eighth event, since cache events of real engines have gaps.
    if (cacheSeq % 8 !== 0) cacheEvents = [...cacheEvents, { seq: cacheSeq, op: 'stored' as const, chat }].slice(-50)
  }

  const handleKvImport = async (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> => {
    const { chat, from } = await readJson(req) as { chat: string, from: string }
    const reply = await undici.request(`http://${from}/kv?chat=${encodeURIComponent(chat)}`, { signal: AbortSignal.timeout(1000) })
    const { blocks } = await reply.body.json() as { blocks: number[] }
    const missing = (blocks.length - model.cache.match(blocks)) * prefixCache.BLOCK_TOKENS
    const bytes = missing * opts.kvBytesPerToken
    if (missing > 0) await timers.setTimeout(bytes / opts.kvBytesPerSecond * 1000)
    const tokens = missing > 0 ? model.importBlocks(chat, blocks) : 0
    sendJson(res, 200, { tokens, bytes })
  }

  const handleOrder = async (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> => {
    const order = contracts.order.parse(await readJson(req))
    const isStale = order.fence < fence
    const isObeyed = !(isStale && opts.checksFencing) && !isRefusingOrders
    orders.push({ fence: order.fence, isObeyed })
    if (!isObeyed) {
      sendJson(res, 409, { error: { message: `order refused (fencing number ${order.fence}, newest ${fence})` } })
      return
    }
    fence = Math.max(fence, order.fence)
    // Loads one model at a time, as a rate-limited weight store does.
    loading = loading.then(async () => {
      const missing = order.carries.filter(item => !carries.some(other => other.model === item.model && other.adapter === item.adapter && other.version === item.version))
      for (const item of missing) {
        await timers.setTimeout(opts.modelLoadMs)
        carries = [...carries.filter(other => other.model !== item.model), item]
      }
      carries = carries.filter(item => order.carries.some(other => other.model === item.model))
    })
    sendJson(res, 202, {})
  }

  await new Promise<void>(resolve => { server.listen(opts.port, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo

  let lastStepAt = performance.now()
  const stepTimer = setInterval(() => {
    const now = performance.now()
    model.advance(Math.min(200, now - lastStepAt))
    lastStepAt = now
  }, STEP_INTERVAL_MS)
  const maintenanceTimer = setInterval(() => {
    for (const [attempt, running] of attempts) {
      running.stream.keepAlive()
      if (!running.stream.isAbandoned()) continue
      model.cancel(running.job)
      attempts.delete(attempt)
    }
  }, contracts.STREAM_KEEPALIVE_INTERVAL_MS)

  const announcements = announcer.startAnnouncer({
    routers: opts.routers,
    token: opts.token,
    toAnnouncement: seq => {
      const events = cacheEvents
      cacheEvents = []
      return { endpoint: opts.endpoint, service: opts.service, zone: opts.zone, host: '127.0.0.1', port, boot, seq, state: leavingSince === undefined ? 'ready' : 'leaving', slots: opts.speed.slots, weight: 1, load: model.load(), carries, checksFencing: opts.checksFencing, fence, cacheEvents: events }
    }
  })

  const leave = async (): Promise<void> => {
    leavingSince ??= Date.now()
    await announcements.announceNow()
  }

  return {
    port,
    model,
    runs,
    orders,
    lateStarts,
    setFault: fault => { nextFault = fault },
    refuseOrders: () => { isRefusingOrders = true },
    leave,
    kill () {
      announcements.stop()
      clearInterval(stepTimer)
      clearInterval(maintenanceTimer)
      server.close()
      server.closeAllConnections()
    }
  }
}

export function sendJson (res: http.ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(body))
}

/** Reads a request body as JSON; an empty body gives an empty object. */
export async function readJson (req: http.IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = []
  for await (const part of req) parts.push(part as Buffer)
  const text = Buffer.concat(parts).toString('utf8')
  return text === '' ? {} : JSON.parse(text)
}
