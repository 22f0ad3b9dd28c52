/** Helpers that other test programs of the repository import. */
export * from './random.js'
export * from './relay.js'
export * from './relayProcess.js'
