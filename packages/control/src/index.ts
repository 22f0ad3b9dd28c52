/** Public face of the control package: a control instance as a library. */
export * from './controlInstance.js'
