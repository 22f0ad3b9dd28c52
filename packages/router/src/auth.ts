/** Authentication by bearer tokens, indexed from the current configuration document. */
import * as http from 'node:http'
import * as contracts from '@kingcupdeck/contracts'
import * as helpers from './http.js'

/** A client account with its id. */
export interface Account { id: string, spec: contracts.ClientAccount }

/** Authenticates requests against the current configuration document. */
export interface Auth {
  /** @throws FailureError `unauthenticated` */
  authenticateAccount (req: http.IncomingMessage): Account
  /** @throws FailureError `unauthenticated` */
  authenticateOperator (req: http.IncomingMessage): string
  /** @throws FailureError `unauthenticated`, or `unknown_service` if the service is not in the document */
  authenticateEndpoint (req: http.IncomingMessage, service: string): void
}

/**
 * Creates the token index.
 * @param getDocument returns the current configuration document; the index is rebuilt when it changes
 */
export function createAuth (getDocument: () => contracts.Document | null): Auth {
  let indexed: contracts.Document | null = null
  let accounts = new Map<string, Account>()
  let operators = new Map<string, string>()

  const refresh = (): void => {
    const doc = getDocument()
    if (doc === indexed) return
    indexed = doc
    accounts = new Map()
    operators = new Map()
    for (const [id, spec] of Object.entries(doc?.clientAccounts ?? {})) {
      for (const digest of spec.tokens) accounts.set(digest, { id, spec })
    }
    for (const [id, spec] of Object.entries(doc?.operators ?? {})) {
      for (const digest of spec.tokens) operators.set(digest, id)
    }
  }

  return {
    authenticateAccount (req) {
      refresh()
      const account = accounts.get(toDigest(req))
      if (account === undefined) throw new contracts.FailureError({ kind: 'unauthenticated', what: 'The bearer token does not belong to a client account' })
      return account
    },
    authenticateOperator (req) {
      refresh()
      const operator = operators.get(toDigest(req))
      if (operator === undefined) throw new contracts.FailureError({ kind: 'unauthenticated', what: 'The bearer token does not belong to an operator' })
      return operator
    },
    authenticateEndpoint (req, service) {
      refresh()
      const spec = indexed?.services[service]
      if (spec === undefined) throw new contracts.FailureError({ kind: 'unknown_service', service })
      const digest = toDigest(req)
      if (!spec.endpointTokens.some(known => contracts.isSameSecret(known, digest))) throw new contracts.FailureError({ kind: 'unauthenticated', what: `The bearer token does not belong to an endpoint of service "${service}"` })
    }
  }
}

/** Longer tokens are rejected without being hashed. */
const MAX_TOKEN_CHARS = 512

function toDigest (req: http.IncomingMessage): string {
  const header = helpers.toHeader(req, 'authorization') ?? ''
  const token = header.startsWith('Bearer ') ? header.slice(7) : ''
  if (token === '' || token.length > MAX_TOKEN_CHARS) throw new contracts.FailureError({ kind: 'unauthenticated', what: 'The bearer token is missing, empty or too long' })
  return contracts.sha256(token)
}
