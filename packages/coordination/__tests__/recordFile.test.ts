/** The file of records after power losses and stops. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import * as contracts from '@kingcupdeck/contracts'
import type * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as recordFiles from '../src/recordFile.js'

const test = ava.default
const log = telemetry.createLog({ instance: 'test', level: 'silent' })
const records: discovery.Record[] = [{ kind: 'endpoint', id: 'e1', startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 's', address: '10.0.0.1:80', slots: 8, coldMs: 0 }]

// A wrong address from a partially written file could send requests to a process of another service.
test('a damaged file is ignored', async t => {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'kcd-'))
  const file = recordFiles.createRecordFile(folder, () => records, log)
  file.save()
  await file.close()
  t.deepEqual(await recordFiles.createRecordFile(folder, () => [], log).load(), records)
  const text = await fs.readFile(path.join(folder, 'records'), 'utf8')
  await fs.writeFile(path.join(folder, 'records'), text.replace('10.0.0.1:80', '10.0.0.9:80'))
  t.deepEqual(await recordFiles.createRecordFile(folder, () => [], log).load(), [])
  await fs.rm(folder, { recursive: true })
})

// Guards against a control instance that cannot start because an earlier version wrote an odd record.
test('a file of odd records is read without them, and one that is no list as empty', async t => {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'kcd-'))
  const odd = [7, null, { ...records[0], id: 'a\n' }, { ...records[0], slots: 1e15 }, { ...records[0], startedAt: Number.MAX_SAFE_INTEGER }]
  const load = async (text: string): Promise<discovery.Record[]> => {
    await fs.writeFile(path.join(folder, 'records'), `${contracts.sha256(text)}\n${text}`)
    return await recordFiles.createRecordFile(folder, () => [], log).load()
  }
  t.deepEqual(await load(JSON.stringify([...odd, ...records])), records)
  for (const text of ['{"a":1}', '7', 'null', '[', '', '['.repeat(100_000)]) t.deepEqual(await load(text), [], text.slice(0, 20))
  await fs.rm(folder, { recursive: true })
})

test('drawn content of a file never fails a start, and the good records are read', async t => {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'kcd-'))
  const fields = ['id', 'startedAt', 'seq', 'zone', 'state', 'service', 'address', 'slots', 'coldMs', 'kind', '__proto__']
  const odd = fc.oneof(fc.json(), fc.tuple(fc.constantFrom(...fields), fc.json()).map(([field, value]) => JSON.stringify({ ...records[0], id: 'odd' }).replace(/}$/, () => `,"${field}":${value}}`)))
  await fc.assert(fc.asyncProperty(fc.array(odd, { minLength: 1, maxLength: 4 }), fc.boolean(), async (items, isCut) => {
    const text = `[${[...items, JSON.stringify(records[0])].join()}${isCut ? '' : ']'}`
    await fs.writeFile(path.join(folder, 'records'), `${contracts.sha256(text)}\n${text}`)
    const loaded = await recordFiles.createRecordFile(folder, () => [], log).load()
    t.deepEqual(loaded.filter(item => item.id === 'e1').slice(-1), isCut ? [] : records)
  }), { seed: 67, numRuns: 200 })
  await fs.rm(folder, { recursive: true })
})

// A stopped instance must not write while its successor uses the same disk.
test('nothing is written after the stop', async t => {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'kcd-'))
  const file = recordFiles.createRecordFile(folder, () => records, log)
  await file.close()
  file.save()
  await new Promise(resolve => { setTimeout(resolve, 200) })
  t.deepEqual(await fs.readdir(folder), [])
  await fs.rm(folder, { recursive: true })
})

// Guards against a restart with old records because the disk was full when they changed.
test('a failed write is repeated without a further change', async t => {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'kcd-'))
  const blocked = path.join(folder, 'records.new')
  await fs.mkdir(blocked)
  const file = recordFiles.createRecordFile(folder, () => records, log)
  file.save()
  await new Promise(resolve => { setTimeout(resolve, 200) })
  t.deepEqual(await file.load(), [])
  await fs.rmdir(blocked)
  for (let i = 0; i < 100 && (await file.load()).length === 0; i++) await new Promise(resolve => { setTimeout(resolve, 50) })
  t.deepEqual(await file.load(), records)
  await file.close()
  await fs.rm(folder, { recursive: true })
})
