/** The ledger as an entry instance uses it: every step is committed by a quorum before the next one is taken. */
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as membership from '@kingcupdeck/membership'
import * as telemetry from '@kingcupdeck/telemetry'

/** A non-idempotent call in the ledger. */
export interface LedgerKey { account: string, key: string, attempt: string }

/** The ledger as an entry instance uses it. */
export interface LedgerClient {
  /** Records the start. @throws ControlError when no quorum confirmed it; the call must not be dispatched then */
  begin (key: LedgerKey, hash: string): Promise<contracts.LedgerKeyState>
  /** Records the answer, trying on for a while. @returns whether it is recorded */
  finish (key: LedgerKey, answer: contracts.StoredAnswer | null): Promise<boolean>
  /** Takes the start back, when it is certain that the call did not run. */
  abort (key: LedgerKey): Promise<void>
}

const BEGIN_MS = 6000
const FINISH_MS = 20_000
const RETRY_PAUSE_MS = 200

/**
 * Creates the client.
 * @param control the way to the control instances
 * @param groups number of ledger groups
 * @param log where delays are logged
 * @returns the client
 */
export function createLedgerClient (control: membership.ControlClient, groups: number, log: telemetry.Log): LedgerClient {
  const toGroup = (key: LedgerKey): number => contracts.hash32(`${key.account}\n${key.key}`, 3) % groups

  const call = async (key: LedgerKey, msg: contracts.ControlCall, timeoutMs: number): Promise<contracts.LedgerKeyState> => {
    const reply = await control.call(`ledger-${toGroup(key)}`, msg, timeoutMs)
    if (reply.t !== 'ledger') throw new membership.ControlError(`the ledger answered ${reply.t}`)
    return reply.state
  }

  const persist = async (key: LedgerKey, msg: contracts.ControlCall): Promise<boolean> => {
    const deadline = performance.now() + FINISH_MS
    while (performance.now() < deadline) {
      try {
        await call(key, msg, deadline - performance.now())
        return true
      } catch (err) {
        log.event('ledgerRetry', { detail: err instanceof Error ? err.message : String(err) })
        await timers.setTimeout(RETRY_PAUSE_MS)
      }
    }
    return false
  }

  return {
    begin: async (key, hash) => await call(key, { t: 'ledgerBegin', group: toGroup(key), ...key, hash }, BEGIN_MS),
    finish: async (key, answer) => await persist(key, { t: 'ledgerFinish', group: toGroup(key), ...key, answer }),
    abort: async key => { await persist(key, { t: 'ledgerAbort', group: toGroup(key), ...key }) }
  }
}
