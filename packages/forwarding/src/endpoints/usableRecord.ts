/** Records of endpoints that requests can be sent to: their ids stand in a header, and their addresses are connected to. */
import * as contracts from '@kingcupdeck/contracts'
import type * as discovery from '@kingcupdeck/discovery'
import type * as telemetry from '@kingcupdeck/telemetry'

/** Unusable records that are remembered, so that each is logged once. */
const MAX_LOGGED = 200
/** Characters of a value in the log. */
const MAX_LOGGED_CHARS = 80

/** Returns a check of records, which logs those that fail it. */
export function createRecordCheck (log: telemetry.Log): (record: discovery.EndpointRecord) => boolean {
  const logged = new Set<string>()
  return record => {
    const id = contracts.input.headerId.safeParse(record.id)
    if (id.success && contracts.input.address.safeParse(record.address).success) return true
    const key = String(record.id).slice(0, MAX_LOGGED_CHARS)
    if (logged.has(key) || logged.size >= MAX_LOGGED) return false
    logged.add(key)
    log.event('endpointUnusable', { id: key, address: String(record.address).slice(0, MAX_LOGGED_CHARS), isIdUsable: id.success })
    return false
  }
}
