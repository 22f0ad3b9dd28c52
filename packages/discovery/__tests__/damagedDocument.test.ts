/** Documents that another instance sent damaged, and the memory of those that are retained. */
import * as ava from 'ava'
import * as contracts from '@kingcupdeck/contracts'
import * as telemetry from '@kingcupdeck/telemetry'
import * as documentFetchers from '../src/documentFetcher.js'
import * as documentHistories from '../src/documentHistory.js'

const test = ava.default

// Guards against a subscription that ends, with all records that came with it, because the document in the same reply is damaged.
test('a damaged document is ignored with a line in the log, and the next one applies', t => {
  const lines: string[] = []
  const accepted: number[] = []
  const fetcher = documentFetchers.createDocumentFetcher({
    controls: () => [],
    peerAddresses: () => [],
    getPeerLink: async () => { throw new Error('not used') },
    onDocument (document) { accepted.push(document.version) },
    budget: { tryReserve: () => true } as never,
    signal: new AbortController().signal,
    log: telemetry.createLog({ instance: 'test', json: true, write: line => { lines.push(line) } }),
    now: () => 0
  })
  const packed = contracts.packFull(contracts.toVersionedText(2, Buffer.from('text')))
  t.notThrows(() => { fetcher.accept({ ...packed, body: Buffer.from('damaged') }, 'a') })
  t.notThrows(() => { fetcher.accept({ ...packed, digest: 'other' }, 'a') })
  t.is(lines.filter(line => line.includes('"code":1614')).length, 2)
  fetcher.accept(packed, 'b')
  t.deepEqual(accepted, [2])
})

test('large documents are retained within a bound of bytes', t => {
  const history = documentHistories.createDocumentHistory()
  for (let version = 1; version <= 5; version++) history.add(contracts.toVersionedText(version, Buffer.alloc(4 * 1024 * 1024, version)))
  const bases = [1, 2, 3, 4].map(version => history.packSince(version)?.base !== '')
  t.deepEqual(bases, [false, false, false, true])
})
