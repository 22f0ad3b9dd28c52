/** Who may do what: an index over the tokens of the document in force. */
import * as http from 'node:http'
import * as contracts from '@kingcupdeck/contracts'
import * as helpers from './http.js'

/** A client account with its id. */
export interface Account { id: string, spec: contracts.ClientAccount }

/** The index. */
export interface Auth {
  /** @throws FailureError `unauthenticated` */
  authenticateAccount (req: http.IncomingMessage): Account
  /** @throws FailureError `unauthenticated` */
  authenticateOperator (req: http.IncomingMessage): string
  /** @throws FailureError when the token is not one of the service's endpoints */
  authenticateEndpoint (req: http.IncomingMessage, service: string): void
}

/**
 * Creates the index.
 * @param getDocument the document in force; the index is made anew when it changes
 * @returns the index
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
      if (account === undefined) throw new contracts.FailureError({ kind: 'unauthenticated', what: 'The token is not that of a client account' })
      return account
    },
    authenticateOperator (req) {
      refresh()
      const operator = operators.get(toDigest(req))
      if (operator === undefined) throw new contracts.FailureError({ kind: 'unauthenticated', what: 'The token is not that of an operator' })
      return operator
    },
    authenticateEndpoint (req, service) {
      refresh()
      const spec = indexed?.services[service]
      if (spec === undefined) throw new contracts.FailureError({ kind: 'unknown_service', service })
      const digest = toDigest(req)
      if (!spec.endpointTokens.some(known => contracts.isSameSecret(known, digest))) throw new contracts.FailureError({ kind: 'unauthenticated', what: `The token is not that of an endpoint of "${service}"` })
    }
  }
}

/** The longest token that is worth hashing. */
const MAX_TOKEN_CHARS = 512

function toDigest (req: http.IncomingMessage): string {
  const header = helpers.toHeader(req, 'authorization') ?? ''
  const token = header.startsWith('Bearer ') ? header.slice(7) : ''
  if (token === '' || token.length > MAX_TOKEN_CHARS) throw new contracts.FailureError({ kind: 'unauthenticated', what: 'There is no usable bearer token' })
  return contracts.sha256(token)
}
