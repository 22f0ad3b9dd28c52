/** First starts on disks that refuse an operation, delay it, never complete it, or whose process ends between two operations. */
import * as ava from 'ava'
import * as virtual from './helpers/virtualCluster.js'
import * as virtualDisks from './helpers/virtualDisk.js'

const test = ava.default
/** One operation in so many is tried; 1 for all. */
const STRIDE = Number(process.env.KINGCUPDECK_FOUNDING_STRIDE ?? 3)
/** More than the founding takes, with the mark of the first start and the first entries. */
const OPERATIONS = 96
/** Each founder performs so many before the group has a leader. */
const FOUNDING_OPERATIONS = 38
const TIMING = { heartbeatMs: 200, electionMinMs: 700, electionMaxMs: 1300 }
/** Time after which there is a leader once a majority can write, milliseconds. */
const LEADER_MS = 20_000
const NEVER = new Promise<never>(() => {})

type Kind = 'refused' | 'slow' | 'stuck' | 'killed' | 'power'

interface Case { kind: Kind, operation: number, /** Founders whose disk has the fault, each in its first process. */ faulty: string[], isTold: boolean }

function createCluster (seed: number): virtual.VirtualCluster {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], seed, 20, true)
  cluster.maxFailedDisks = 1
  cluster.usesFiles = true
  cluster.restartsFailed = true
  cluster.timing = TIMING
  cluster.syncMs = { min: 1, max: 20 }
  return cluster
}

/** Plays a first start. @returns what is wrong */
async function play ({ kind, operation, faulty, isTold }: Case): Promise<string[]> {
  const cluster = createCluster(operation + 1)
  const hit = new Set<string>()
  const restart = (name: string): void => { cluster.clock.schedule(100, () => { if (!cluster.isUp(name)) void cluster.start(name, isTold) }) }
  const end = (name: string): void => {
    if (kind === 'power') cluster.losePower(name, 'drawn')
    else cluster.crash(name)
    restart(name)
  }
  cluster.beforeFileOperation = async (name, start, at) => {
    if (at !== operation || hit.has(name) || !faulty.includes(name)) return
    hit.add(name)
    switch (kind) {
      case 'refused': throw Object.assign(new Error('input/output error'), { code: 'EIO' })
      case 'slow': return await new Promise(resolve => { cluster.clock.schedule(100 + operation * 50, resolve) })
      case 'stuck':
        // The only one stays stuck: the others are a majority.
        if (faulty.length > 1) cluster.clock.schedule(3000, () => { end(name) })
        return await NEVER
      case 'killed':
      case 'power': end(name)
    }
  }
  for (const name of cluster.names) void cluster.start(name)
  let ms = 0
  for (; ms < LEADER_MS && !cluster.acknowledged.includes('first'); ms += 50) {
    if (ms % 300 === 0) cluster.propose('first')
    await cluster.clock.advance(50)
    cluster.checkLeaders()
  }
  if (operation < FOUNDING_OPERATIONS && hit.size < faulty.length) cluster.violations.push('the fault was not met')
  if (!cluster.acknowledged.includes('first')) cluster.violations.push(`no command acknowledged after ${ms} ms`)
  for (const name of cluster.names) end(name)
  await cluster.clock.advance(8000)
  cluster.checkLeaders()
  for (const name of cluster.names) if (!cluster.applied(name).includes('first')) cluster.violations.push(`${name} lacks the command`)
  return cluster.violations.map(text => `${kind} at operation ${operation} of ${faulty.join(' ')}: ${text}`)
}

// Guards against a group that is never founded, or that loses a command, because a disk fails in the middle of the founding's own files.
for (const kind of ['refused', 'slow', 'stuck', 'killed', 'power'] as const) {
  test(`a group is founded although an operation is ${kind} on the disks of some founders`, async t => {
    const violations: string[] = []
    for (const [i, faulty] of [['a'], ['b', 'c'], ['a', 'b', 'c']].entries()) {
      for (let operation = i; operation < OPERATIONS; operation += STRIDE) violations.push(...await play({ kind, operation, faulty, isTold: operation % 2 === 0 }))
    }
    t.deepEqual(violations.slice(0, 8), [])
  })
}

/** More than the removal of a damaged state takes, with the new identity and the first entries. */
const REMOVAL_OPERATIONS = 60
/** Each removal performs so many. */
const MIN_REMOVAL_OPERATIONS = 30

// Guards against a replica that takes up its former identity, or none, because its process ends while it removes damaged state.
for (const [file, losesPower] of [['log', false], ['meta', false], ['meta', true], ['log', true]] as const) {
  test(`a replica whose removal of a damaged ${file} is interrupted${losesPower ? ' by a power loss' : ''} is admitted again`, async t => {
    const violations: string[] = []
    for (let operation = 0; operation < REMOVAL_OPERATIONS; operation += STRIDE) {
      const cluster = createCluster(operation + 1)
      for (const name of cluster.names) void cluster.start(name)
      await cluster.clock.advance(3000)
      cluster.propose('first')
      await cluster.clock.advance(500)
      const leader = cluster.leader()?.name ?? ''
      const damaged = cluster.names.find(name => name !== leader) ?? ''
      cluster.crash(damaged)
      cluster.node(damaged).files.put(`${virtualDisks.FOLDER}/${file}`, Buffer.alloc(200, 'x'))
      const startOfRemoval = cluster.node(damaged).starts + 1
      let isHit = false
      cluster.beforeFileOperation = async (name, start, at) => {
        if (name !== damaged || start !== startOfRemoval || at !== operation) return
        isHit = true
        if (losesPower) cluster.losePower(name, 'drawn')
        else cluster.crash(name)
        cluster.clock.schedule(100, () => { void cluster.start(name, false) })
      }
      void cluster.start(damaged, false)
      await cluster.clock.advance(10_000)
      cluster.propose('last')
      await cluster.clock.advance(1000)
      if (operation < MIN_REMOVAL_OPERATIONS && !isHit) cluster.violations.push('the process was not ended')
      const voters = cluster.leader()?.process.replica?.status().voters ?? []
      if (voters.length !== 3 || voters.some(id => id === `${damaged}#${voters[0].split('#')[1]}`)) cluster.violations.push(`voters: ${voters.join(' ')}`)
      for (const command of ['first', 'last']) if (!cluster.acknowledged.includes(command) || !cluster.applied(damaged).includes(command)) cluster.violations.push(`${command} is missing`)
      violations.push(...cluster.violations.map(text => `operation ${operation}: ${text}`))
    }
    t.deepEqual(violations.slice(0, 8), [])
  })
}
