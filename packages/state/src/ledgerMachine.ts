/**
 * State machine of the ledger of non-idempotent requests: which were started, and their answers. Keys are evicted and
 * expire by the same log time, so a late resend is rejected as expired and never runs again.
 */
import * as cbor from 'cbor-x'
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as replicaOptions from './replicaOptions.js'

/** Tolerated clock skew. Keys further in the future are rejected, since they would be retained too long. */
const MAX_CLOCK_SKEW_MS = 10 * 60 * 1000
const MS_PER_HOUR = 3600000
const BUCKET_MS = 60 * 1000

const key = { account: z.string(), key: z.string(), attempt: z.string() }

/** Commands of the ledger. */
export const ledgerCommand = z.discriminatedUnion('t', [
  z.object({ t: z.literal('begin'), ...key, keyMs: z.number(), hash: z.string(), retentionMs: z.number() }),
  z.object({ t: z.literal('finish'), ...key, answer: contracts.storedAnswer.nullable() }),
  z.object({ t: z.literal('abort'), ...key })
])
export type LedgerCommand = z.infer<typeof ledgerCommand>

interface Row {
  hash: string
  attempt: string
  keyMs: number
  startedAt: number
  finished: { at: number, answer: contracts.StoredAnswer | null } | null
}

interface State { nowMs: number, forgottenBeforeMs: number, rows: Array<[string, Row]> }

export interface LedgerMachine extends replicaOptions.StateMachine {
  /** @returns the number of retained keys */
  size (): number
}

const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

export function createLedgerMachine (): LedgerMachine {
  let nowMs = 0
  let forgottenBeforeMs = 0
  let rows = new Map<string, Row>()
  let buckets = new Map<number, Set<string>>()

  const addRow = (id: string, row: Row): void => {
    rows.set(id, row)
    const bucket = Math.floor(row.keyMs / BUCKET_MS)
    const ids = buckets.get(bucket) ?? new Set()
    ids.add(id)
    buckets.set(bucket, ids)
  }

  const removeRow = (id: string): void => {
    const row = rows.get(id)
    if (row === undefined) return
    rows.delete(id)
    const bucket = Math.floor(row.keyMs / BUCKET_MS)
    buckets.get(bucket)?.delete(id)
  }

  const evictExpired = (): void => {
    for (const [bucket, ids] of buckets) {
      if ((bucket + 1) * BUCKET_MS > forgottenBeforeMs) continue
      for (const id of ids) rows.delete(id)
      buckets.delete(bucket)
    }
  }

  const begin = (cmd: Extract<LedgerCommand, { t: 'begin' }>): contracts.LedgerKeyState => {
    // Guards against running a call again after its record was evicted: the eviction threshold never decreases, also when
    // the retention is lengthened, and older keys are rejected.
    forgottenBeforeMs = Math.max(forgottenBeforeMs, nowMs - cmd.retentionMs)
    evictExpired()
    if (cmd.keyMs < forgottenBeforeMs) return { kind: 'expired', retentionHours: cmd.retentionMs / MS_PER_HOUR }
    if (cmd.keyMs > nowMs + MAX_CLOCK_SKEW_MS) return { kind: 'ahead' }
    const id = toId(cmd)
    const row = rows.get(id)
    if (row === undefined) {
      addRow(id, { hash: cmd.hash, attempt: cmd.attempt, keyMs: cmd.keyMs, startedAt: nowMs, finished: null })
      return { kind: 'begun' }
    }
    if (row.hash !== cmd.hash) return { kind: 'reused' }
    if (row.finished !== null) return { kind: 'finished', finishedAt: row.finished.at, answer: row.finished.answer }
    // The same attempt calls again only when the reply was lost, so it has not dispatched the request yet.
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
          if (row?.attempt === cmd.attempt && row.finished === null) removeRow(id)
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
      for (const [id, row] of state.rows) addRow(id, row)
    },
    size: () => rows.size
  }
}

function toId (cmd: { account: string, key: string }): string {
  return `${cmd.account}\n${cmd.key}`
}
