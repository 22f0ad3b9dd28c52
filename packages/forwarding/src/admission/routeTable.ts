/** Configuration document of the forwarding fleet: routes, services, client accounts and limits. */
import * as z from 'zod'
import * as headerTexts from '../attempts/headerText.js'
import * as priorities from './priority.js'

/**
 * Retry semantics of a route. `idempotent` requests may be retried; `once` requests run at most once for each client attempt; `stream`
 * responses are event streams, which also run at most once unless they are resumable.
 */
export const requestKind = z.enum(['idempotent', 'once', 'stream'])
/** Retry semantics of a route. */
export type RequestKind = z.infer<typeof requestKind>

/** Share of the requests of a route that a service receives. */
export const splitShare = z.object({ service: z.string(), weight: z.number().nonnegative() })

/** Settings for the requests of one host under one path prefix. */
export const route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: requestKind,
  /** Whether a broken stream may be resumed at another endpoint after the last delivered event. */
  isResumable: z.boolean(),
  /** Timeout of a request, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** Target latency of a response in milliseconds, 0 without one. */
  targetMs: z.number().nonnegative(),
  /** Priority, 0 is the highest. */
  rank: z.number(),
  split: z.array(splitShare),
  /** Maximum number of endpoints that may run one client attempt. */
  maxAttempts: z.number().int().positive(),
  /** Whether requests are accepted without an API key. */
  isKeyless: z.boolean(),
  /** Whether requests contain prompts and benefit from endpoint affinity. */
  hasPrompt: z.boolean(),
  /** Regions whose endpoints may run the requests; null without a restriction. */
  regions: z.array(z.string()).nullable().default(null)
})
/** Settings for the requests of one host under one path prefix. */
export type Route = z.infer<typeof route>
/** A route before defaults are applied. */
export type RouteInput = z.input<typeof route>

/** A group of equivalent endpoints. */
export const service = z.object({
  name: z.string(),
  /** Maximum connections to one endpoint from all entry instances together. */
  maxConnections: z.number().positive(),
  /** Whether endpoints can import KV cache entries from each other. */
  canFetch: z.boolean(),
  /** Requests per second that an endpoint tolerates while it warms up, 0 without a limit. */
  coldPerSecond: z.number().nonnegative().default(0),
  /** Warm-up time of an endpoint after its start, in milliseconds. */
  coldStartMs: z.number().nonnegative().default(0)
})
/** A group of equivalent endpoints. */
export type Service = z.infer<typeof service>
/** A group of equivalent endpoints, before defaults are applied. */
export type ServiceInput = z.input<typeof service>

/** A client account and its API keys. */
export const clientAccount = z.object({ name: z.string(), keys: z.array(z.string()), rank: z.number().nullable(), /** Regions whose endpoints may run its requests; null without a restriction. */ regions: z.array(z.string()).nullable().default(null) })
/** A client account and its API keys. */
export type ClientAccount = z.infer<typeof clientAccount>
/** A client account before defaults are applied. */
export type ClientAccountInput = z.input<typeof clientAccount>

/** Limits of client requests and connections. */
export const clientLimits = z.object({
  maxHeaderBytes: z.number().positive(),
  maxBodyBytes: z.number().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive()
})
/** Limits of client requests and connections. */
export type ClientLimits = z.infer<typeof clientLimits>

/** One version of the configuration document. */
export const routeTable = z.object({
  version: z.number(),
  routes: z.array(route),
  services: z.array(service),
  /** null if requests need no API keys. */
  accounts: z.array(clientAccount).nullable(),
  limits: clientLimits
})
/** One version of the configuration document. */
export type RouteTable = z.infer<typeof routeTable>

/** Configuration document, indexed for request routing. */
export interface CompiledTable {
  version: number
  limits: ClientLimits
  services: ReadonlyMap<string, Service>
  /** Whether requests need API keys. */
  hasAccounts: boolean
  accountByKey: ReadonlyMap<string, ClientAccount>
  /** Distinct ranks of client accounts, and of routes with prompts. */
  ranks: priorities.Ranks
  /** Routes by host, longest prefix first. */
  routesByHost: ReadonlyMap<string, readonly Route[]>
}

/** Items that are checked without a break: on a small share of a processor, a large document would stop the process for seconds. */
const ITEMS_PER_SLICE = 200

/** Returns a function that is given the number of items that were checked, and returns whether it is time for a break. */
export function createSlicer (): (items: number) => boolean {
  let left = ITEMS_PER_SLICE
  return items => {
    left -= items
    if (left > 0) return false
    left = ITEMS_PER_SLICE
    return true
  }
}

/**
 * Checks the references between the fields of a document; yields after each slice of it.
 * @returns what to correct, or undefined if the document is valid
 */
export function * findTableError (table: RouteTable): Generator<undefined, string | undefined> {
  const isSliceEnd = createSlicer()
  const services = new Set(table.services.map(item => item.name))
  const matches = new Set<string>()
  for (const item of table.routes) {
    const match = `${item.host.toLowerCase()} ${item.pathPrefix}`
    if (matches.has(match)) return `two routes share the host and prefix "${match}": remove one of them`
    matches.add(match)
    const unknown = item.split.find(share => !services.has(share.service))
    if (unknown !== undefined) return `route "${item.name}" names the unknown service "${unknown.service}": add the service or correct the route`
    if (item.split.reduce((sum, share) => sum + share.weight, 0) <= 0) return `the weights of route "${item.name}" add up to 0: give one a weight above 0`
    if (isSliceEnd(1 + item.split.length)) yield
  }
  const keys = new Map<string, string>()
  for (const account of table.accounts ?? []) {
    for (const key of account.keys) {
      const owner = keys.get(key)
      if (owner !== undefined && owner !== account.name) return `the accounts "${owner}" and "${account.name}" share a key: give each its own`
      keys.set(key, account.name)
    }
    if (isSliceEnd(1 + account.keys.length)) yield
  }
  return undefined
}

/**
 * Finds two accounts of which one has a key that is the other's once it is sent, as UTF-8; yields after each slice of the table.
 * @returns what to correct, or undefined
 */
export function * findSentKeyError (table: RouteTable): Generator<undefined, string | undefined> {
  const isSliceEnd = createSlicer()
  const owners = new Map<string, string>()
  for (const account of table.accounts ?? []) {
    for (const key of account.keys) {
      for (const sent of new Set([key, headerTexts.toHeaderText(key)])) {
        const owner = owners.get(sent)
        if (owner !== undefined && owner !== account.name) return `the accounts "${owner}" and "${account.name}" share a key in the form in which clients send it: give each its own`
        owners.set(sent, account.name)
      }
    }
    if (isSliceEnd(1 + account.keys.length)) yield
  }
  return undefined
}

/** Indexes a valid document for request routing. */
export function compileTable (table: RouteTable): CompiledTable {
  const routesByHost = new Map<string, Route[]>()
  for (const item of table.routes) {
    const host = item.host.toLowerCase()
    const list = routesByHost.get(host) ?? []
    list.push(item)
    routesByHost.set(host, list)
  }
  for (const list of routesByHost.values()) list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  const accountByKey = new Map<string, ClientAccount>()
  for (const account of table.accounts ?? []) {
    for (const key of account.keys) accountByKey.set(key, account)
  }
  // Clients send a key outside ASCII as UTF-8, which the HTTP library reads as one character a byte.
  for (const [key, account] of [...accountByKey]) {
    const sent = headerTexts.toHeaderText(key)
    if (!accountByKey.has(sent)) accountByKey.set(sent, account)
  }
  return {
    version: table.version,
    limits: table.limits,
    services: new Map(table.services.map(item => [item.name, item])),
    hasAccounts: table.accounts !== null,
    accountByKey,
    ranks: {
      accounts: priorities.toDistinctRanks((table.accounts ?? []).map(item => item.rank)),
      routes: priorities.toDistinctRanks(table.routes.filter(item => item.hasPrompt).map(item => item.rank))
    },
    routesByHost
  }
}

/**
 * Finds the route of a request.
 * @returns the route with the longest matching prefix, or undefined
 */
export function findRoute (table: CompiledTable, host: string, url: string): Route | undefined {
  const name = host.toLowerCase()
  const list = table.routesByHost.get(name) ?? table.routesByHost.get(name.replace(/:\d+$/, ''))
  if (list === undefined) return undefined
  const end = url.indexOf('?')
  const path = end < 0 ? url : url.slice(0, end)
  return list.find(item => path.startsWith(item.pathPrefix))
}

/**
 * Picks the service of a request at random by the weights of its route.
 * @param draw a number in [0, 1)
 */
export function pickService (item: Route, draw: number): string {
  const total = item.split.reduce((sum, share) => sum + share.weight, 0)
  let remaining = draw * total
  for (const share of item.split) {
    remaining -= share.weight
    if (remaining < 0) return share.service
  }
  return item.split[item.split.length - 1].service
}

/**
 * Returns the regions whose endpoints may run a request: those that both its route and its client account allow.
 * @returns undefined without a restriction
 */
export function toAllowedRegions (item: Route, account: ClientAccount | undefined): readonly string[] | undefined {
  const accountRegions = account?.regions ?? null
  if (item.regions === null) return accountRegions ?? undefined
  return accountRegions === null ? item.regions : item.regions.filter(region => accountRegions.includes(region))
}

/** Returns whether the requests of a route may run more than once. */
export function isRepeatable (item: Route): boolean {
  switch (item.kind) {
    case 'idempotent': return true
    case 'once': return false
    case 'stream': return item.isResumable
  }
}
