/** What an owner tells the other instances of its endpoints: only what changed of them is spread. */
import * as contracts from '@kingcupdeck/contracts'
import * as membership from '@kingcupdeck/membership'
import * as telemetry from '@kingcupdeck/telemetry'
import type * as ownedEndpoint from './ownedEndpoint.js'

/** News of endpoints. */
export interface EndpointGossip {
  /** Spreads what an announcement changes. */
  publishAnnouncement (announcement: contracts.Announcement): void
  /** Spreads that an endpoint went away or silent. */
  publishGone (endpoint: ownedEndpoint.OwnedEndpoint): void
}

/** What news is made with. */
export interface EndpointGossipOptions { table: membership.EndpointTable, gossip: membership.Gossip, log: telemetry.Log }

/**
 * Creates the news of an owner.
 * @param opts the table and the way to others
 * @returns the news
 */
export function createEndpointGossip (opts: EndpointGossipOptions): EndpointGossip {
  const { table, gossip, log } = opts
  return {
    publishAnnouncement (announcement) {
      const entry = toEntry(announcement)
      const known = table.get(entry.id)
      const isSame = known !== undefined && JSON.stringify({ ...known, seq: 0 }) === JSON.stringify({ ...entry, seq: 0 })
      if (isSame || !gossip.merge(entry)) return
      if (known?.state !== entry.state) log.event(entry.state === 'ready' ? 'endpointJoined' : 'endpointLeaving', { endpoint: entry.id, service: entry.service })
    },
    publishGone (endpoint) {
      const entry = table.get(endpoint.id)
      endpoint.isMarkedGone = true
      endpoint.lastAnnouncementAt = -Infinity
      if (entry === undefined || entry.state === 'gone') return
      const seq = Math.max(entry.seq, endpoint.announcement?.boot === entry.boot ? endpoint.announcement.seq : 0)
      gossip.merge({ ...entry, seq, state: 'gone' })
      log.event('endpointGone', { endpoint: endpoint.id })
    }
  }
}

function toEntry (announcement: contracts.Announcement): contracts.EndpointRecord {
  return {
    id: announcement.endpoint,
    service: announcement.service,
    zone: announcement.zone,
    address: `${announcement.host}:${announcement.port}`,
    boot: announcement.boot,
    seq: announcement.seq,
    state: announcement.state,
    slots: announcement.slots,
    weight: announcement.weight,
    models: announcement.carries.map(item => item.model),
    checksFencing: announcement.checksFencing
  }
}
