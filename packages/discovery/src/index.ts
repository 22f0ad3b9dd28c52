/** Public face of discovery: records of endpoints and entry instances, and the subscription that spreads them. */
export * from './handout.js'
export * from './messages.js'
export * from './publisher.js'
export * from './records.js'
export * from './recordTable.js'
export * from './subscriber.js'
