/** What a replica that was told nothing needs to know before it claims the identity of a founder. */
import * as ava from 'ava'
import type * as state from '../src/index.js'
import * as foundings from '../src/founding.js'

const test = ava.default
const FOUNDERS = ['a', 'b', 'c']
const UNTOLD: state.Standing = { founders: null, seeds: FOUNDERS, term: 0, isMember: false, isFormer: false, mayHaveGroup: false }
const TOLD: state.Standing = { ...UNTOLD, founders: FOUNDERS, term: 3 }

function judge (heard: Record<string, state.Standing>, more: Partial<foundings.Evidence> = {}, heardAt = 0): foundings.Verdict {
  const { survey } = foundings.createStart(0)
  for (const [name, standing] of Object.entries(heard)) foundings.noteReply(survey, name, standing, false, heardAt)
  return foundings.judge({ self: 'c', seeds: FOUNDERS, survey, term: 1, isFormer: false, mayHaveGroup: false, maxFailedDisks: 1, now: heardAt, ...more })
}

// Guards against two votes of one founder in a term, by the disk that it lost and by the next one.
test('a claim has a term above those of all other founders and its own', t => {
  t.deepEqual(judge({ a: TOLD, b: UNTOLD }), { kind: 'claim', founders: FOUNDERS, term: 4 })
  t.deepEqual(judge({ a: TOLD, b: UNTOLD }, { term: 7 }), { kind: 'claim', founders: FOUNDERS, term: 8 })
})

// Guards against replicas that take the place of founders whose entries they have lost.
test('nothing is claimed while a founder may have taken part in a group', t => {
  const cases: Array<[string, Record<string, state.Standing>, Partial<foundings.Evidence>]> = [
    ['a founder is a member', { a: { ...TOLD, isMember: true }, b: UNTOLD }, {}],
    ['another replica is a member', { a: TOLD, b: UNTOLD, d: { ...UNTOLD, isMember: true } }, {}],
    ['the disk of a founder was damaged', { a: TOLD, b: { ...UNTOLD, isFormer: true } }, {}],
    ['the own disk was damaged', { a: TOLD, b: UNTOLD }, { isFormer: true }],
    ['a document is known to another founder', { a: TOLD, b: { ...UNTOLD, mayHaveGroup: true } }, {}],
    ['a document is known', { a: TOLD, b: UNTOLD }, { mayHaveGroup: true }],
    ['a founder does not reply', { a: TOLD }, {}],
    ['a founder has not replied for long', { a: TOLD, b: UNTOLD }, { now: 60_000 }],
    ['a quorum was told', { a: TOLD, b: TOLD }, {}],
    ['as many disks may be lost', { a: TOLD, b: UNTOLD }, { maxFailedDisks: 2 }],
    ['replicas were told different founders', { a: TOLD, b: UNTOLD, d: { ...TOLD, founders: ['c', 'd', 'e'] } }, {}],
    ['this replica is no founder', { a: TOLD, b: UNTOLD, c: UNTOLD }, { self: 'd' }]
  ]
  for (const [name, heard, more] of cases) t.is(judge(heard, more).kind, 'wait', name)
})

// Guards against an operator who looks for a machine that is down although its program has to be upgraded.
test('a founder of an earlier version is named as such', t => {
  const { survey } = foundings.createStart(0)
  foundings.noteReply(survey, 'a', undefined, false, 1000)
  const describeAt = (now: number): string => foundings.describe({ self: 'c', survey, now }, FOUNDERS)
  t.true(describeAt(1000).startsWith('a: earlier version, b: no reply, c: untold'))
  t.true(describeAt(5000).startsWith('a: no reply'))
  foundings.noteReply(survey, 'a', TOLD, false, 1500)
  t.true(describeAt(1600).startsWith('a: told'))
})

// Guards against a second group that replicas found which were never told anything, beside the one that they have not reached yet.
test('if nobody was told, all founders must be found untold for 10 s', t => {
  const { survey } = foundings.createStart(0)
  const judgeAt = (now: number, b: state.Standing | undefined): string => {
    foundings.noteReply(survey, 'a', UNTOLD, false, now)
    if (b !== undefined) foundings.noteReply(survey, 'b', b, false, now)
    return foundings.judge({ self: 'c', seeds: FOUNDERS, survey, term: 0, isFormer: false, mayHaveGroup: false, maxFailedDisks: 1, now }).kind
  }
  const results: string[] = []
  for (let now = 0; now <= 30_000; now += 1000) results.push(judgeAt(now, now === 9000 ? { ...UNTOLD, seeds: ['b', 'd', 'e'] } : UNTOLD))
  t.is(results.indexOf('claim'), 20)
  t.is(judgeAt(31_000, undefined), 'claim')
  for (let now = 32_000; now <= 60_000; now += 1000) t.is(judgeAt(now, now < 40_000 ? undefined : UNTOLD), now <= 33_000 || now >= 50_000 ? 'claim' : 'wait', `${now}`)
})

// Guards against a claim by what a founder said in a call that was sent before this replica lost its disk.
test('only replies to calls of this process are evidence', t => {
  const { survey } = foundings.createStart(0)
  for (const standing of [TOLD, UNTOLD]) foundings.noteStanding(survey, standing)
  t.is(foundings.judge({ self: 'c', seeds: FOUNDERS, survey, term: 0, isFormer: false, mayHaveGroup: false, maxFailedDisks: 1, now: 0 }).kind, 'wait')
})

// Guards against a second group founded by a replica that was frozen while the first one was founded.
test('a replica that was frozen looks for 10 s again', t => {
  const { survey } = foundings.createStart(0)
  const judgeAt = (now: number): string => {
    for (const name of ['a', 'b']) foundings.noteReply(survey, name, UNTOLD, false, now)
    return foundings.judge({ self: 'c', seeds: FOUNDERS, survey, term: 0, isFormer: false, mayHaveGroup: false, maxFailedDisks: 1, now }).kind
  }
  t.deepEqual([0, 1000, 3_600_000].map(judgeAt), ['wait', 'wait', 'wait'])
})

// Guards against a second group founded by a replica that has forgotten that it has heard of the first one.
test('a replica that has heard of a group never claims', t => {
  const { survey } = foundings.createStart(0)
  foundings.noteStanding(survey, { ...UNTOLD, isMember: true })
  for (const name of ['a', 'b', 'd']) foundings.noteReply(survey, name, UNTOLD, false, 100_000)
  t.is(foundings.judge({ self: 'c', seeds: FOUNDERS, survey, term: 0, isFormer: false, mayHaveGroup: false, maxFailedDisks: 0, now: 100_000 }).kind, 'wait')
  const earlier = foundings.createStart(0).survey
  foundings.noteReply(earlier, 'a', undefined, true, 0)
  t.true(earlier.hasSeenGroup, 'a member of an earlier version')
})
