/** A replica whose data folder was cleared in part: by hand, or by a removal that was interrupted. */
import * as ava from 'ava'
import * as virtual from './helpers/virtualCluster.js'
import * as virtualDisks from './helpers/virtualDisk.js'

const test = ava.default
const FILES = ['meta', 'log', 'synced', 'committed', 'snapshot', 'founders', 'former']
const TIMING = { heartbeatMs: 200, electionMinMs: 700, electionMaxMs: 1300 }

/** Clears the folder of a founder but for some files, and starts it beside one that has the founding entry alone. @returns what is wrong */
async function clearFolder (left: readonly string[], numCommands: number): Promise<string[]> {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 7, 20, true)
  cluster.maxFailedDisks = 1
  cluster.usesFiles = true
  cluster.timing = TIMING
  for (const name of ['a', 'b']) void cluster.start(name)
  await cluster.clock.advance(3000)
  for (let i = 0; i < numCommands; i++) {
    cluster.propose(`command-${i}`)
    await cluster.clock.advance(50)
  }
  for (const name of ['a', 'b']) cluster.crash(name)
  void cluster.start('c')
  await cluster.clock.advance(300)
  const files = cluster.node('b').files.connect()
  for (const name of FILES) if (!left.includes(name)) await files.rm(`${virtualDisks.FOLDER}/${name}`, { force: true })
  void cluster.start('b', false)
  await cluster.clock.advance(15_000)
  const leader = cluster.leader()?.name
  if (leader !== undefined && cluster.acknowledged.some(command => !cluster.applied(leader).includes(command))) cluster.violations.push('a leader without the acknowledged commands')
  void cluster.start('a', false)
  await cluster.clock.advance(20_000)
  if (cluster.leader() === undefined) cluster.violations.push('no leader')
  if (cluster.acknowledged.length < numCommands / 2) cluster.violations.push('too few commands were acknowledged')
  if (cluster.acknowledged.some(command => !cluster.applied('b').includes(command))) cluster.violations.push('commands are lost')
  return cluster.violations
}

/** Clears a folder but for each file and each pair of files. @returns what is wrong, by what was left */
async function clearAll (names: readonly string[], numCommands: number): Promise<Record<string, string[]>> {
  const findings: Record<string, string[]> = {}
  for (const left of names.flatMap((first, i) => [[first], ...names.slice(i + 1).map(second => [first, second])])) {
    const violations = await clearFolder(left, numCommands)
    if (violations.length > 0) findings[left.join(' ')] = [...new Set(violations)]
  }
  return findings
}

// Guards against a founder that votes with the identity of a disk whose log was removed.
for (const numCommands of [3, 50]) {
  test(`metadata without its log is a damaged disk, after ${numCommands} commands`, async t => {
    t.deepEqual(await clearAll(FILES.filter(name => name !== 'founders'), numCommands), {})
  })
}

// Guards against a founder that founds once more because the mark of the first start is all that is left in its folder.
test('the mark of the first start does not outlast the metadata', async t => {
  for (const numCommands of [3, 50]) t.deepEqual(await clearAll(FILES, numCommands), {})
})
