/**
 * The replica of the document on one control instance, kept running through failures of its disk, with reads and writes
 * that go to whichever replica leads.
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
import * as documentMachines from './documentMachine.js'

/** Calls between control instances about the document. */
export const documentCall = z.discriminatedUnion('t', [
  z.object({ t: z.literal('replica'), msg: z.unknown() }),
  z.object({ t: z.literal('put'), packed: contracts.packedText }),
  z.object({ t: z.literal('read'), version: z.number() })
])
/** Calls between control instances about the document. */
export type DocumentCall = z.infer<typeof documentCall>

const readReply = z.object({ packed: contracts.packedText.nullable(), isSame: z.boolean() })
type ReadReply = z.infer<typeof readReply>

/** What a store is built from. */
export interface DocumentStoreOptions {
  /** Inner address of this instance; its name in the group. */
  self: string
  /** Inner addresses of the instances that found the group. */
  founders: readonly string[]
  /** Whether the group may be founded: only at the very first start of the whole fleet. */
  mayFound: boolean
  /** Inner addresses of control instances as the settings name them now. */
  contacts: () => readonly string[]
  /** How many disks may be lost at once. */
  maxFailedDisks: number
  dataFolder: string
  /** @returns a link to another control instance */
  getPeerLink: (address: string) => Promise<links.Link>
  onChange: () => void
  log: telemetry.Log
  invariants: telemetry.Invariants
}

/** The document on one control instance. */
export interface DocumentStore {
  /** @returns the document as applied here, which may be behind */
  latest (): contracts.VersionedText | null
  /** @returns the document as applied here, packed for a reader who holds a version of it, or null if that is the latest */
  packSince (version: number): contracts.PackedText | null
  /**
   * Stores a document, at whichever replica leads.
   * @throws Error when the outcome is not known in time; the same document may be sent again
   */
  put (document: contracts.VersionedText, timeoutMs: number): Promise<documentMachines.PutResult>
  /**
   * Reads the document so that nothing acknowledged before the call is missing.
   * @throws Error when that cannot be made sure in time
   */
  read (timeoutMs: number): Promise<contracts.VersionedText | null>
  /** Answers a call of another control instance. */
  onCall (call: DocumentCall): Promise<unknown>
  /** @returns whether a quorum, or a leader with one, was heard lately */
  isCurrent (): boolean
  /** @returns inner addresses of the other members of the group */
  peerAddresses (): string[]
  /** @returns whether this instance leads the group */
  isLeader (): boolean
  stop (): Promise<void>
}

const GROUP = 'document'
/**
 * Faster than a fleet with thousands of leases: after all replicas were killed, the wait for the next leader is most of the
 * time without a confirmed document. A slow disk's sync (150 ms) and a stall of a small processor fit into the shortest wait.
 */
const TIMING: state.ReplicaTiming = { heartbeatMs: 200, electionMinMs: 700, electionMaxMs: 1300 }
/** Longer than a sync of a slow disk, shorter than an election. */
const RPC_TIMEOUT_MS = 800
/** A replica is current while its group was heard within this time: two heartbeats and a stall of the process. */
const CURRENT_TIMEOUT_MS = 1500
/** Pause before a replica whose disk failed is started again; a full disk stays full for seconds. */
const RESTART_PAUSE_MS = 700
const RETRY_PAUSE_MS = 60
/** A replica that starts applies up to so many differences before it can hand out the document. */
const SNAPSHOT_ENTRIES = 30

/**
 * Starts the replica and keeps it running.
 * @param opts where it lives and how the others are reached
 * @returns the store
 */
export async function startDocumentStore (opts: DocumentStoreOptions): Promise<DocumentStore> {
  const stopped = new AbortController()
  let replica: state.Replica | undefined
  let machine = documentMachines.createDocumentMachine()
  let lastVoters: string[] = []
  const history = discovery.createDocumentHistory()
  let best: contracts.VersionedText | null = null
  /** The document that was proposed here last: the next one follows it in the log, so it goes in as the difference from it. */
  let proposed: contracts.VersionedText | null = null
  let isTelling = false

  const onChange = (packed?: contracts.PackedText): void => {
    const now = machine.latest()
    // A replica that starts again applies its log from the beginning; what was told before is not told again.
    if (now === null || (best !== null && now.version <= best.version)) return
    best = now
    history.add(now, packed)
    if (isTelling) return
    isTelling = true
    // A replica that starts applies its whole log in one go: only the last document of that is told, or every entry instance
    // would be handed the history, version by version.
    setImmediate(() => {
      isTelling = false
      opts.onChange()
    })
  }

  const transport: state.Transport = {
    async call (name, msg) {
      const link = await opts.getPeerLink(name)
      return state.rpcReply.parse(await link.call({ t: 'replica', msg } satisfies DocumentCall, RPC_TIMEOUT_MS))
    }
  }

  // Guards against a disk that is full or fails for some seconds: the replica cannot go on with what it has not written,
  // but the process can, and reads through the other replicas do; it is built anew from what the disk holds.
  const restart = async (): Promise<void> => {
    const failed = replica
    replica = undefined
    await failed?.stop().catch(err => { opts.log.event('replicaRestarted', { step: 'stop', detail: String(err) }) })
    while (!stopped.signal.aborted) {
      await timers.setTimeout(RESTART_PAUSE_MS)
      try {
        replica = await create()
        opts.log.event('replicaRestarted', { step: 'started' })
        return
      } catch (err) {
        opts.log.event('replicaRestarted', { step: 'failed', detail: err instanceof Error ? err.message : String(err) })
      }
    }
  }

  const create = async (): Promise<state.Replica> => {
    machine = documentMachines.createDocumentMachine(onChange)
    return await state.createReplica({
      group: GROUP,
      name: opts.self,
      founderNames: opts.founders,
      canBootstrap: opts.mayFound,
      contacts: opts.contacts,
      isDynamic: true,
      timing: TIMING,
      minVoters: Math.max(3, 2 * opts.maxFailedDisks + 1),
      storage: await state.createFileStorage(path.join(opts.dataFolder, GROUP)),
      transport,
      stateMachine: machine,
      clock: state.systemClock,
      random: Math.random,
      createIncarnation: () => crypto.randomUUID().slice(0, 8),
      log: opts.log,
      invariants: opts.invariants,
      snapshotEvery: SNAPSHOT_ENTRIES,
      onFailed: () => { void restart() }
    })
  }

  const leader = (): string | null => replica?.leaderName() ?? null

  const propose = async (packed: contracts.PackedText): Promise<documentMachines.PutResult> => {
    if (replica === undefined) throw new Error('the replica is being restarted')
    return await replica.propose(packed) as documentMachines.PutResult
  }

  /**
   * Stores at this replica, which leads. Load pattern: operators change one entry several times a second just after they added
   * two thousand; whole, each change takes the leader's link of a few Mbit/s half a second for eight followers.
   */
  const putHere = async (document: contracts.VersionedText): Promise<documentMachines.PutResult> => {
    const from = proposed ?? machine.latest()
    if (from === null || document.version > from.version) proposed = document
    if (from === null) return await propose(contracts.packFull(document))
    const result = await propose(contracts.packDelta(from, document))
    // What was proposed before it did not come to be held: another leader's change came between, or it was an older version.
    return result.kind === 'needsWhole' ? await propose(contracts.packFull(document)) : result
  }

  const readHere = async (timeoutMs: number): Promise<contracts.VersionedText | null> => {
    if (replica === undefined) throw new Error('the replica is being restarted')
    await replica.confirmLeadership(timeoutMs)
    return machine.latest()
  }

  /** Tries here or at the leader until it works or the time is over. */
  const retry = async <T>(timeoutMs: number, here: (leftMs: number) => Promise<T>, there: (link: links.Link, leftMs: number) => Promise<T>): Promise<T> => {
    const until = performance.now() + timeoutMs
    let last: unknown = new Error('no leader is known')
    while (true) {
      const leftMs = until - performance.now()
      if (leftMs <= RETRY_PAUSE_MS) throw last
      const name = leader()
      try {
        if (name === opts.self) return await links.withTimeout(here(leftMs), leftMs, 'no outcome')
        if (name !== null) return await links.withTimeout(opts.getPeerLink(name).then(async link => await there(link, leftMs)), leftMs, 'no outcome')
      } catch (err) {
        last = err
      }
      await timers.setTimeout(RETRY_PAUSE_MS)
    }
  }

  replica = await create()

  return {
    latest: () => best,
    packSince: history.packSince,
    async put (document, timeoutMs) {
      // What is applied is committed: an older document or a resend needs no leader.
      const old = documentMachines.resolveStalePut(best, document)
      if (old !== undefined) return old
      return await retry(timeoutMs, async () => await putHere(document), async (link, leftMs) => {
        const call: DocumentCall = { t: 'put', packed: contracts.packFull(document) }
        return documentMachines.putResult.parse(await link.call(call, leftMs))
      })
    },
    async read (timeoutMs) {
      return await retry(timeoutMs, readHere, async (link, leftMs) => {
        const reply: ReadReply = readReply.parse(await link.call({ t: 'read', version: best?.version ?? 0 } satisfies DocumentCall, leftMs))
        if (reply.isSame) return best
        return reply.packed === null ? null : contracts.unpackText(reply.packed, null) ?? null
      })
    },
    async onCall (call) {
      switch (call.t) {
        case 'replica':
          if (replica === undefined) throw new Error('the replica is being restarted')
          return await replica.handle(state.rpc.parse(call.msg))
        case 'put': {
          const document = contracts.unpackText(call.packed, null)
          if (document === undefined) throw new Error('a document is put whole')
          return await putHere(document)
        }
        case 'read': {
          const held = await readHere(RPC_TIMEOUT_MS)
          const isSame = held !== null && held.version === call.version
          return { packed: isSame || held === null ? null : contracts.packFull(held), isSame } satisfies ReadReply
        }
      }
    },
    isCurrent: () => replica !== undefined && performance.now() - replica.lastContactAt() < CURRENT_TIMEOUT_MS,
    peerAddresses () {
      const voters = replica?.status().voters.map(id => id.split('#')[0]) ?? []
      if (voters.length > 0) lastVoters = voters
      const all = new Set([...lastVoters, ...opts.contacts()])
      all.delete(opts.self)
      return [...all]
    },
    isLeader: () => leader() === opts.self,
    async stop () {
      stopped.abort()
      await replica?.stop()
    }
  }
}
