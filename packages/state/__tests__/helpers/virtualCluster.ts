/**
 * A replica group in one process on virtual time, with a network that loses and delays messages, and disks that lose
 * unsynced writes on a crash.
 */
import * as telemetry from '@kingcupdeck/telemetry'
import * as state from '../../src/index.js'
import * as memoryDisks from './memoryDisk.js'
import * as powerLossDisks from './powerLossDisk.js'
import * as seededRandom from './seededRandom.js'
import * as virtualClocks from './virtualClock.js'
import * as virtualDisks from './virtualDisk.js'

/** Pause before a replica whose storage failed is started again. */
const RESTART_PAUSE_MS = 700

/** One running incarnation of a replica process. */
interface Process { isDead: boolean, /** Whether a replica that it creates is told to found the group. */ mayFound: boolean, replica: state.Replica | undefined, applied: string[] }

interface Node { name: string, disk: memoryDisks.MemoryDisk, /** Used in place of `disk` if the cluster uses files. */ files: powerLossDisks.PowerLossDisk, process: Process, starts: number }

/** Bounds of a duration, milliseconds. */
interface Range { min: number, max: number }

/** Faults of the simulated network. */
export interface Network { loss: number, delayMs: number, /** Nodes without any connection. */ isolated: Set<string>, /** Broken links between two nodes, as `a b` with sorted names. */ brokenLinks: Set<string> }

/** A replica group under test. */
export class VirtualCluster {
  readonly clock = new virtualClocks.VirtualClock()
  onLeadershipChange: (isLeader: boolean) => void = () => {}
  readonly network: Network = { loss: 0, delayMs: 3, isolated: new Set(), brokenLinks: new Set() }
  readonly nodes = new Map<string, Node>()
  /** Commands acknowledged to their proposer, in order. */
  readonly acknowledged: string[] = []
  /** Times at which commands were acknowledged. */
  private readonly acknowledgedAt = new Map<string, number>()
  /** Replicas whose disk completes no writes. */
  readonly stalledDisks = new Set<string>()
  /** Replicas whose disk is full. */
  readonly fullDisks = new Set<string>()
  /** Replicas whose disk refuses some of the writes, and performs part of what it refuses. */
  readonly faultyDisks = new Set<string>()
  /** Whether replicas whose storage failed are started again. */
  restartsFailed = false
  /** Whether replicas store their state in files, on disks that lose power. */
  usesFiles = false
  /** Called before each file operation of a process, which it may delay or reject; counted from the start of the process. */
  beforeFileOperation: ((name: string, start: number, operation: number) => Promise<void>) | undefined
  /** How long a disk takes to sync. */
  syncMs: Range = { min: 1, max: 9 }
  /** How long a process takes from its start until its replica starts. */
  loadMs: Range = { min: 0, max: 0 }
  /** Time after which a call without a reply fails. */
  callTimeoutMs = 300
  /** Timing of the replicas; their default if undefined. */
  timing: state.ReplicaTiming | undefined
  /** Names that replicas contact for joining; the founders by default. */
  seeds: readonly string[] | undefined
  /** Number of disks that may be lost at once; if set, replicas found their group by what they were told at their first start. */
  maxFailedDisks: number | undefined
  /** Whether there are signs of a group beyond its replicas. */
  mayHaveGroup = false
  /** Replicas that have claimed the identity of a founder. */
  readonly claims: string[] = []
  /** Replicas that have logged that there is no group, and what is missing. */
  readonly reports: Array<{ name: string, missing: string }> = []
  /** Slow writes that replicas have logged. */
  readonly slowWrites: Array<{ name: string, step: string, ms: number }> = []
  /** Replicas that reported a storage failure. */
  readonly failed: string[] = []
  /** Leader of each term. */
  readonly leaders = new Map<number, string>()
  /** Violated invariants. */
  readonly violations: string[] = []
  private readonly random: () => number

  /**
   * @param names the founders of the group
   * @param isDynamic whether other replicas may join, and unresponsive ones are removed
   */
  constructor (readonly names: string[], seed: number, readonly snapshotEvery = 20, readonly isDynamic = false) {
    this.random = seededRandom.createRandom(seed)
    for (const name of names) this.addNode(name)
  }

  node (name: string): Node { return this.nodes.get(name) as Node }

  /** Adds a replica with an empty disk that is not a founder. */
  async add (name: string, canBootstrap = true): Promise<void> {
    this.addNode(name)
    await this.start(name, canBootstrap)
  }

  private addNode (name: string): void {
    this.nodes.set(name, { name, disk: new memoryDisks.MemoryDisk(), files: powerLossDisks.createPowerLossDisk(this.random), process: { isDead: true, mayFound: false, replica: undefined, applied: [] }, starts: 0 })
  }

  private draw (range: Range): number { return range.min + this.random() * (range.max - range.min) }

  private async sleep (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.clock.schedule(ms, resolve) })
  }

  async start (name: string, canBootstrap = true): Promise<void> {
    const node = this.node(name)
    const process: Process = { isDead: false, mayFound: canBootstrap, replica: undefined, applied: [] }
    node.process = process
    node.starts++
    const log = this.createLog(name)
    const invariants: telemetry.Invariants = {
      check: (invariant, holds, detail) => { if (!holds) this.violations.push(`${invariant}: ${detail()}`) },
      tallies: () => ({} as ReturnType<telemetry.Invariants['tallies']>)
    }
    const startedAt = this.clock.now()
    const create = async (): Promise<state.Replica> => {
      if (this.loadMs.max > 0) await this.sleep(this.draw(this.loadMs))
      // The power may have been lost meanwhile.
      if (process.isDead) await new Promise(() => {})
      return await state.createReplica({ ...opts, storage: await this.openStorage(node, process) })
    }
    const opts: Omit<state.ReplicaOptions, 'storage'> = {
      group: 'test',
      name,
      founderNames: this.names,
      canBootstrap,
      founding: this.maxFailedDisks === undefined ? undefined : { isFirstStart: canBootstrap, maxFailedDisks: this.maxFailedDisks, mayHaveGroup: () => this.mayHaveGroup },
      contacts: () => this.seeds ?? this.names,
      isDynamic: this.isDynamic,
      timing: this.timing,
      startedAt,
      transport: { call: async (to, msg) => await this.call(name, process, to, msg) },
      stateMachine: this.createStateMachine(process),
      clock: {
        now: () => this.clock.now(),
        wallNow: () => this.clock.now(),
        sleep: async ms => { await new Promise<void>(resolve => { this.clock.schedule(ms, () => { if (!process.isDead) resolve() }) }) }
      },
      random: this.random,
      createIncarnation: () => `${name}-${node.starts}`,
      log,
      invariants,
      snapshotEvery: this.snapshotEvery,
      onLeadershipChange: isLeader => { this.onLeadershipChange(isLeader) },
      onFailed: () => {
        this.failed.push(name)
        if (this.restartsFailed) this.restartLater(name, process)
      }
    }
    create().then(replica => {
      process.replica = replica
      process.mayFound = false
    }, err => {
      if (!this.restartsFailed) throw err
      this.restartLater(name, process)
    })
  }

  private createLog (name: string): telemetry.Log {
    const log = telemetry.createLog({ instance: name, level: 'silent' })
    return {
      ...log,
      event: (event, fields) => {
        if (event === 'founderClaimed') this.claims.push(name)
        if (event === 'groupNotFounded') this.reports.push({ name, missing: String(fields?.missing) })
        if (event === 'writeSlow') this.slowWrites.push({ name, step: String(fields?.step), ms: Number(fields?.ms) })
        log.event(event, fields)
      }
    }
  }

  private restartLater (name: string, failed: Process): void {
    this.clock.schedule(RESTART_PAUSE_MS, () => {
      if (failed.isDead || this.node(name).process !== failed) return
      this.crash(name)
      void this.start(name, this.maxFailedDisks === undefined || failed.mayFound)
    })
  }

  crash (name: string): void {
    this.node(name).process.isDead = true
    this.node(name).process.replica = undefined
  }

  wipe (name: string): void {
    this.crash(name)
    this.node(name).process.applied = []
    this.node(name).disk.wipe()
    this.node(name).files.wipe()
  }

  /** Ends a process, and what its files held beyond their last sync is lost or kept by lot. */
  losePower (name: string, loss: powerLossDisks.PowerLoss): void {
    this.crash(name)
    this.node(name).files.losePower(loss)
  }

  isUp (name: string): boolean { return !this.node(name).process.isDead }

  leader (): Node | undefined {
    return [...this.nodes.values()].find(node => node.process.replica?.isReady() === true)
  }

  /** Records the leader of each term, and violations of leader uniqueness. */
  checkLeaders (): void {
    for (const node of this.nodes.values()) {
      const status = node.process.replica?.status()
      if (status?.role !== 'leader') continue
      const known = this.leaders.get(status.term)
      if (known !== undefined && known !== node.name) this.violations.push(`term ${status.term} has two leaders: ${known} and ${node.name}`)
      this.leaders.set(status.term, node.name)
    }
    const ready = [...this.nodes.values()].filter(node => node.process.replica?.isReady() === true)
    if (ready.length > 1) this.violations.push(`two leaders have a valid lease: ${ready.map(node => node.name).join(', ')}`)
  }

  propose (command: string): void {
    const replica = this.leader()?.process.replica
    replica?.propose(command).then(() => {
      this.acknowledged.push(command)
      this.acknowledgedAt.set(command, this.clock.now())
    }, () => {})
  }

  /** Records a violation for each replica that claims to be current as of a time and lacks a command acknowledged before it. */
  checkCurrency (): void {
    const maxDelayMs = 2.5 * this.network.delayMs
    for (const node of this.nodes.values()) {
      const currentAt = node.process.replica?.lastCurrentAt() ?? -Infinity
      if (currentAt === -Infinity) continue
      const applied = new Set(node.process.applied)
      for (const [command, at] of this.acknowledgedAt) {
        if (at >= currentAt - maxDelayMs || applied.has(command)) continue
        const isKnown = this.violations.some(text => text.startsWith(`${node.name} is not current`))
        if (!isKnown) this.violations.push(`${node.name} is not current: it claims to be at ${Math.round(currentAt)} ms and lacks ${command}, acknowledged at ${Math.round(at)} ms`)
      }
    }
  }

  applied (name: string): string[] { return this.node(name).process.applied }

  private createStateMachine (process: Process): state.StateMachine {
    return {
      apply: command => { process.applied.push(command as string) },
      save: () => Buffer.from(JSON.stringify(process.applied)),
      restore: bytes => { process.applied.splice(0, Infinity, ...JSON.parse(Buffer.from(bytes).toString()) as string[]) }
    }
  }

  private async openStorage (node: Node, process: Process): Promise<state.Storage> {
    const { name, starts } = node
    const access: virtualDisks.Access = { sleep: async ms => { await this.sleep(ms) }, drawSyncMs: () => this.draw(this.syncMs), isDead: () => process.isDead }
    if (!this.usesFiles) {
      const faults = { isStalled: () => this.stalledDisks.has(name), isFull: () => this.fullDisks.has(name), isFaulty: () => this.faultyDisks.has(name) && this.random() < 0.5 }
      return virtualDisks.openValues(node.disk, access, faults, gap => { this.violations.push(`gap in the log of ${name}: ${gap}`) })
    }
    const files = virtualDisks.connectFiles(node.files, access, async operation => { await this.beforeFileOperation?.(name, starts, operation) })
    if (process.mayFound && this.maxFailedDisks !== undefined) await virtualDisks.markFirstStart(files, this.names, access.sleep)
    return await state.createFileStorage(virtualDisks.FOLDER, files)
  }

  private async call (from: string, caller: Process, to: string, msg: state.Rpc): Promise<state.RpcReply> {
    return await new Promise((resolve, reject) => {
      const isLost = (): boolean => this.random() < this.network.loss || this.network.isolated.has(from) || this.network.isolated.has(to) || this.network.brokenLinks.has([from, to].sort().join(' '))
      const failCall = (): void => { this.clock.schedule(this.callTimeoutMs, () => { if (!caller.isDead) reject(new Error('no reply')) }) }
      if (isLost()) {
        failCall()
        return
      }
      // A handler that waits for a stalled disk does not keep its caller waiting.
      this.clock.schedule(this.callTimeoutMs, () => { if (!caller.isDead) reject(new Error('no reply')) })
      const copy = structuredClone(msg)
      this.clock.schedule(this.randomDelayMs(), () => {
        const target = this.node(to).process
        const handled = target.replica?.handle(copy)
        if (handled === undefined) {
          failCall()
          return
        }
        handled.then(reply => {
          const missing = this.usesFiles ? undefined : this.node(to).disk.findMissing(reply)
          if (!target.isDead && missing !== undefined) this.violations.push(`${to} ${missing}`)
          if (target.isDead || isLost()) failCall()
          else this.clock.schedule(this.randomDelayMs(), () => { if (!caller.isDead) resolve(structuredClone(reply)) })
        }, failCall)
      })
    })
  }

  private randomDelayMs (): number { return this.network.delayMs * (0.5 + 2 * this.random()) }
}
