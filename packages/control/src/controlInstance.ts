/** A control instance: hosts replicas of the fleet state and the ledger, grants leases to router instances, and serves the operator API. */
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as membership from '@kingcupdeck/membership'
import * as state from '@kingcupdeck/state'
import * as telemetry from '@kingcupdeck/telemetry'
import * as leaseTable from './leaseTable.js'
import * as operatorServer from './operatorServer.js'
import * as replicaGroups from './replicaGroups.js'

/** Options of a control instance. */
export interface ControlOptions {
  id: string
  /** `ip:port` that peers connect to. */
  peerListen: string
  /** `ip:port` of the operator API; port 0 selects a free port. */
  listen: string
  controls: readonly membership.ControlAddress[]
  dataFolder: string
  secret: string
  ledgerGroups: number
  snapshotEvery?: number
  /** Whether the whole fleet starts for the first time, with empty folders. Default: false. */
  isFirstStart?: boolean
  /** Whether no other instance has run in this process, so that what this one acknowledged earlier precedes the process. Default: false. */
  ownsProcess?: boolean
  /** Configuration document to propose while the fleet has none. */
  document?: contracts.Document
  log: telemetry.Log
  /** Whether a broken invariant ends the process. */
  isFatal: boolean
}

/** A running control instance. */
export interface Control {
  readonly url: string
  readonly peerPort: number
  invariants (): Record<telemetry.Invariant, telemetry.Tally>
  /** Closes the operator server, hands leadership over, and closes all links. */
  shutdown (): Promise<void>
}

/** Starts a control instance. */
export async function createControl (opts: ControlOptions): Promise<Control> {
  const { log } = opts
  const metrics = telemetry.createControlMetrics()
  const invariants = telemetry.createInvariants({ log, registry: metrics.registry, exportTallies: telemetry.exportTallies, isFatal: opts.isFatal })
  const groups = new Map<string, state.Replica>()
  const identity = { role: 'control' as const, id: opts.id }
  const countBytes: links.CountBytes = (direction, bytes) => { metrics.linkBytes.inc({ direction }, bytes) }
  const handlers: links.LinkHandlers = { onEvent: body => { onEvent(body) }, onCall: async (body, link) => await onCall(body, link) }
  const peers = links.createPeerLinks({ identity, secret: opts.secret, log, countBytes, handlers })
  const groupOptions: replicaGroups.ReplicaGroupOptions = { ...opts, peers, invariants }

  const fleetMachine = state.createFleetMachine(() => { leases.onStateChange() })
  const leases: leaseTable.LeaseTable = leaseTable.createLeaseTable({ machine: fleetMachine, replica: () => groups.get('fleet'), log })

  const proposeInitialDocument = async (): Promise<void> => {
    if (opts.document === undefined || fleetMachine.version() > 0) return
    await groups.get('fleet')?.propose({ t: 'put', operator: 'founding', operation: 'founding', baseVersion: 0, document: opts.document } satisfies state.FleetCommand)
  }

  const peerServer = await links.listen(opts.peerListen, { identity, secret: opts.secret, log, countBytes, handlers }, link => { if (link.peer.role === 'control') peers.add(link) }, { timeoutMs: links.COMMAND_TIMEOUT_MS })
  groups.set('fleet', await replicaGroups.startReplica(groupOptions, 'fleet', fleetMachine, isLeader => {
    leases.onLeadershipChange(isLeader)
    if (isLeader) proposeInitialDocument().catch(() => {})
  }))
  for (let i = 0; i < opts.ledgerGroups; i++) {
    groups.set(`ledger-${i}`, await replicaGroups.startReplica(groupOptions, `ledger-${i}`, state.createLedgerMachine(), () => {}))
  }

  const onEvent = (body: unknown): void => {
    const event = contracts.controlEvent.safeParse(body)
    if (event.success) leases.onEvent(event.data)
  }

  const onCall = async (body: unknown, link: links.Link): Promise<unknown> => {
    const groupMessage = replicaGroups.toGroupMessage(body)
    if (groupMessage !== undefined) {
      const replica = groups.get(groupMessage.raft)
      if (replica === undefined) throw new Error(`this control instance hosts no replica of group ${groupMessage.raft}`)
      return await replica.handle(groupMessage.msg)
    }
    return await handleControlCall(contracts.controlCall.parse(body), link)
  }

  const handleControlCall = async (call: contracts.ControlCall, link: links.Link): Promise<contracts.ControlReply> => {
    const group = 'group' in call ? `ledger-${call.group}` : 'fleet'
    const replica = groups.get(group)
    if (replica === undefined || !replica.isReady()) return { t: 'notLeader', leader: replica?.leaderName() ?? null }
    try {
      return await executeCall(call, replica, link)
    } catch (err) {
      if (err instanceof state.ProposalError) return { t: 'notLeader', leader: err.leader }
      throw err
    }
  }

  const executeCall = async (call: contracts.ControlCall, replica: state.Replica, link: links.Link): Promise<contracts.ControlReply> => {
    switch (call.t) {
      case 'renew': return await leases.renew(call, link)
      case 'leave': return await leases.leave(call.instance, call.incarnation)
      case 'ledgerBegin': {
        const retentionMs = (fleetMachine.document()?.ledger.retentionHours ?? DEFAULT_RETENTION_HOURS) * 3_600_000
        return await proposeLedger(replica, { t: 'begin', account: call.account, key: call.key, attempt: call.attempt, hash: call.hash, keyMs: contracts.toKeyMs(call.key), retentionMs })
      }
      case 'ledgerFinish': return await proposeLedger(replica, { t: 'finish', account: call.account, key: call.key, attempt: call.attempt, answer: call.answer })
      case 'ledgerAbort': return await proposeLedger(replica, { t: 'abort', account: call.account, key: call.key, attempt: call.attempt })
      case 'documentGet': return { t: 'document', version: fleetMachine.version(), document: fleetMachine.document() }
      case 'documentPut': return await putDocument(call, replica)
      case 'documentHistory': return { t: 'history', items: [...fleetMachine.history()] }
      case 'status': return { t: 'status', status: toStatus(replica) }
    }
  }

  const proposeLedger = async (replica: state.Replica, cmd: state.LedgerCommand): Promise<contracts.ControlReply> => {
    return { t: 'ledger', state: await replica.propose(cmd) as contracts.LedgerKeyState }
  }

  const putDocument = async (call: Extract<contracts.ControlCall, { t: 'documentPut' }>, replica: state.Replica): Promise<contracts.ControlReply> => {
    const validation = contracts.checkDocument(call.document)
    if (validation.kind === 'invalid') return { t: 'invalid', faults: validation.faults }
    const result = await replica.propose({ t: 'put', operator: call.operator, operation: call.operation, baseVersion: call.baseVersion, document: validation.document } satisfies state.FleetCommand) as state.FleetResult
    if (result.t === 'put') {
      log.event('documentAccepted', { version: result.version, operator: call.operator })
      return { t: 'put', version: result.version }
    }
    return { t: 'conflict', currentVersion: fleetMachine.version(), document: fleetMachine.document() }
  }

  const toStatus = (replica: state.Replica): contracts.FleetStatus => ({
    leader: opts.id,
    term: replica.status().term,
    documentVersion: fleetMachine.version(),
    view: fleetMachine.view(),
    instances: leases.toStatus(),
    pools: leases.toPoolLoads(),
    replicas: [...groups.values()].map(item => item.status())
  })

  // Operators may call any control instance; this client forwards their calls to the leader. It identifies as a tool, because
  // peers use connections with the control role for replication, and this client answers no calls.
  const client = membership.createControlClient({ identity: { role: 'tool', id: opts.id }, secret: opts.secret, log, controls: opts.controls, onEvent: () => {} })
  const operatorApi = await operatorServer.startOperatorServer(opts.listen, { client, machine: fleetMachine, registry: metrics.registry, log, toHealth: () => ({ peerPort: peerServer.port, replicas: [...groups.values()].map(item => item.status()), invariants: invariants.tallies() }) })

  log.event('started', { role: 'control', url: operatorApi.url, peerPort: peerServer.port })

  return {
    url: operatorApi.url,
    peerPort: peerServer.port,
    invariants: invariants.tallies,
    async shutdown () {
      log.event('stopping')
      await operatorApi.close()
      leases.stop()
      for (const replica of groups.values()) await replica.stop()
      client.close()
      peers.close()
      await peerServer.close()
      log.event('stopped')
    }
  }
}

const DEFAULT_RETENTION_HOURS = 24
