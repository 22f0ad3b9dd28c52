/** Public API of coordination: the control instance of the forwarding fleet. */
export type * from './controlMetrics.js'
export * from './controlInstance.js'
export * from './documentCall.js'
export * from './documentMachine.js'
export * from './documentStore.js'
export * from './evacuationOrders.js'
