/** Public entry point: runs a control instance as a library. */
export * from './controlInstance.js'
