/** What callers and logs are told of a request that is not sent because of its suspects. */
import type * as crashQuarantines from './crashQuarantine.js'
import * as suspectKeys from './suspectKey.js'

/** Returns why a request is rejected. */
export function toQuarantineReason (verdict: crashQuarantines.RequestVerdict): string {
  const key = toCause(verdict)
  const id = key === undefined ? undefined : suspectKeys.parseKey(key)
  switch (id?.kind) {
    case 'part': return `a part of its prompt crashed the endpoints that ran it: ${id.part}`
    case 'request':
    case undefined: return 'this request crashed the endpoints that ran it'
  }
}

function toCause (verdict: crashQuarantines.RequestVerdict): string | undefined {
  switch (verdict.kind) {
    case 'allowed': return undefined
    case 'trial': return verdict.keys[0]
    case 'quarantined': return verdict.key
  }
}
