/** Publishes state changes of owned endpoints to the other instances by gossip. */
import * as contracts from '@kingcupdeck/contracts'
import * as membership from '@kingcupdeck/membership'
import * as telemetry from '@kingcupdeck/telemetry'
import type * as ownedEndpoint from './ownedEndpoint.js'

/** Publishes state changes of owned endpoints. */
export interface EndpointGossip {
  /** Publishes an announcement if it changes the endpoint's record. */
  publishAnnouncement (announcement: contracts.Announcement): void
  /** Marks an endpoint as gone and publishes it. */
  publishGone (endpoint: ownedEndpoint.OwnedEndpoint): void
}

/** Dependencies of {@link createEndpointGossip}. */
export interface EndpointGossipOptions { table: membership.EndpointTable, gossip: membership.Gossip, log: telemetry.Log }

/** Creates the gossip publisher of an owner. */
export function createEndpointGossip (opts: EndpointGossipOptions): EndpointGossip {
  const { table, gossip, log } = opts
  return {
    publishAnnouncement (announcement) {
      const entry = toEntry(announcement)
      const current = table.get(entry.id)
      const isSame = current !== undefined && JSON.stringify({ ...current, seq: 0 }) === JSON.stringify({ ...entry, seq: 0 })
      if (isSame || !gossip.merge(entry)) return
      if (current?.state !== entry.state) log.event(entry.state === 'ready' ? 'endpointJoined' : 'endpointLeaving', { endpoint: entry.id, service: entry.service })
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
