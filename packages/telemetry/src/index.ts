/** Public face of telemetry: log, metrics and invariants. */
export * from './invariants.js'
export * from './log.js'
export * from './metrics.js'
export * from './lineWriter.js'
