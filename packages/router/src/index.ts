/** Public face of the router package: a router instance as a library. */
export * from './router.js'
export type { Exchange } from './http.js'
export { parseJson, readBody, sendFailure, sendJson } from './http.js'
export { createAuth } from './auth.js'
export type { Auth } from './auth.js'
