/**
 * Keys of what may crash endpoints. A request is the same each time that its client sends it; a part of prompts is shared by requests
 * that may have nothing else in common.
 */
import * as contracts from '@kingcupdeck/contracts'

/** What a key stands for. */
export type SuspectId =
  | { kind: 'request', fingerprint: string }
  | { kind: 'part', /** Hash of the service and the model that run the part. */ scope: string, part: string }

const PART_PREFIX = 'part:'
const PART_KEY = new RegExp(`^${PART_PREFIX}([^:]+):(.+)$`)
/** Ids of parts that keys contain as they are; others are hashed. */
const PLAIN_PART = /^[\w.-]{1,64}$/
const HASH_CHARS = 24
const SCOPE_CHARS = 12

/** Returns the key of a request: a hash of its client account, method, path and body. */
export function toRequestKey (account: string | undefined, method: string, url: string, body: Uint8Array): string {
  return contracts.sha256(Buffer.concat([Buffer.from(`${account ?? ''}\n${method}\n${url}\n`), body])).slice(0, HASH_CHARS)
}

/** Returns the keys of parts of a prompt. The same part is another one for another service or model. */
export function toPartKeys (service: string, model: string | undefined, parts: readonly string[]): string[] {
  if (parts.length === 0) return []
  const scope = contracts.sha256(Buffer.from(`${service}\n${model ?? ''}`)).slice(0, SCOPE_CHARS)
  return parts.map(part => `${PART_PREFIX}${scope}:${PLAIN_PART.test(part) ? part.toLowerCase() : contracts.sha256(Buffer.from(part)).slice(0, HASH_CHARS)}`)
}

/** Returns what a key stands for. */
export function parseKey (key: string): SuspectId {
  const match = PART_KEY.exec(key)
  return match === null ? { kind: 'request', fingerprint: key } : { kind: 'part', scope: match[1], part: match[2] }
}

/** Returns whether a key is that of a part. */
export function isPartKey (key: string): boolean {
  return key.startsWith(PART_PREFIX)
}

/** Returns what the instance that permits trials is chosen by: parts that come together must not need a permit of many instances. */
export function toArbiterKey (key: string): string {
  const id = parseKey(key)
  switch (id.kind) {
    case 'request': return id.fingerprint
    case 'part': return id.scope
  }
}

/** Returns the fields of a log line that name a suspect. */
export function toLogFields (key: string): { fingerprint?: string, part?: string, scope?: string } {
  const id = parseKey(key)
  switch (id.kind) {
    case 'request': return { fingerprint: id.fingerprint }
    case 'part': return { part: id.part, scope: id.scope }
  }
}
