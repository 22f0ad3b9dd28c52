/** Client of the ledger: each step is committed by a quorum before the call proceeds. */
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as membership from '@kingcupdeck/membership'
import * as telemetry from '@kingcupdeck/telemetry'

/** Identifies a non-idempotent call in the ledger. */
export interface LedgerKey { account: string, key: string, attempt: string }

/** Client of the ledger. */
export interface LedgerClient {
  /** Records the start of a call. @throws ControlError if no quorum confirmed it; the call must not be dispatched then */
  begin (key: LedgerKey, hash: string): Promise<contracts.LedgerKeyState>
  /** Records the answer, with retries until a timeout; null if it is too large to keep. @returns whether it was recorded */
  finish (key: LedgerKey, answer: contracts.StoredAnswer | null): Promise<boolean>
  /** Removes the record of a call that certainly did not run. */
  abort (key: LedgerKey): Promise<void>
}

const BEGIN_TIMEOUT_MS = 6000
const PERSIST_TIMEOUT_MS = 20_000
const RETRY_DELAY_MS = 200

/**
 * Creates a ledger client.
 * @param groups number of ledger groups
 */
export function createLedgerClient (control: membership.ControlClient, groups: number, log: telemetry.Log): LedgerClient {
  const toGroup = (key: LedgerKey): number => contracts.hash32(`${key.account}\n${key.key}`, 3) % groups

  const call = async (key: LedgerKey, msg: contracts.ControlCall, timeoutMs: number): Promise<contracts.LedgerKeyState> => {
    const reply = await control.call(`ledger-${toGroup(key)}`, msg, timeoutMs)
    if (reply.t !== 'ledger') throw new membership.ControlError(`unexpected reply from the ledger: expected ledger, got ${reply.t}`)
    return reply.state
  }

  const persist = async (key: LedgerKey, msg: contracts.ControlCall): Promise<boolean> => {
    const deadline = performance.now() + PERSIST_TIMEOUT_MS
    while (performance.now() < deadline) {
      try {
        await call(key, msg, deadline - performance.now())
        return true
      } catch (err) {
        log.event('ledgerRetry', { detail: err instanceof Error ? err.message : String(err) })
        await timers.setTimeout(RETRY_DELAY_MS)
      }
    }
    return false
  }

  return {
    begin: async (key, hash) => await call(key, { t: 'ledgerBegin', group: toGroup(key), ...key, hash }, BEGIN_TIMEOUT_MS),
    finish: async (key, answer) => await persist(key, { t: 'ledgerFinish', group: toGroup(key), ...key, answer }),
    abort: async key => { await persist(key, { t: 'ledgerAbort', group: toGroup(key), ...key }) }
  }
}
