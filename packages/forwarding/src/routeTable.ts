/** The operators' document of the forwarding fleet: which requests go where, who may send them, and within which limits. */
import * as z from 'zod'
import * as priorities from './priority.js'

/**
 * What may be repeated: `idempotent` requests; `once` requests run at most once for each attempt of a client; `stream` answers
 * are event streams, which run at most once unless they may be resumed.
 */
export const requestKind = z.enum(['idempotent', 'once', 'stream'])
/** What may be repeated. */
export type RequestKind = z.infer<typeof requestKind>

/** A share of a route's requests. */
export const splitShare = z.object({ service: z.string(), weight: z.number().nonnegative() })

/** Requests of one host under one path prefix. */
export const route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: requestKind,
  /** Whether a stream may go on at another endpoint after the last event that was delivered. */
  isResumable: z.boolean(),
  /** The longest that a request may wait for its answer, milliseconds. */
  timeoutMs: z.number().positive(),
  /** Within this time an answer is of full use, milliseconds. */
  targetMs: z.number().nonnegative(),
  /** 0 is served first. */
  rank: z.number(),
  split: z.array(splitShare),
  /** How many endpoints one attempt of a client may run on. */
  maxAttempts: z.number().int().positive(),
  /** Whether requests need no key. */
  isKeyless: z.boolean(),
  /** Whether requests carry prompts, so that returning to the same endpoint saves work. */
  hasPrompt: z.boolean()
})
/** Requests of one host under one path prefix. */
export type Route = z.infer<typeof route>

/** Endpoints that answer the same requests. */
export const service = z.object({
  name: z.string(),
  /** Connections that one endpoint takes from all callers together. */
  maxConnections: z.number().positive(),
  /** Whether an endpoint can copy what another one keeps of a prompt instead of reading it again. */
  canFetch: z.boolean()
})
/** Endpoints that answer the same requests. */
export type Service = z.infer<typeof service>

/** Who may send requests, and under which keys. */
export const clientAccount = z.object({ name: z.string(), keys: z.array(z.string()), rank: z.number().nullable() })
/** Who may send requests. */
export type ClientAccount = z.infer<typeof clientAccount>

/** What a client may send, and how long it may take. */
export const clientLimits = z.object({
  maxHeaderBytes: z.number().positive(),
  maxBodyBytes: z.number().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive()
})
/** What a client may send, and how long it may take. */
export type ClientLimits = z.infer<typeof clientLimits>

/** One version of the document. */
export const routeTable = z.object({
  version: z.number(),
  routes: z.array(route),
  services: z.array(service),
  /** Absent where requests need no keys. */
  accounts: z.array(clientAccount).nullable(),
  limits: clientLimits
})
/** One version of the document. */
export type RouteTable = z.infer<typeof routeTable>

/** A document in the form that requests are looked up in. */
export interface CompiledTable {
  version: number
  limits: ClientLimits
  services: ReadonlyMap<string, Service>
  /** Whether requests need keys at all. */
  hasAccounts: boolean
  accountOf: ReadonlyMap<string, ClientAccount>
  /** The ranks that occur among client accounts and among routes whose requests carry prompts. */
  ranks: priorities.Ranks
  /** Routes of a host, longest prefix first. */
  routesOf: ReadonlyMap<string, readonly Route[]>
}

/**
 * Looks for what makes a document unusable although each field is well formed.
 * @param table the document
 * @returns what to correct, or undefined if it can be obeyed
 */
export function findTableError (table: RouteTable): string | undefined {
  const services = new Set(table.services.map(item => item.name))
  const places = new Set<string>()
  for (const item of table.routes) {
    const place = `${item.host.toLowerCase()} ${item.pathPrefix}`
    if (places.has(place)) return `two routes share the host and prefix "${place}": remove one of them`
    places.add(place)
    const unknown = item.split.find(share => !services.has(share.service))
    if (unknown !== undefined) return `route "${item.name}" names the unknown service "${unknown.service}": add the service or correct the route`
    if (item.split.reduce((sum, share) => sum + share.weight, 0) <= 0) return `the weights of route "${item.name}" add up to 0: give one a weight above 0`
  }
  const keys = new Map<string, string>()
  for (const account of table.accounts ?? []) {
    for (const key of account.keys) {
      const holder = keys.get(key)
      if (holder !== undefined && holder !== account.name) return `the accounts "${holder}" and "${account.name}" share a key: give each its own`
      keys.set(key, account.name)
    }
  }
  return undefined
}

/**
 * Brings a document into the form that requests are looked up in.
 * @param table the document, without faults
 * @returns the look-ups
 */
export function compileTable (table: RouteTable): CompiledTable {
  const routesOf = new Map<string, Route[]>()
  for (const item of table.routes) {
    const host = item.host.toLowerCase()
    const list = routesOf.get(host) ?? []
    list.push(item)
    routesOf.set(host, list)
  }
  for (const list of routesOf.values()) list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  const accountOf = new Map<string, ClientAccount>()
  for (const account of table.accounts ?? []) {
    for (const key of account.keys) accountOf.set(key, account)
  }
  return {
    version: table.version,
    limits: table.limits,
    services: new Map(table.services.map(item => [item.name, item])),
    hasAccounts: table.accounts !== null,
    accountOf,
    ranks: {
      accounts: priorities.toDistinctRanks((table.accounts ?? []).map(item => item.rank)),
      routes: priorities.toDistinctRanks(table.routes.filter(item => item.hasPrompt).map(item => item.rank))
    },
    routesOf
  }
}

/**
 * Finds the route of a request.
 * @param table the document in force
 * @param host the request's host, with or without a port
 * @param url the request's path with its query
 * @returns the route with the longest prefix, or undefined
 */
export function findRoute (table: CompiledTable, host: string, url: string): Route | undefined {
  const name = host.toLowerCase()
  const list = table.routesOf.get(name) ?? table.routesOf.get(name.replace(/:\d+$/, ''))
  if (list === undefined) return undefined
  const end = url.indexOf('?')
  const path = end < 0 ? url : url.slice(0, end)
  return list.find(item => path.startsWith(item.pathPrefix))
}

/**
 * Picks the service of a request by the route's weights.
 * @param item the route
 * @param draw a number in [0, 1)
 * @returns the service's name
 */
export function pickService (item: Route, draw: number): string {
  const total = item.split.reduce((sum, share) => sum + share.weight, 0)
  let left = draw * total
  for (const share of item.split) {
    left -= share.weight
    if (left < 0) return share.service
  }
  return item.split[item.split.length - 1].service
}

/**
 * Tells whether a request may run more than once.
 * @param item its route
 * @returns whether a second endpoint may run it after a first one may have
 */
export function isRepeatable (item: Route): boolean {
  switch (item.kind) {
    case 'idempotent': return true
    case 'once': return false
    case 'stream': return item.isResumable
  }
}
