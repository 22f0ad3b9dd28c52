/** Public API of the telemetry package: log, metrics and invariants. */
export * from './invariantMetrics.js'
export * from './invariants.js'
export * from './lineLimit.js'
export * from './lineWriter.js'
export * from './log.js'
export * from './memoryWatch.js'
export * from './metrics.js'
export * from './stepGuard.js'
