/** The handout file of a control instance. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as handoutFiles from '../src/handoutFile.js'

const test = ava.default
const WAIT_MS = 5000

function toReply (version: number): discovery.DiscoveryReply {
  return { records: null, controls: [], version, document: contracts.packFull(contracts.toVersionedText(version, Buffer.from('{}'))) }
}

async function readVersion (folder: string, atLeast: number): Promise<number> {
  for (const deadline = performance.now() + WAIT_MS; performance.now() < deadline;) {
    const body = discovery.readHandout(folder)
    const version = body === undefined ? 0 : discovery.decodeReply(body).version
    if (version >= atLeast) return version
    await timers.setTimeout(20)
  }
  return 0
}

function makeFolder (t: ava.ExecutionContext): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'handout-file-'))
  t.teardown(() => { fs.rmSync(folder, { recursive: true, force: true }) })
  return folder
}

test('consecutive changes are written together, the latest one last', async t => {
  const folder = makeFolder(t)
  let version = 0
  let packCount = 0
  const file = handoutFiles.createHandoutFile(folder, () => {
    packCount++
    return toReply(version)
  }, telemetry.createLog({ instance: 'test', level: 'silent' }))
  for (version = 1; version < 30; version++) file.save()
  version = 29
  t.is(await readVersion(folder, 29), 29)
  await file.close()
  t.true(packCount <= 2, 'changes are written together')
})

// An uncaught error of a failed write would end the process.
test('a failed write is logged', async t => {
  const lines: string[] = []
  const file = handoutFiles.createHandoutFile(path.join(makeFolder(t), 'gone'), () => toReply(1), telemetry.createLog({ instance: 'test', json: true, write: line => { lines.push(line) } }))
  file.save()
  await file.close()
  t.true(lines.some(line => line.includes('recordsNotKept')))
  t.is(lines.filter(line => line.includes('uncaught')).length, 0)
})
