/** First starts under drawn kills, faulty, damaged and lost disks, partitions, power losses, replaced machines and changed seeds, on virtual time. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import * as plays from './helpers/firstStartPlay.js'

const test = ava.default
const RUNS = Number(process.env.KINGCUPDECK_FOUNDINGS ?? 25)
const SEED = Number(process.env.KINGCUPDECK_FOUNDINGS_SEED ?? 20_261_206)
const fault = fc.record<plays.Fault>({
  at: fc.oneof(fc.integer({ min: 0, max: 80 }), fc.integer({ min: 0, max: 3000 }), fc.integer({ min: 0, max: 25_000 })),
  kind: fc.constantFrom<plays.Kind>('kill', 'kill', 'kill', 'killAll', 'wipe', 'wipe', 'damage', 'clear', 'isolate', 'cut', 'noise', 'replace', 'seeds'),
  target: fc.nat(6),
  other: fc.nat(6),
  downMs: fc.oneof(fc.integer({ min: 20, max: 400 }), fc.integer({ min: 20, max: 15_000 })),
  isTold: fc.boolean(),
  losesPower: fc.boolean()
})

const diskFault = fc.record<plays.DiskFault>({
  target: fc.nat(6),
  start: fc.constantFrom(1, 1, 1, 2, 2, 3, 4),
  operation: fc.integer({ min: 0, max: 80 }),
  kind: fc.constantFrom<plays.DiskFaultKind>('refused', 'slow', 'stuck', 'killed', 'killed'),
  ms: fc.integer({ min: 100, max: 5000 }),
  isTold: fc.boolean(),
  losesPower: fc.boolean()
})

const plans: fc.Arbitrary<plays.Plan> = fc.record({
  numFounders: fc.constantFrom(3, 3, 3, 5, 2, 1),
  numOthers: fc.nat(2),
  usesFiles: fc.boolean(),
  startMs: fc.array(fc.oneof({ weight: 4, arbitrary: fc.integer({ min: 0, max: 300 }) }, { weight: 1, arbitrary: fc.integer({ min: 0, max: 20_000 }) }), { minLength: 7, maxLength: 7 }),
  earlyEnds: fc.array(fc.option(fc.record({ afterMs: fc.integer({ min: 0, max: 25 }), downMs: fc.integer({ min: 20, max: 500 }), isTold: fc.boolean() }), { freq: 2 }), { minLength: 7, maxLength: 7 }),
  faults: fc.array(fault, { minLength: 1, maxLength: 12 }),
  diskFaults: fc.array(diskFault, { maxLength: 8 }),
  seed: fc.integer({ min: 1, max: 1e6 }),
  isFixed: fc.constantFrom(false, false, true)
})

const totals = { plans: 0, claims: 0, beyond: 0, withoutLeader: 0 }

// Guards against two groups, two leaders in a term, lost commands, and a group that is never founded.
test('a group is founded once under drawn faults', async t => {
  await fc.assert(fc.asyncProperty(plans, async plan => {
    const play = new plays.Play(plan)
    await play.run()
    const violations = await play.judge()
    totals.plans++
    if (play.cluster.claims.length > 0) totals.claims++
    if (play.isBeyondBudget) totals.beyond++
    if (play.cluster.leader() === undefined) totals.withoutLeader++
    if (violations.length > 0) throw new Error([...new Set(violations)].slice(0, 6).join('\n'))
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true, includeErrorInReport: true })
  t.log(JSON.stringify(totals))
  t.pass()
})

// Guards against a replica that replaces its former self, which is still a voter, and yields to its own requests and messages for ever.
test('a replica is elected beside its earlier incarnation', async t => {
  const play = new plays.Play({
    numFounders: 3,
    numOthers: 1,
    usesFiles: true,
    startMs: [97, 211, 4, 33, 9883, 1, 98],
    earlyEnds: [{ afterMs: 2, downMs: 423, isTold: false }, null, null, { afterMs: 7, downMs: 45, isTold: true }, { afterMs: 5, downMs: 381, isTold: true }, { afterMs: 20, downMs: 230, isTold: true }, null],
    faults: [
      { at: 13321, kind: 'kill', target: 4, other: 2, downMs: 4426, isTold: false, losesPower: true },
      { at: 1224, kind: 'killAll', target: 1, other: 5, downMs: 329, isTold: false, losesPower: true },
      { at: 61, kind: 'kill', target: 1, other: 1, downMs: 9053, isTold: false, losesPower: false }
    ],
    diskFaults: [],
    seed: 851900
  })
  await play.run()
  t.deepEqual(await play.judge(), [])
})

// Guards against a check that blames a founding for commands whose disks are all lost while the other founder was never up.
test('a group is founded anew only by founders that no disk of the former group is left to', async t => {
  let destroyed = 0
  for (let seed = 7037; seed < 7057; seed += 2) {
    const play = new plays.Play({
      numFounders: 3,
      numOthers: 2,
      usesFiles: true,
      startMs: [19990, 106, 171, 11792, 7650, 19735, 9],
      earlyEnds: [{ afterMs: 23, downMs: 27, isTold: true }, null, null, null, null, null, null],
      faults: [
        { at: 54, kind: 'noise', target: 0, other: 1, downMs: 14907, isTold: false, losesPower: true },
        { at: 5438, kind: 'wipe', target: 1, other: 6, downMs: 331, isTold: false, losesPower: false },
        { at: 10488, kind: 'wipe', target: 2, other: 4, downMs: 12551, isTold: true, losesPower: true }
      ],
      diskFaults: [],
      seed
    })
    await play.run()
    t.deepEqual(await play.judge(), [])
    destroyed += play.destroyed.size
  }
  t.true(destroyed > 0)
})

// Guards against a group that commits nothing any more because a learner is admitted that has just lost its disk, beside its dead former self.
test('a learner that has lost its disk is not admitted', async t => {
  const play = new plays.Play({
    numFounders: 3,
    numOthers: 1,
    usesFiles: true,
    startMs: [277, 221, 0, 154, 226, 107, 233],
    earlyEnds: [null, null, { afterMs: 17, downMs: 224, isTold: false }, null, null, null, null],
    faults: [
      { at: 31, kind: 'noise', target: 3, other: 1, downMs: 182, isTold: false, losesPower: true },
      { at: 2088, kind: 'kill', target: 1, other: 4, downMs: 14892, isTold: true, losesPower: false },
      { at: 5, kind: 'cut', target: 2, other: 3, downMs: 9657, isTold: false, losesPower: false },
      { at: 1556, kind: 'damage', target: 2, other: 6, downMs: 34, isTold: true, losesPower: false },
      { at: 1233, kind: 'seeds', target: 1, other: 1, downMs: 304, isTold: false, losesPower: true }
    ],
    diskFaults: [],
    seed: 16,
    isFixed: true
  })
  await play.run()
  t.deepEqual(await play.judge(), [])
})
