/** Public face of membership: leases, views, ownership, and the spreading of endpoint entries. */
export * from './controlClient.js'
export * from './endpointTable.js'
export * from './gossip.js'
export * from './membership.js'
export * from './ownership.js'
export * from './fleetViews.js'
