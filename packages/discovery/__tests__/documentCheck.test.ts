/** Confirmation by control instances that a document is the latest. */
import * as ava from 'ava'
import * as documentChecks from '../src/documentCheck.js'

const test = ava.default

interface TestSource { source: documentChecks.CheckSource, asked: number }

function createSource (address: string, ask: () => Promise<boolean>): TestSource {
  const item: TestSource = {
    asked: 0,
    source: {
      address,
      async ask () {
        item.asked++
        return await ask()
      }
    }
  }
  return item
}

// Guards against control instances that are loaded by clients which ask for unknown paths.
test('requests at the same time share a confirmation', async t => {
  const source = createSource('c1', async () => true)
  let clock = 0
  const check = documentChecks.createDocumentCheck({ sources: () => [source.source], onFailure: () => {}, now: () => clock })
  for (; clock < 1000; clock += 10) {
    const results = await Promise.all(Array.from({ length: 20 }, check))
    t.true(results.every(isConfirmed => isConfirmed))
  }
  t.true(source.asked <= 2, `asked ${source.asked} times in a second`)
})

// Guards against control instances that are asked most while they start and confirm nothing yet.
test('a confirmation that failed is not repeated at once', async t => {
  const starting = createSource('c1', async () => false)
  let clock = 0
  const check = documentChecks.createDocumentCheck({ sources: () => [starting.source], onFailure: () => {}, now: () => clock })
  for (; clock < 1000; clock += 10) t.false(await check())
  t.true(starting.asked <= 4, `asked ${starting.asked} times in a second`)
})

// Guards against a rejection that rests on a control instance which is itself behind.
test('a control instance that is not current confirms nothing', async t => {
  const behind = createSource('c1', async () => false)
  const current = createSource('c2', async () => true)
  t.false(await documentChecks.createDocumentCheck({ sources: () => [behind.source], onFailure: () => {}, now: () => 0 })())
  t.true(await documentChecks.createDocumentCheck({ sources: () => [behind.source, current.source], onFailure: () => {}, now: () => 0 })())
})

// Guards against requests that wait for a control instance which is frozen.
test('another control instance is asked if one does not answer', async t => {
  const frozen = createSource('c1', async () => await new Promise(() => {}))
  const failing = createSource('c2', async () => { throw new Error('link closed') })
  const current = createSource('c3', async () => true)
  const failures: string[] = []
  const check = documentChecks.createDocumentCheck({
    sources: () => [frozen.source, failing.source, current.source],
    onFailure: address => { failures.push(address) },
    now: () => 0
  })
  t.true(await check())
  t.deepEqual(failures, ['c2'])
})

// Guards against an old confirmation: a reply counts from when the question was asked.
test('a confirmation expires, and a late one is as old as its question', async t => {
  let clock = 0
  const slow = createSource('c1', async () => {
    clock += 600
    return true
  })
  t.false(await documentChecks.createDocumentCheck({ sources: () => [slow.source], onFailure: () => {}, now: () => clock })())
})
