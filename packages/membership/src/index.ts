/** Public API of the membership package: leases, fleet views, endpoint ownership and gossip. */
export * from './controlClient.js'
export * from './endpointTable.js'
export * from './fleetViews.js'
export * from './gossip.js'
export * from './membership.js'
export * from './ownership.js'
