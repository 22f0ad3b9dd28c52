/** Public API of the router package. */
export * from './router.js'
export type { Exchange } from './http.js'
export { parseJson, readBody, sendFailure, sendJson } from './http.js'
export { createAuth } from './auth.js'
export type { Auth } from './auth.js'
