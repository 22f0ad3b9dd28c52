/**
 * Two core machines of five miss many changes and return. With TROUBLE, each process is killed once while it catches up, and is back at
 * once. At the end all processes of the core are killed at the same moment and one machine loses its disk: what was acknowledged must be
 * read back.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as fleets from '../lib-2/fleet.mjs'
import * as records from '../lib-2/record.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const CHANGES = 160
const MAX_ROUNDS = 5
/** `recoveryS` of the site, after all are back, and as much again. */
const READ_S = 24
const KILLER = path.join(import.meta.dirname, '../lib-2/killOnReplace.mjs')

const record = records.openRecord(import.meta.url)

const toDocument = version => ({
  version,
  routes: [{ name: 'r', host: 'case.example', pathPrefix: '/r/', kind: 'safe', timeoutMs: 1000 + version, targetLatencyMs: 200, priority: 0, service: 's', maxAttempts: 2, authExempt: false, sticky: false, resumable: false }],
  services: [{ name: 's', healthPath: '/health', maxConns: 110, protocol: 'h1', tls: false }],
  limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
  tenants: [{ name: 't', apiKeys: ['key'], priority: 1 }]
})

await records.runCase(record, async track => {
  const fleet = track(await fleets.startFleet({ controls: 5, entries: 1 }))
  const { controls } = fleet
  const away = controls.slice(3)
  let version = 0

  /** Sends one change, to the machines in turn, until it is acknowledged. */
  const change = async () => {
    version++
    const body = JSON.stringify(toDocument(version))
    for (let i = 0; i < 200; i++) {
      const control = controls[i % 3]
      const answer = await fleets.call('PUT', `http://${control.ip}:${fleets.PORTS.control}/-/config`, body).catch(() => undefined)
      if (answer?.status === 200) return
      await fleets.sleep(50)
    }
    throw new Error(`version ${version} was not acknowledged`)
  }

  /** Returns the newest version that any machine answers a read with, undefined if none answers. */
  const read = async () => {
    const versions = await Promise.all(controls.map(async ({ ip }) => {
      const answer = await fleets.call('GET', `http://${ip}:${fleets.PORTS.control}/-/config`, '', 2000).catch(() => undefined)
      return answer?.status === 200 ? JSON.parse(answer.body).version : undefined
    }))
    return versions.reduce((newest, item) => item === undefined || newest > item ? newest : item, undefined)
  }

  const toInode = (machine, name) => fs.statSync(path.join(fleet.folder, machine.name, 'data/document', name), { throwIfNoEntry: false })?.ino ?? 0

  const waitFor = async (condition, what) => {
    for (let i = 0; !condition(); i++) {
      if (i === 150) throw new Error(`${what} did not happen`)
      await fleets.sleep(100)
    }
  }

  /** Starts a machine and kills it as soon as it has stored a snapshot. @returns whether its log was still the one of before */
  const startAndKill = async machine => {
    const [log, snapshot] = [toInode(machine, 'log'), toInode(machine, 'snapshot')]
    fleet.start(machine)
    machine.isEndExpected = true
    const killer = childProcess.spawn(process.execPath, [KILLER, String(machine.child.pid), path.join(fleet.folder, machine.name, 'data/document/snapshot'), String(snapshot)])
    await new Promise(resolve => { killer.once('exit', resolve) })
    await fleet.kill(machine)
    return toInode(machine, 'log') === log
  }

  await change()
  // All five are voters before anything is disrupted.
  const countVoters = () => new Set([...controls.map(item => fleet.readLog(item)).join('\n').matchAll(/"event":"votersChanged".*?"voters":"([^"]*)"/g)].map(match => match[1].split(' ').length)).has(5)
  await waitFor(countVoters, 'the join of all five core machines')
  await change()
  await fleets.sleep(1000)

  let unmet = away
  for (let round = 1; unmet.length > 0; round++) {
    if (round > MAX_ROUNDS) throw new Error('the kills never met the moment')
    await Promise.all(away.map(fleet.kill))
    record.write(`killed ${away.map(item => item.name).join(' and ')}, then ${CHANGES} changes`)
    for (let i = 0; i < CHANGES; i++) await change()
    record.write(`version ${version} acknowledged`)
    if (!HAS_TROUBLE) break
    for (const machine of unmet) {
      const isMet = await startAndKill(machine)
      record.write(`${machine.name} was killed while it caught up${isMet ? '' : ', but too late'}`)
      if (isMet) unmet = unmet.filter(item => item !== machine)
    }
  }
  for (const machine of away) fleet.start(machine)
  record.write(`${away.map(item => item.name).join(' and ')} are back`)
  await fleets.sleep(5000)
  await change()
  await change()
  record.write(`version ${version} acknowledged; read back: ${await read()}`)
  await fleets.sleep(5000)

  await Promise.all(controls.map(fleet.kill))
  fs.rmSync(path.join(fleet.folder, controls[1].name, 'data'), { recursive: true })
  record.write(`all processes of the core were killed, and ${controls[1].name} lost its disk`)
  await fleets.sleep(500)
  for (const machine of controls) fleet.start(machine)
  const until = performance.now() + READ_S * 1000
  let found
  while (performance.now() < until && !(found >= version)) {
    found = await read()
    await fleets.sleep(500)
  }
  record.write(`read back after the final fault: version ${found}, acknowledged was ${version}`)
  for (const machine of controls) {
    const damaged = /.*"event":"logDamaged".*/.exec(fleet.readLog(machine))
    if (damaged !== null) record.write(`log of ${machine.name}: ${damaged[0]}`)
  }
  return !(found >= version)
})
