/**
 * The replica of the configuration document on one control instance. Restarts after disk failures, and forwards reads and writes
 * to the leader.
 */
import * as crypto from 'node:crypto'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as state from '@kingcupdeck/state'
import * as telemetry from '@kingcupdeck/telemetry'
import * as documentCalls from './documentCall.js'
import * as documentKeepings from './documentKeeping.js'
import * as documentMachines from './documentMachine.js'
import * as evacuationFiles from './evacuationFile.js'
import * as evacuationOrders from './evacuationOrders.js'
import * as firstStarts from './firstStart.js'
import * as loggedEvacuations from './loggedEvacuations.js'

const readReply = z.object({ packed: contracts.packedText.nullable(), isSame: z.boolean() })
type ReadReply = z.infer<typeof readReply>

/** Options of {@link startDocumentStore}. */
export interface DocumentStoreOptions {
  /** Inner address of this instance, also its name in the group. */
  self: string
  /** Inner addresses of the first voters of the group. */
  founders: readonly string[]
  /** Whether the whole fleet starts for the first time, with empty disks. */
  mayFound: boolean
  /** Returns whether other instances have, or this one's disk had, a document, so that there was a group. Default: no. */
  isDocumentKnown?: () => boolean
  /** Inner addresses of control instances, from the current settings. */
  contacts: () => readonly string[]
  /** Number of disks that may fail at the same time without loss of the document. */
  maxFailedDisks: number
  dataFolder: string
  /** Whether no other instance has run in this process, so that what this one acknowledged earlier precedes the process. Default: false. */
  ownsProcess?: boolean
  /** Returns a link to another control instance. */
  getPeerLink: (address: string) => Promise<links.Link>
  /** A document that is known to be committed before the log is read; none by default. */
  known?: contracts.VersionedText | null
  /** Keeps the local document for the next start; by default nothing is kept. */
  keepDocument?: documentKeepings.KeepDocument
  /** How long an acknowledgement waits until all control instances keep the document, milliseconds. Default: {@link documentKeepings.KEEP_TIMEOUT_MS}. */
  keepTimeoutMs?: number
  /** Called when the local document changed. */
  onChange: () => void
  /** Called when the evacuated zones changed. */
  onEvacuations: () => void
  log: telemetry.Log
  invariants: telemetry.Invariants
}

/** The configuration document on one control instance. */
export interface DocumentStore {
  /** Returns the latest document that is known here to be committed, which may be stale. */
  latest (): contracts.VersionedText | null
  /** Packs {@link DocumentStore.latest} for a reader of a version of it; null if the reader has the latest. */
  packSince (version: number): contracts.PackedText | null
  /**
   * Stores a document through the leader, and waits a short time until all control instances that can be reached keep it for their next start.
   * @throws Error when the outcome is unknown after the timeout; the put may be repeated
   */
  put (document: contracts.VersionedText, timeoutMs: number): Promise<documentMachines.PutResult>
  /**
   * Reads the document linearizably: the result includes every put acknowledged before the call.
   * @throws Error when no leader with a quorum confirmed it within the timeout
   */
  read (timeoutMs: number): Promise<contracts.VersionedText | null>
  /** Returns the evacuated zones as applied locally, which may be stale. */
  evacuations (): discovery.Evacuations
  /** Returns the evacuated zones as applied locally, with those of orders in the log that may not be committed yet. */
  evacuationReport (): discovery.EvacuationReport
  /** See {@link evacuationOrders.EvacuationOrders.execute}. */
  evacuate (order: evacuationOrders.EvacuationOrder, isWanted: () => boolean, timeoutMs: number): Promise<discovery.Evacuations>
  /** Answers a call of another control instance. */
  onCall (call: documentCalls.DocumentCall): Promise<unknown>
  /** Returns whether this replica had applied everything that was committed a short time ago. */
  isCurrent (): boolean
  /** Returns the inner addresses of the other members of the group. */
  peerAddresses (): string[]
  /** Returns the status of the replica, undefined while it is restarting. */
  status (): state.ReplicaStatus | undefined
  /** Returns whether this instance is the leader. */
  isLeader (): boolean
  stop (): Promise<void>
}

/**
 * Short, since after a kill of all replicas most of the time without a confirmed document is the wait for a leader. The shortest
 * election timeout must exceed the sync of a slow disk (150 ms) plus a stall of the process.
 */
const TIMING: state.ReplicaTiming = { heartbeatMs: 200, electionMinMs: 700, electionMaxMs: 1300 }
/** Longer than the sync of a slow disk, shorter than an election. */
const RPC_TIMEOUT_MS = 800
/** A replica is current for this long after it had applied everything: several heartbeats and a stall of the process. */
const CURRENT_TIMEOUT_MS = 1500
/** Pause before a replica is restarted after a disk failure; a full disk stays full for seconds. */
const RESTART_PAUSE_MS = 700
const RETRY_PAUSE_MS = 60
/** Log entries between snapshots. A starting replica applies up to this many before its document is available. */
const SNAPSHOT_ENTRIES = 30

/** Starts the replica, and restarts it after disk failures until the store is stopped. */
export async function startDocumentStore (opts: DocumentStoreOptions): Promise<DocumentStore> {
  const stopped = new AbortController()
  let replica: state.Replica | undefined
  let machine = documentMachines.createDocumentMachine()
  let lastVoters: string[] = []
  const history = discovery.createDocumentHistory()
  /** The newest document that is known to be committed: applied by any incarnation of the replica in this process, or known before. */
  let latest = opts.known ?? null
  if (latest !== null) history.add(latest)
  /** The document proposed last by this leader, base of the next delta because it precedes it in the log. */
  let lastProposed: contracts.VersionedText | null = null
  let isNotificationPending = false
  /** The newest evacuations applied by any incarnation of the replica in this process. */
  let latestEvacuations = discovery.NO_EVACUATIONS
  let logged: loggedEvacuations.LoggedEvacuations | undefined

  const evacuationReport = (): discovery.EvacuationReport => logged?.toReport(latestEvacuations) ?? latestEvacuations

  const evacuationFile = evacuationFiles.createEvacuationFile(opts.dataFolder, evacuationReport, opts.log)

  const onChange = (packed?: contracts.PackedText): void => {
    const applied = machine.latest()
    // A restarted replica applies its log from the beginning; versions that were already applied cause no notification.
    if (applied === null || (latest !== null && applied.version <= latest.version)) return
    latest = applied
    history.add(applied, packed)
    if (isNotificationPending) return
    isNotificationPending = true
    // Coalesces the documents that a starting replica applies from its log, so that only the last one is published.
    setImmediate(() => {
      isNotificationPending = false
      opts.onChange()
    })
  }

  const onEvacuations = (): void => {
    const applied = machine.evacuations()
    if (applied.revision <= latestEvacuations.revision) return
    latestEvacuations = applied
    evacuationFile.save()
    opts.onEvacuations()
  }

  const transport: state.Transport = {
    async call (name, msg) {
      const link = await opts.getPeerLink(name)
      return state.rpcReply.parse(await link.call({ t: 'replica', msg } satisfies documentCalls.DocumentCall, RPC_TIMEOUT_MS))
    }
  }

  // After a failed write the replica must not continue. It is recreated from the disk, so that a temporary disk failure does not
  // end the process; meanwhile reads go through the other replicas.
  const restart = async (): Promise<void> => {
    const failedReplica = replica
    replica = undefined
    await failedReplica?.stop().catch(err => { opts.log.event('replicaRestarted', { step: 'stop', detail: String(err) }) })
    let loggedDetail: string | undefined
    while (!stopped.signal.aborted) {
      await timers.setTimeout(RESTART_PAUSE_MS)
      try {
        const created = await create()
        if (stopped.signal.aborted) return await created.stop()
        replica = created
        opts.log.event('replicaRestarted', { step: 'started' })
        return
      } catch (err) {
        const detail = err instanceof Error ? err.message : String(err)
        if (detail !== loggedDetail) opts.log.event('replicaRestarted', { step: 'failed', detail })
        loggedDetail = detail
      }
    }
  }

  let mayFound = opts.mayFound
  const create = async (startedAt?: number): Promise<state.Replica> => {
    machine = documentMachines.createDocumentMachine(onChange, onEvacuations)
    logged = loggedEvacuations.createLoggedEvacuations(await state.createFileStorage(path.join(opts.dataFolder, firstStarts.GROUP)), evacuationFile.saveNow)
    const created = await state.createReplica({
      group: firstStarts.GROUP,
      name: opts.self,
      founderNames: opts.founders,
      founding: { isFirstStart: mayFound, maxFailedDisks: opts.maxFailedDisks, mayHaveGroup: () => latest !== null || opts.isDocumentKnown?.() === true },
      contacts: opts.contacts,
      isDynamic: true,
      timing: TIMING,
      minVoters: Math.max(3, 2 * opts.maxFailedDisks + 1),
      storage: logged.storage,
      transport,
      stateMachine: machine,
      clock: state.systemClock,
      startedAt,
      random: Math.random,
      createIncarnation: () => crypto.randomUUID().slice(0, 8),
      log: opts.log,
      invariants: opts.invariants,
      snapshotEvery: SNAPSHOT_ENTRIES,
      onFailed: () => { void restart() }
    })
    // What this process was told is stored now. A disk that is empty later has lost it.
    mayFound = false
    return created
  }

  const leaderName = (): string | null => replica?.leaderName() ?? null

  const requireReplica = (): state.Replica => {
    if (replica === undefined) throw new Error('replica of the document is restarting after a disk failure; try again')
    return replica
  }

  const propose = async (packed: contracts.PackedText): Promise<documentMachines.PutResult> => {
    const result = await requireReplica().propose(packed) as documentMachines.PutResult
    replica?.announceCommit()
    return result
  }

  /** Proposes a document at this replica, the leader; as a delta if possible, since full documents would saturate slow links. */
  const putLocally = async (document: contracts.VersionedText): Promise<documentMachines.PutResult> => {
    const base = lastProposed ?? machine.latest()
    if (base === null || document.version > base.version) lastProposed = document
    if (base === null) return await propose(contracts.packFull(document))
    const result = await propose(contracts.packDelta(base, document))
    // The base was not stored: another leader's put preceded it, or it was an older version.
    return result.kind === 'needsWhole' ? await propose(contracts.packFull(document)) : result
  }

  const readLocally = async (timeoutMs: number): Promise<contracts.VersionedText | null> => {
    await requireReplica().confirmLeadership(timeoutMs)
    return machine.latest()
  }

  /** Runs an operation at the leader, local or remote; retries until it succeeds or the timeout expires. */
  const retry = async <T>(timeoutMs: number, locally: (leftMs: number) => Promise<T>, remotely: (link: links.Link, leftMs: number) => Promise<T>): Promise<T> => {
    const deadline = performance.now() + timeoutMs
    const missing = replica?.status().missing ?? null
    let lastErr: unknown = new Error(`no leader known within ${timeoutMs} ms${missing === null ? '' : `: ${missing}`}`)
    while (true) {
      const leftMs = deadline - performance.now()
      if (leftMs <= RETRY_PAUSE_MS) throw lastErr
      const name = leaderName()
      try {
        if (name === opts.self) return await links.withTimeout(locally(leftMs), leftMs, 'no result from this leader')
        if (name !== null) return await links.withTimeout(opts.getPeerLink(name).then(async link => await remotely(link, leftMs)), leftMs, `no answer from leader ${name}`)
      } catch (err) {
        lastErr = err
      }
      await timers.setTimeout(RETRY_PAUSE_MS)
    }
  }

  const peerAddresses = (): string[] => {
    const voters = replica?.status().voters.map(id => id.split('#')[0]) ?? []
    if (voters.length > 0) lastVoters = voters
    const all = new Set([...lastVoters, ...opts.contacts()])
    all.delete(opts.self)
    return [...all]
  }

  const keepDocument: documentKeepings.KeepDocument = opts.keepDocument ?? (async version => ({ version }))
  const keepEverywhere = documentKeepings.createFleetKeeping({ keep: keepDocument, peerAddresses, getPeerLink: opts.getPeerLink, timeoutMs: opts.keepTimeoutMs ?? documentKeepings.KEEP_TIMEOUT_MS })

  /** Stores a document at the leader; a repeated or older one is answered here, since what is known to be committed stays so. */
  const store = async (document: contracts.VersionedText, timeoutMs: number): Promise<documentMachines.PutResult> => {
    return documentMachines.resolveStalePut(latest, document) ?? await retry(timeoutMs, async () => await putLocally(document), async (link, leftMs) => {
      const call: documentCalls.DocumentCall = { t: 'put', packed: contracts.packFull(document) }
      return documentMachines.putResult.parse(await link.call(call, leftMs))
    })
  }

  const orders = evacuationOrders.createEvacuationOrders({ replica: requireReplica, machine: () => machine, runAtLeader: retry, readTimeoutMs: RPC_TIMEOUT_MS })

  try {
    replica = await create(opts.ownsProcess === true ? state.PROCESS_STARTED_AT_MS : undefined)
  } catch (err) {
    // A process that ended here would end at each start.
    opts.log.event('replicaRestarted', { step: 'failed', detail: String(err) })
    void restart()
  }

  return {
    latest: () => latest,
    packSince: history.packSince,
    async put (document, timeoutMs) {
      const deadline = performance.now() + timeoutMs
      const result = await store(document, timeoutMs)
      if (result.kind !== 'conflict') await keepEverywhere(document.version, deadline - performance.now())
      return result
    },
    async read (timeoutMs) {
      return await retry(timeoutMs, readLocally, async (link, leftMs) => {
        const reply: ReadReply = readReply.parse(await link.call({ t: 'read', version: latest?.version ?? 0 } satisfies documentCalls.DocumentCall, leftMs))
        if (reply.isSame) return latest
        return reply.packed === null ? null : contracts.unpackText(reply.packed, null) ?? null
      })
    },
    evacuations: () => latestEvacuations,
    evacuationReport,
    evacuate: orders.execute,
    async onCall (call) {
      switch (call.t) {
        case 'replica':
          return await requireReplica().handle(state.rpc.parse(call.msg))
        case 'put': {
          const document = contracts.unpackText(call.packed, null)
          if (document === undefined) throw new Error(`put of version ${call.packed.version} rejected: it must be a full document, not a delta`)
          return await putLocally(document)
        }
        case 'read': {
          const document = await readLocally(RPC_TIMEOUT_MS)
          const isSame = document !== null && document.version === call.version
          return { packed: isSame || document === null ? null : contracts.packFull(document), isSame } satisfies ReadReply
        }
        case 'keep':
          return await keepDocument(call.version)
        case 'readEvacuations':
        case 'evacuation':
          return await orders.onCall(call)
      }
    },
    isCurrent: () => replica !== undefined && performance.now() - replica.lastCurrentAt() < CURRENT_TIMEOUT_MS,
    peerAddresses,
    status: () => replica?.status(),
    isLeader: () => leaderName() === opts.self,
    async stop () {
      stopped.abort()
      await replica?.stop()
      await evacuationFile.close()
    }
  }
}
