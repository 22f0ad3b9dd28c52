/** Plays the first start of a group under a plan of faults, on virtual time. */
import * as virtual from './virtualCluster.js'
import * as virtualDisks from './virtualDisk.js'

const TIMING = { heartbeatMs: 200, electionMinMs: 700, electionMaxMs: 1300 }
/** Time after which there is a leader once all are up and connected, milliseconds. */
const LEADER_MS = 20_000
const FILES = ['meta', 'log', 'synced', 'committed', 'snapshot', 'founders', 'former']

export type Kind = 'kill' | 'killAll' | 'wipe' | 'damage' | 'clear' | 'isolate' | 'cut' | 'noise' | 'replace' | 'seeds'

export interface Fault { at: number, kind: Kind, target: number, other: number, downMs: number, isTold: boolean, losesPower: boolean }

/** The end of a process in its first moments. */
export interface EarlyEnd { afterMs: number, downMs: number, isTold: boolean }

export type DiskFaultKind = 'refused' | 'slow' | 'stuck' | 'killed'

/** What becomes of one file operation of a machine. */
export interface DiskFault { target: number, /** Which of its processes, from 1. */ start: number, /** Which operation of this process. */ operation: number, kind: DiskFaultKind, /** How long it is slow, or until the process is killed. */ ms: number, isTold: boolean, losesPower: boolean }

export interface Plan { numFounders: number, numOthers: number, usesFiles: boolean, startMs: number[], earlyEnds: Array<EarlyEnd | null>, faults: Fault[], diskFaults: DiskFault[], seed: number, /** Whether the members are the founders for good. Default: false. */ isFixed?: boolean }

/** A first start of a group under a plan, and what its rules allow next. */
export class Play {
  readonly cluster: virtual.VirtualCluster
  readonly retired = new Set<string>()
  /** Machines that have lost their disk and are not voters again. */
  readonly lost = new Set<string>()
  /** Whether a disk was lost while the group could not spare one: nothing may go wrong, but the group may have no leader. */
  isBeyondBudget = false
  private readonly started = new Set<string>()
  /** Acknowledged commands that no disk holds any more: no group can have them. */
  readonly destroyed = new Set<string>()
  private numAdded = 0
  private history: string[] = []

  constructor (private readonly plan: Plan) {
    const names = ['a', 'b', 'c', 'd', 'e'].slice(0, plan.numFounders)
    this.cluster = new virtual.VirtualCluster(names, plan.seed, 20, plan.isFixed !== true)
    // Three founders, too, may be part of a fleet that may lose two disks.
    this.cluster.maxFailedDisks = plan.numFounders === 5 || (plan.numFounders === 3 && plan.seed % 2 === 1) ? 2 : plan.numFounders === 1 ? 0 : 1
    this.cluster.usesFiles = plan.usesFiles
    this.cluster.timing = TIMING
    this.cluster.syncMs = { min: 1, max: 20 }
    this.cluster.restartsFailed = true
    this.cluster.beforeFileOperation = async (name, start, operation) => { await this.disturb(name, start, operation) }
  }

  private names (): string[] { return [...this.cluster.nodes.keys()].filter(name => !this.retired.has(name)) }

  private schedule (ms: number, run: () => void): void { this.cluster.clock.schedule(ms, run) }

  private isVoterAgain (name: string): boolean {
    const incarnation = this.cluster.node(name).process.replica?.status()
    const voters = this.cluster.leader()?.process.replica?.status().voters ?? []
    return incarnation !== undefined && incarnation.role !== 'learner' && voters.filter(id => id.startsWith(`${name}#`)).length === 1 && incarnation.voters.length === voters.length && incarnation.commit > 1
  }

  private startMachine (name: string, isTold: boolean): void {
    if (this.retired.has(name) || this.cluster.isUp(name)) return
    this.started.add(name)
    void this.cluster.start(name, isTold && !this.lost.has(name))
  }

  private startFirst (name: string, end: EarlyEnd | null): void {
    this.startMachine(name, true)
    if (end === null) return
    this.schedule(end.afterMs, () => { this.kill(name, false) })
    this.schedule(end.afterMs + end.downMs, () => { this.startMachine(name, end.isTold) })
  }

  private kill (name: string, losesPower: boolean): void {
    if (losesPower && this.plan.usesFiles) this.cluster.losePower(name, 'drawn')
    else this.cluster.crash(name)
  }

  private async disturb (name: string, start: number, operation: number): Promise<void> {
    const names = [...this.cluster.nodes.keys()]
    const item = this.plan.diskFaults.find(other => names[other.target % names.length] === name && other.start === start && other.operation === operation)
    if (item === undefined) return
    const end = (): void => {
      if (!this.cluster.isUp(name) || this.cluster.node(name).starts !== start) return
      this.kill(name, item.losesPower)
      this.schedule(50, () => { this.startMachine(name, item.isTold) })
    }
    switch (item.kind) {
      case 'refused': throw Object.assign(new Error('input/output error'), { code: 'EIO' })
      case 'slow': return await new Promise(resolve => { this.schedule(item.ms, resolve) })
      case 'stuck':
        this.schedule(item.ms, end)
        return await new Promise(() => {})
      case 'killed': end()
    }
  }

  /** Fills an existing file with what it never held. */
  private async damage (name: string, file: string): Promise<void> {
    const { files } = this.cluster.node(name)
    const content = await files.connect().readFile(`${virtualDisks.FOLDER}/${file}`).catch(() => Buffer.alloc(0))
    if (content.length > 0) files.put(`${virtualDisks.FOLDER}/${file}`, Buffer.alloc(content.length, 'x'))
  }

  /** Removes the files of a replica, in any order, but for those whose bit is set. */
  private async clear (name: string, left: number): Promise<void> {
    const files = this.cluster.node(name).files.connect()
    for (const [i, file] of FILES.entries()) if ((left >> i) % 2 === 0) await files.rm(`${virtualDisks.FOLDER}/${file}`, { force: true })
  }

  private mayLoseDisk (name: string): boolean {
    for (const other of this.lost) if (this.isVoterAgain(other)) this.lost.delete(other)
    return !this.lost.has(name) && this.lost.size < (this.cluster.maxFailedDisks ?? 0)
  }

  private isHeldBy (name: string, command: string): boolean {
    const { files, disk } = this.cluster.node(name)
    return this.plan.usesFiles ? files.holds(command) : disk.holds(command)
  }

  private noteLostDisk (name: string): void {
    this.lost.add(name)
    const others = this.names().filter(other => other !== name)
    for (const command of this.cluster.acknowledged) if (!others.some(other => this.isHeldBy(other, command))) this.destroyed.add(command)
    // What was committed behind them is lost too.
    if (this.destroyed.size > 0) this.history = []
    const voters = this.cluster.leader()?.process.replica?.status().voters ?? []
    const isComplete = this.names().every(other => other === name || this.isVoterAgain(other))
    // Replaced machines may still be voters, which cannot reply.
    const numLeft = voters.map(id => id.split('#')[0]).filter(other => other !== name && !this.retired.has(other) && this.cluster.isUp(other)).length
    const hasSpare = numLeft > voters.length / 2
    if (!isComplete || !hasSpare) this.isBeyondBudget = true
  }

  inject (item: Fault): void {
    const { cluster } = this
    const names = this.names()
    const name = names[item.target % names.length]
    const other = names[item.other % names.length]
    switch (item.kind) {
      case 'kill':
        if (!this.started.has(name)) return
        this.kill(name, item.losesPower)
        return this.schedule(item.downMs, () => { this.startMachine(name, item.isTold) })
      case 'killAll':
        for (const each of names) {
          if (!this.started.has(each)) continue
          this.kill(each, item.losesPower)
          this.schedule(item.downMs + each.charCodeAt(0) % 7 * 30, () => { this.startMachine(each, item.isTold) })
        }
        return
      case 'wipe':
        if (!this.started.has(name) || !this.mayLoseDisk(name)) return
        this.noteLostDisk(name)
        cluster.wipe(name)
        return this.schedule(item.downMs, () => { this.startMachine(name, false) })
      case 'damage':
      case 'clear':
        if (!this.plan.usesFiles || !this.started.has(name) || !this.mayLoseDisk(name)) return
        this.noteLostDisk(name)
        cluster.crash(name)
        cluster.node(name).process.applied = []
        if (item.kind === 'clear') void this.clear(name, item.at % 2 ** FILES.length)
        else void this.damage(name, ['meta', 'log', 'snapshot'][item.other % 3])
        return this.schedule(item.downMs, () => { this.startMachine(name, false) })
      case 'isolate':
        cluster.network.isolated.add(name)
        return this.schedule(item.downMs, () => { cluster.network.isolated.delete(name) })
      case 'cut': {
        const link = [name, other].sort().join(' ')
        if (name !== other) cluster.network.brokenLinks.add(link)
        return this.schedule(item.downMs, () => { cluster.network.brokenLinks.delete(link) })
      }
      case 'noise':
        cluster.network.loss = 0.2
        cluster.network.delayMs = 40
        return this.schedule(item.downMs, () => {
          cluster.network.loss = 0
          cluster.network.delayMs = 3
        })
      case 'replace':
        // Machines are replaced once there is a group that can spare one.
        if (this.plan.isFixed === true || cluster.leader() === undefined || !this.mayLoseDisk(name) || this.numAdded >= 2 || names.length < 4) return
        this.noteLostDisk(name)
        this.retired.add(name)
        cluster.crash(name)
        return this.schedule(item.downMs, () => {
          const fresh = `n${this.numAdded++}`
          this.lost.delete(name)
          this.lost.add(fresh)
          void cluster.add(fresh, false)
          this.started.add(fresh)
          cluster.seeds = [...new Set([fresh, ...this.names()])].slice(0, 3)
        })
      case 'seeds':
        if (this.plan.isFixed !== true && cluster.leader() !== undefined) cluster.seeds = [...names.slice(item.target % names.length), ...names].slice(0, 3)
    }
  }

  private check (): void {
    const { cluster } = this
    cluster.checkLeaders()
    for (const name of cluster.nodes.keys()) {
      const applied = cluster.applied(name)
      const common = Math.min(applied.length, this.history.length)
      for (let i = 0; i < common; i++) if (applied[i] !== this.history[i]) cluster.violations.push(`${name} has another command ${i}: ${applied[i]}, not ${this.history[i]}`)
      if (applied.length > this.history.length) this.history = [...applied]
    }
  }

  async run (): Promise<void> {
    const { cluster, plan } = this
    for (const name of ['v', 'w'].slice(0, plan.isFixed === true ? 0 : plan.numOthers)) {
      await cluster.add(name)
      cluster.crash(name)
    }
    for (const [i, name] of [...cluster.nodes.keys()].entries()) this.schedule(plan.startMs[i], () => { this.startFirst(name, plan.earlyEnds[i]) })
    const queue = [...plan.faults].sort((a, b) => a.at - b.at)
    for (let at = 0, n = 0; at < 30_000; at += 10) {
      while (queue.length > 0 && queue[0].at <= at) this.inject(queue.shift() as Fault)
      await cluster.clock.advance(10)
      if (at % 50 === 0) this.check()
      if (at % 300 === 0) cluster.propose(`command-${n++}`)
    }
    await cluster.clock.advance(15_000)
    for (const name of this.names()) this.startMachine(name, false)
    cluster.network.isolated.clear()
    cluster.network.brokenLinks.clear()
    cluster.network.loss = 0
    for (let at = 0; at < LEADER_MS && cluster.leader() === undefined; at += 50) {
      await cluster.clock.advance(50)
      this.check()
    }
  }

  /** @returns what is wrong at the end */
  async judge (): Promise<string[]> {
    const { cluster } = this
    const leader = cluster.leader()
    if (leader === undefined && !this.isBeyondBudget) cluster.violations.push(`no leader: ${cluster.reports.slice(-3).map(item => `${item.name}: ${item.missing}`).join(' | ')}`)
    cluster.propose('last')
    for (let at = 0; at < 15_000; at += 100) {
      await cluster.clock.advance(100)
      this.check()
    }
    if (leader !== undefined && !cluster.acknowledged.includes('last') && !this.isBeyondBudget) cluster.violations.push('the last command is not acknowledged')
    const known = new Set(this.history)
    if (cluster.leader() !== undefined) for (const command of cluster.acknowledged) if (!known.has(command) && !this.destroyed.has(command)) cluster.violations.push(`${command} was acknowledged and is lost`)
    const leading = cluster.leader()
    if (leading !== undefined) for (const command of cluster.acknowledged) if (!cluster.applied(leading.name).includes(command) && !this.destroyed.has(command)) cluster.violations.push(`the leader lacks ${command}, which was acknowledged`)
    return cluster.violations
  }
}
