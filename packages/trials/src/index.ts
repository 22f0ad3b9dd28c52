/** What other trials of the project use. */
export * from './random.js'
export * from './relay.js'
