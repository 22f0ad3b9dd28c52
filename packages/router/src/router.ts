/** A router instance: serves callers as an entry instance and owns its share of the endpoints. */
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'
import * as telemetry from '@kingcupdeck/telemetry'
import * as attempts from './attempts.js'
import * as auths from './auth.js'
import type * as context from './entryContext.js'
import * as helpers from './http.js'
import * as ids from './ids.js'
import * as ledgerClient from './ledgerClient.js'
import * as owners from './owner.js'
import * as ownerTasks from './ownerTasks.js'
import * as placement from './placement.js'
import * as servers from './server.js'
import * as traces from './traces.js'

/** Options of {@link createRouter}. */
export interface RouterOptions {
  id: string
  zone: string
  /** Id of this process start. */
  boot: string
  /** IP address and port for callers; port 0 selects a free one. */
  listen: string
  /** IP address and port for peers; port 0 selects a free one. */
  peerListen: string
  /** Base URL advertised to callers; derived from `listen` by default. */
  advertiseUrl?: string
  /** Address advertised to peers; derived from `peerListen` by default. */
  advertisePeer?: string
  controls: readonly membership.ControlAddress[]
  secret: string
  ledgerGroups: number
  maxBodyBytes: number
  policy: routing.PlacementPolicy
  isKvImportEnabled: boolean
  log: telemetry.Log
  /** Whether a violated invariant ends the process. */
  isFatal: boolean
  /** Random source with values in [0, 1); `Math.random` by default. */
  random?: () => number
}

/** A running router instance. */
export interface Router {
  readonly url: string
  readonly peerAddress: string
  readonly metrics: telemetry.RouterMetrics
  readonly member: membership.Membership
  invariants (): Record<telemetry.Invariant, telemetry.Tally>
  /** Drains the instance and stops it without interrupting requests; see docs/OPERATIONS.md. */
  shutdown (): Promise<void>
  /** Stops immediately. */
  stop (): Promise<void>
}

const DATA_MESSAGES = new Set(['dispatch', 'accepted', 'chunk', 'answer', 'done', 'declined', 'lost', 'cancel'])
const LEDGER_MESSAGES = new Set(['ledgerBegin', 'ledgerFinish', 'ledgerAbort', 'ledger'])
/** Message tags allowed as metric label values; bounds the cardinality whatever peers send. */
const MESSAGES = new Set([...DATA_MESSAGES, ...LEDGER_MESSAGES, 'ping', 'renew', 'lease', 'loads', 'pools', 'view', 'viewSeen', 'document', 'gossip', 'suspects', 'placed', 'handover'])
const PEER_CALL_TIMEOUT_MS = 1500
const SUSPECT_RESEND_MS = 10_000
const DRAIN_POLL_MS = 100

/**
 * Starts a router instance. It serves requests once it has a lease and a configuration document.
 * @example
 * const router = await createRouter({ id: 'r1', zone: 'a', listen: '127.0.0.1:8080', ... })
 * process.on('SIGTERM', () => router.shutdown())
 */
export async function createRouter (opts: RouterOptions): Promise<Router> {
  const { log } = opts
  const random = opts.random ?? Math.random
  const metrics = telemetry.createRouterMetrics()
  const invariants = telemetry.createInvariants({ log, registry: metrics.registry, exportTallies: telemetry.exportTallies, isFatal: opts.isFatal })
  const table = membership.createEndpointTable()
  const suspects = routing.createSuspects()
  const limits = routing.createAccountLimits()
  const budget = routing.createRetryBudget()
  const requestTraces = traces.createTraces()
  const count = createByteCounter(metrics)

  const linkSettings: links.LinkSettings = {
    identity: { role: 'router', id: opts.id },
    secret: opts.secret,
    log,
    countBytes: count,
    handlers: { onEvent: (body, link) => { onEvent(body, link) }, onCall: async body => await onCall(body) }
  }
  const peers = links.createPeerLinks(linkSettings)
  const peerServer = await links.listen(opts.peerListen, linkSettings, link => { peers.add(link) }, { timeoutMs: links.COMMAND_TIMEOUT_MS })
  const peerAddress = opts.advertisePeer ?? `${links.parseAddress(opts.peerListen).host}:${peerServer.port}`

  const callPeer = async (peer: contracts.Instance, msg: contracts.PeerCall): Promise<contracts.PeerReply> => {
    const link = await peers.get(peer.id, peer.peer)
    return contracts.peerReply.parse(await link.call(msg, PEER_CALL_TIMEOUT_MS))
  }
  const sendTo = (peer: contracts.Instance, event: contracts.PeerEvent): void => {
    peers.get(peer.id, peer.peer).then(link => { link.send(event) }, () => {})
  }

  const others = (): contracts.Instance[] => member.views.instances().filter(item => item.id !== opts.id)
  const broadcastSuspects = (fingerprints: readonly string[]): void => {
    const list = suspects.toReports(fingerprints)
    for (const peer of others()) sendTo(peer, { t: 'suspects', list })
  }
  /** Sends all suspects to a random peer, which covers peers that joined later or missed a broadcast. */
  const resendSuspects = (): void => {
    const list = suspects.toReports()
    const peers = others()
    if (list.length > 0 && peers.length > 0) sendTo(peers[Math.floor(random() * peers.length)], { t: 'suspects', list })
  }

  // The HTTP port must be known before the instance joins, because its URL is part of the view. No request can arrive
  // before `handle` below is assigned, since nothing is awaited in between.
  const server = await servers.startServer(opts.listen, log, async (req, res, held) => { await handle(req, res, held) })
  const url = opts.advertiseUrl ?? `http://${links.parseAddress(opts.listen).host}:${server.port}`

  const member: membership.Membership = membership.createMembership({
    instance: { id: opts.id, boot: opts.boot, zone: opts.zone, peer: peerAddress, url },
    controls: opts.controls,
    secret: opts.secret,
    log,
    invariants,
    count,
    loads: () => owner.loads(),
    collectDemand: limits.collectDemand
  })
  const gossip = membership.createGossip({ table, peers: others, call: callPeer, random })
  const owner: owners.Owner = owners.createOwner({ member, table, gossip, suspects, log, metrics, invariants, policy: opts.policy, isKvImportEnabled: opts.isKvImportEnabled, broadcastSuspects })
  const openAttempts = attempts.createAttempts({ selfId: opts.id, peers, dispatchLocally: owner.dispatch, cancelLocally: owner.cancel, recordChatLocationLocally: owner.recordChatLocation })
  const otherAddresses = (): string[] => others().filter(item => !item.leaving).map(item => item.url)
  const placer = placement.createPlacer({ member, table, attempts: openAttempts, suspects, policy: opts.policy, random, otherAddresses })

  const ctx: context.EntryContext = {
    member,
    placer,
    attempts: openAttempts,
    ledger: ledgerClient.createLedgerClient(member.control, opts.ledgerGroups, log),
    suspects,
    broadcastSuspects,
    budget,
    traces: requestTraces,
    metrics,
    invariants,
    maxBodyBytes: opts.maxBodyBytes,
    requireDocument: () => {
      const doc = member.document()
      if (doc === null) throw new contracts.FailureError({ kind: 'not_serving', detail: 'no configuration document received yet', addresses: otherAddresses(), retryAfterMs: 1000 })
      return doc
    },
    enforceRateLimit: account => {
      const waitMs = limits.take(account.id, account.spec, member.accountShare(account.id))
      if (waitMs > 0) throw new contracts.FailureError({ kind: 'account_limit', retryAfterMs: waitMs })
    },
    toUrgency: (exchange, account, priority) => toUrgency(ctx.requireDocument(), exchange, account, priority),
    watchCaller
  }
  const handle = servers.createHandler({ ctx, auth: auths.createAuth(() => member.document()), log, table, owner, explain: async requestId => await explain(requestId) })

  const stopTasks = ownerTasks.startOwnerTasks({ owner, member, table, gossip, log, invariants, sendTo })
  const stopSuspects = links.startPeriodic(SUSPECT_RESEND_MS, resendSuspects, () => {})

  const onEvent = (body: unknown, link: links.Link): void => {
    const msg = parseEvent(body)
    if (msg === undefined) return
    switch (msg.t) {
      case 'dispatch': owner.dispatch(msg, { send: event => { link.send(event) }, isOpen: link.isOpen, drained: link.drained }); break
      case 'placed': owner.recordChatLocation(msg.chat, msg.home, msg.endpoint); break
      case 'handover': owner.receiveAnnouncement(msg.announcement, msg.inFlight); break
      case 'suspects': suspects.merge(msg.list); break
      default: openAttempts.deliver(msg)
    }
  }

  const onCall = async (body: unknown): Promise<contracts.PeerReply> => {
    const msg = contracts.peerCall.parse(body)
    switch (msg.t) {
      case 'cancel': return { t: 'cancel', reached: owner.cancel(msg.attempt).reached }
      case 'gossip': return gossip.onCall(msg)
      case 'explain': {
        const lines = requestTraces.find(msg.request)
        return { t: 'explain', found: lines !== undefined, lines: lines ?? [] }
      }
    }
  }

  const explain = async (requestId: string): Promise<traces.TraceStep[] | undefined> => {
    const localTrace = requestTraces.find(requestId)
    if (localTrace !== undefined) return localTrace
    const peer = others().find(item => item.id === ids.toEntryInstance(requestId))
    if (peer === undefined) return undefined
    const reply = await callPeer(peer, { t: 'explain', request: requestId })
    return reply.t === 'explain' && reply.found ? reply.lines : undefined
  }

  const stop = async (): Promise<void> => {
    stopTasks()
    stopSuspects()
    gossip.stop()
    member.stop()
    peers.close()
    await peerServer.close()
  }

  log.event('started', { role: 'router', url, peer: peerAddress, zone: opts.zone })

  return {
    url,
    peerAddress,
    metrics,
    member,
    invariants: invariants.tallies,
    stop: async () => {
      await stop()
      void server.close()
    },
    async shutdown () {
      log.event('stopping', { inFlight: owner.inFlight() })
      await member.drain()
      // Callers may use cached addresses until they expire, so the instance keeps serving until then.
      await delay(contracts.ADDRESS_MAX_AGE_MS + contracts.LEASE_RENEW_INTERVAL_MS)
      await server.close()
      while (owner.inFlight() > 0) await delay(DRAIN_POLL_MS)
      await member.leave()
      await stop()
      log.event('stopped')
    }
  }
}

async function delay (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Hot path: chunks are validated by hand, all other events by their schema. */
function parseEvent (body: unknown): contracts.PeerEvent | undefined {
  const chunk = body as { t?: unknown, attempt?: unknown, n?: unknown, data?: unknown } | null
  if (chunk?.t === 'chunk' && typeof chunk.attempt === 'string' && typeof chunk.n === 'number' && typeof chunk.data === 'string') return chunk as contracts.PeerEvent
  const parsed = contracts.peerEvent.safeParse(body)
  return parsed.success ? parsed.data : undefined
}

function createByteCounter (metrics: telemetry.RouterMetrics): links.CountBytes {
  const counters = new Map<string, { inc (value: number): void }>()
  const create = (direction: 'in' | 'out', tag: string): { inc (value: number): void } => {
    const group = DATA_MESSAGES.has(tag) ? 'data' : LEDGER_MESSAGES.has(tag) ? 'ledger' : 'control'
    return metrics.linkBytes.labels({ direction, class: group, message: tag })
  }
  // Hot path: called once per frame.
  return (direction, bytes, body) => {
    const messageTag = (body as { t?: string } | null)?.t ?? 'ping'
    const tag = MESSAGES.has(messageTag) ? messageTag : 'other'
    const key = direction + tag
    let counter = counters.get(key)
    if (counter === undefined) {
      counter = create(direction, tag)
      counters.set(key, counter)
    }
    counter.inc(bytes)
  }
}

/** A caller may request a less urgent priority than its account's, and less patience than the document allows at the time. */
function toUrgency (doc: contracts.Document, exchange: helpers.Exchange, account: auths.Account, fixed: string | undefined): context.Urgency {
  const requested = fixed ?? helpers.toHeader(exchange.req, contracts.HEADERS.priority)
  if (requested !== undefined && doc.priorities[requested] === undefined) throw new contracts.FailureError({ kind: 'bad_request', detail: `Unknown priority "${requested}". Use one of ${Object.keys(doc.priorities).join(', ')}.` })
  const accountPriority = doc.priorities[account.spec.priority]
  const isNotMoreUrgent = requested !== undefined && doc.priorities[requested].rank >= accountPriority.rank
  const priority = isNotMoreUrgent || fixed !== undefined ? requested ?? account.spec.priority : account.spec.priority
  const patienceMs = routing.toPatienceMs(doc, priority, Date.now())
  const requestedSeconds = Number(helpers.toHeader(exchange.req, contracts.HEADERS.patience))
  return { priority, rank: doc.priorities[priority].rank, patienceMs: requestedSeconds > 0 ? Math.min(patienceMs, requestedSeconds * 1000) : patienceMs }
}

function watchCaller (exchange: helpers.Exchange): AbortSignal {
  const controller = new AbortController()
  exchange.res.on('close', () => { if (!exchange.res.writableFinished) controller.abort() })
  return controller.signal
}
