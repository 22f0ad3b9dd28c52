/**
 * Decides whether a replica that was told nothing at its start may claim the identity of a founder. Decisions only, without input or
 * output; docs/STATE.md argues why no second group can come about.
 */
import * as crypto from 'node:crypto'
import * as entries from './entries.js'
import * as firstStarts from './firstStart.js'

/** What another replica replied last. */
interface Reply { at: number, standing: entries.Standing }

/** What is known of the start of the group from other replicas. */
export interface Survey {
  /** The latest replies to calls of this process, so that they tell what was after the end of the process before it. */
  replies: Map<string, Reply>
  /** When replicas of an earlier version, which say nothing of their start, replied last. */
  earlierVersions: Map<string, number>
  /** Founders that any replica was told, by their names. */
  told: Map<string, readonly string[]>
  /** Whether any replica was or may have been a member. It is never forgotten: from then on this replica only asks to join. */
  hasSeenGroup: boolean
  /** Since when nothing contradicts that there is no group although too few founders were told; undefined while something does. */
  untoldSince: number | undefined
  judgedAt: number
}

/** What a replica that was told nothing judges by. Times are monotonic milliseconds. */
export interface Evidence {
  self: string
  /** Founders by the current settings. */
  seeds: readonly string[]
  survey: Survey
  term: number
  isFormer: boolean
  mayHaveGroup: boolean
  maxFailedDisks: number
  now: number
}

/** Result of {@link judge}. */
export type Verdict =
  | { kind: 'claim', founders: string[], term: number }
  | { kind: 'wait', why: string }

/** How long a reply counts, and how long there may be no judgement; longer than two calls without a reply. */
const EVIDENCE_MS = 3000
/** How long too few founders must be found to have been told before another one claims; longer than a machine needs to join a group that has a leader. */
export const UNTOLD_MS = 10_000
const DIGEST_LENGTH = 12
/** Lists of founders that are remembered. Two are already an error. */
const MAX_TOLD = 4

/** What a replica knows of the start of its group. */
export interface Start {
  /** What its folder says. */
  told: firstStarts.FirstStart
  survey: Survey
  /** What is missing until there is a leader, for operators. */
  missing: string
  /** When that was logged last, or a leader was known; monotonic milliseconds. */
  reportedAt: number
  /** The latest join request that was logged. */
  lastJoinRequest: string
}

export function createStart (now: number): Start {
  return { told: { founders: null, isFormer: false }, survey: { replies: new Map(), earlierVersions: new Map(), told: new Map(), hasSeenGroup: false, untoldSince: undefined, judgedAt: now }, missing: 'no leader is known yet', reportedAt: now, lastJoinRequest: '' }
}

/** Returns the founding voters, the same at each founder that knows the same names. */
export function toFoundingVoters (names: readonly string[]): entries.Member[] {
  const founders = firstStarts.toFounders(names)
  const digest = crypto.createHash('sha256').update(JSON.stringify(founders)).digest('hex').slice(0, DIGEST_LENGTH)
  return founders.map(name => ({ name, incarnation: `founder-${digest}` }))
}

/** Returns whether the voters that a group was founded with are those of {@link toFoundingVoters}; a group of an earlier version has others. */
export function isDerived (voters: readonly entries.Member[]): boolean {
  return voters.length > 0 && toFoundingVoters(voters.map(voter => voter.name))[0].incarnation === voters[0].incarnation
}

/** Returns the first entry of the log. */
export function toFoundingEntry (voters: entries.Member[]): entries.Entry {
  return { index: 1, term: 0, body: { kind: 'membership', voters } }
}

/** Notes what a replica says of itself, in a call or in a reply. */
export function noteStanding (survey: Survey, standing: entries.Standing): void {
  if (standing.isMember) survey.hasSeenGroup = true
  if (standing.founders !== null && survey.told.size < MAX_TOLD) survey.told.set(standing.founders.join(' '), standing.founders)
}

/** Notes a reply to a call of this process. @param standing undefined if the sender's version does not say */
export function noteReply (survey: Survey, name: string, standing: entries.Standing | undefined, hasFounding: boolean, now: number): void {
  if (standing === undefined) {
    survey.earlierVersions.set(name, now)
    if (hasFounding) survey.hasSeenGroup = true
    return
  }
  noteStanding(survey, standing)
  survey.replies.set(name, { at: now, standing })
  survey.earlierVersions.delete(name)
}

/** Judges whether the group was never founded, and cannot be without this founder. */
export function judge (evidence: Evidence): Verdict {
  const verdict = judgeNow(evidence)
  const { survey, now } = evidence
  // After a freeze of the process, it is not known what was meanwhile.
  if (now - survey.judgedAt > EVIDENCE_MS) survey.untoldSince = undefined
  survey.judgedAt = now
  if (verdict.kind !== 'untold') survey.untoldSince = undefined
  if (verdict.kind !== 'untold') return verdict
  survey.untoldSince ??= now
  const leftMs = survey.untoldSince + UNTOLD_MS - now
  if (leftMs <= 0) return { kind: 'claim', founders: verdict.founders, term: verdict.term }
  return { kind: 'wait', why: `too few founders were told that they may found the group; the first other one claims to in ${Math.ceil(leftMs / 1000)} s` }
}

function judgeNow (evidence: Evidence): Verdict | { kind: 'untold', founders: string[], term: number } {
  const { self, survey, maxFailedDisks } = evidence
  if (survey.told.size > 1) return { kind: 'wait', why: `replicas were told different founders: ${[...survey.told.keys()].join('; ')}` }
  const [toldFounders] = survey.told.values()
  const founders = firstStarts.toFounders(toldFounders ?? evidence.seeds)
  if (survey.hasSeenGroup) return { kind: 'wait', why: 'the group exists; waiting to be admitted by its leader' }
  if (!founders.includes(self)) return { kind: 'wait', why: `not a founder; ${describe(evidence, founders)}` }
  const others = founders.filter(name => name !== self).map(name => fresh(evidence, name))
  const known = others.filter(item => item !== undefined)
  if (known.length < others.length) return { kind: 'wait', why: describe(evidence, founders) }
  if (evidence.isFormer || known.some(item => item.isFormer)) return { kind: 'wait', why: `the disk of a founder was damaged; ${describe(evidence, founders)}` }
  if (evidence.mayHaveGroup || known.some(item => item.mayHaveGroup)) return { kind: 'wait', why: `a document was stored before; ${describe(evidence, founders)}` }
  const numTold = known.filter(item => item.founders !== null).length
  const numUntold = founders.length - numTold
  const quorum = Math.floor(founders.length / 2) + 1
  // The told ones elect a leader without this one.
  if (numTold >= quorum) return { kind: 'wait', why: describe(evidence, founders) }
  const term = Math.max(evidence.term, ...known.map(item => item.term)) + 1
  // Otherwise a founder among those that were told nothing never took part, or those that were told meet each quorum.
  const mayAllBeLost = numUntold <= maxFailedDisks && numTold <= founders.length - quorum
  if (mayAllBeLost && numTold === 0) return { kind: 'wait', why: `${numUntold} founders may have lost their disks; ${describe(evidence, founders)}` }
  // If a quorum of disks may be lost, only time tells that there is no group whose other members cannot be reached.
  if (toldFounders !== undefined) return { kind: maxFailedDisks < quorum ? 'claim' : 'untold', founders, term }
  const isSame = known.every(item => item.seeds.join(' ') === founders.join(' '))
  return isSame ? { kind: 'untold', founders, term } : { kind: 'wait', why: `founders have different settings; ${describe(evidence, founders)}` }
}

/** Returns what a replica replied last, undefined if that was too long ago. */
function fresh ({ survey, now }: Pick<Evidence, 'survey' | 'now'>, name: string): entries.Standing | undefined {
  const reply = survey.replies.get(name)
  return reply !== undefined && now - reply.at <= EVIDENCE_MS ? reply.standing : undefined
}

/** Describes what is known of the founders, for logs. */
export function describe (evidence: Pick<Evidence, 'survey' | 'now' | 'self'> & { ownFounders?: readonly string[] | null }, founders: readonly string[]): string {
  const toState = (name: string): string => {
    if (name === evidence.self) return evidence.ownFounders == null ? 'untold' : 'told'
    const standing = fresh(evidence, name)
    const earlierAt = evidence.survey.earlierVersions.get(name) ?? -Infinity
    if (evidence.now - earlierAt <= EVIDENCE_MS) return 'earlier version'
    if (standing === undefined) return 'no reply'
    if (standing.isMember) return 'member'
    return standing.founders === null ? 'untold' : 'told'
  }
  return `${founders.map(name => `${name}: ${toState(name)}`).join(', ')}; needed: ${Math.floor(founders.length / 2) + 1} told founders, or a reply of each`
}
