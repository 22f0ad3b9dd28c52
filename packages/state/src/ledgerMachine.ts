/**
 * The replicated ledger of non-idempotent requests: what was started, and how it ended. A key is forgotten only after it
 * became too old to be taken again, both judged by the time in the log, so a late resend can never look like a new call.
 */
import * as cbor from 'cbor-x'
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as replicaOptions from './replicaOptions.js'

/** Keys from further ahead than this are refused: a clock is wrong, and they would be kept for too long. */
const MAX_AHEAD_MS = 10 * 60 * 1000
const BUCKET_MS = 60 * 1000

const key = { account: z.string(), key: z.string(), attempt: z.string() }

/** A command of the ledger. */
export const ledgerCommand = z.discriminatedUnion('t', [
  z.object({ t: z.literal('begin'), ...key, keyMs: z.number(), hash: z.string(), retentionMs: z.number() }),
  z.object({ t: z.literal('finish'), ...key, answer: contracts.storedAnswer.nullable() }),
  z.object({ t: z.literal('abort'), ...key })
])
/** A command of the ledger. */
export type LedgerCommand = z.infer<typeof ledgerCommand>

interface Row {
  hash: string
  attempt: string
  keyMs: number
  startedAt: number
  finished: { at: number, answer: contracts.StoredAnswer | null } | null
}

interface State { nowMs: number, forgottenBeforeMs: number, rows: Array<[string, Row]> }

/** The ledger's machine. */
export interface LedgerMachine extends replicaOptions.StateMachine {
  /** @returns how many keys are held */
  size (): number
}

const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/**
 * Creates a ledger.
 * @returns the machine, empty
 */
export function createLedgerMachine (): LedgerMachine {
  let nowMs = 0
  let forgottenBeforeMs = 0
  let rows = new Map<string, Row>()
  let buckets = new Map<number, Set<string>>()

  const hold = (id: string, row: Row): void => {
    rows.set(id, row)
    const bucket = Math.floor(row.keyMs / BUCKET_MS)
    const ids = buckets.get(bucket) ?? new Set()
    ids.add(id)
    buckets.set(bucket, ids)
  }

  const drop = (id: string): void => {
    const row = rows.get(id)
    if (row === undefined) return
    rows.delete(id)
    const bucket = Math.floor(row.keyMs / BUCKET_MS)
    buckets.get(bucket)?.delete(id)
  }

  const forgetOld = (): void => {
    for (const [bucket, ids] of buckets) {
      if ((bucket + 1) * BUCKET_MS > forgottenBeforeMs) continue
      for (const id of ids) rows.delete(id)
      buckets.delete(bucket)
    }
  }

  const begin = (cmd: Extract<LedgerCommand, { t: 'begin' }>): contracts.LedgerKeyState => {
    // Guards against running a call again after its record was evicted: the line up to which keys may be forgotten only
    // moves forward, and every key behind it is refused, also after the retention was made longer.
    forgottenBeforeMs = Math.max(forgottenBeforeMs, nowMs - cmd.retentionMs)
    forgetOld()
    if (cmd.keyMs < forgottenBeforeMs) return { kind: 'expired', retentionHours: cmd.retentionMs / 3600000 }
    if (cmd.keyMs > nowMs + MAX_AHEAD_MS) return { kind: 'ahead' }
    const id = toId(cmd)
    const row = rows.get(id)
    if (row === undefined) {
      hold(id, { hash: cmd.hash, attempt: cmd.attempt, keyMs: cmd.keyMs, startedAt: nowMs, finished: null })
      return { kind: 'begun' }
    }
    if (row.hash !== cmd.hash) return { kind: 'reused' }
    if (row.finished !== null) return { kind: 'finished', finishedAt: row.finished.at, answer: row.finished.answer }
    // The same attempt asks again only after its answer from here was lost: it has not dispatched anything yet.
    if (row.attempt === cmd.attempt) return { kind: 'begun' }
    return { kind: 'started', attempt: row.attempt, startedAt: row.startedAt }
  }

  return {
    apply (command, ctx) {
      const cmd = command as LedgerCommand
      nowMs = Math.max(nowMs, ctx.atMs)
      const id = toId(cmd)
      const row = rows.get(id)
      switch (cmd.t) {
        case 'begin': return begin(cmd)
        case 'finish':
          if (row?.attempt === cmd.attempt && row.finished === null) row.finished = { at: nowMs, answer: cmd.answer }
          return { kind: 'begun' }
        case 'abort':
          if (row?.attempt === cmd.attempt && row.finished === null) drop(id)
          return { kind: 'begun' }
      }
    },
    save: () => codec.encode({ nowMs, forgottenBeforeMs, rows: [...rows] } satisfies State),
    restore (bytes) {
      const state = codec.decode(bytes) as State
      nowMs = state.nowMs
      forgottenBeforeMs = state.forgottenBeforeMs
      rows = new Map()
      buckets = new Map()
      for (const [id, row] of state.rows) hold(id, row)
    },
    size: () => rows.size
  }
}

function toId (cmd: { account: string, key: string }): string {
  return `${cmd.account}\n${cmd.key}`
}
