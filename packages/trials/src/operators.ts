/** Operators of a test run, who change the configuration document concurrently and repeat requests that got no answer. */
import * as uuid from 'uuid'
import * as undici from 'undici'
import type * as contracts from '@kingcupdeck/contracts'
import type * as fleets from './fleet.js'
import * as randoms from './random.js'

/** A change of the document that a control instance answered as accepted. */
export interface AcceptedChange { version: number, operation: string, title: string, acceptedAt: number }

/** Two operators who change the same configuration document. */
export interface Operators {
  readonly accepted: AcceptedChange[]
  /** Returns the number of changes that were refused with a conflict. */
  conflictCount (): number
  /** Submits two changes of the same version concurrently, and repeats each accepted one. Throws if a repeat gets another result. */
  race (): Promise<void>
  /** Reads the current version and document; undefined if no control instance answered. */
  read (): Promise<{ version: number, document: contracts.Document } | undefined>
}

const CALL_TIMEOUT_MS = 7000
const MAX_READ_TRIES = 6
const MAX_PUT_TRIES = 5

type PutResult = { kind: 'accepted', version: number } | { kind: 'conflict' } | { kind: 'lost' }

export function createOperators (fleet: fleets.Fleet, random: () => number): Operators {
  const accepted: AcceptedChange[] = []
  let conflicts = 0
  const pickControlUrl = (): string => randoms.pick(random, fleet.controls).url

  const call = async (method: 'GET' | 'PUT', path: string, token: string, body?: unknown): Promise<{ status: number, body: Record<string, unknown> } | undefined> => {
    try {
      const res = await undici.request(pickControlUrl() + path, { method, headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' }, body: body === undefined ? null : JSON.stringify(body), signal: AbortSignal.timeout(CALL_TIMEOUT_MS) })
      return { status: res.statusCode, body: await res.body.json() as Record<string, unknown> }
    } catch {
      return undefined
    }
  }

  const read: Operators['read'] = async () => {
    for (let tries = 0; tries < MAX_READ_TRIES; tries++) {
      const reply = await call('GET', '/v1/config', 'demo-operator')
      if (reply?.status === 200) return reply.body as unknown as { version: number, document: contracts.Document }
    }
    return undefined
  }

  const put = async (base: number, document: contracts.Document, token: string, operation: string): Promise<PutResult> => {
    const reply = await call('PUT', `/v1/config?base=${base}&operation=${operation}`, token, document)
    if (reply?.status === 200) return { kind: 'accepted', version: reply.body.version as number }
    if (reply?.status === 409) return { kind: 'conflict' }
    return { kind: 'lost' }
  }

  const submitChange = async (base: number, document: contracts.Document, token: string): Promise<void> => {
    const operation = uuid.v4()
    const zone = Object.keys(document.zones)[0]
    const title = `changed by ${token} ${operation}`
    const next = { ...document, zones: { ...document.zones, [zone]: { title } } }
    let result: PutResult = { kind: 'lost' }
    for (let tries = 0; tries < MAX_PUT_TRIES && result.kind === 'lost'; tries++) result = await put(base, next, token, operation)
    if (result.kind === 'conflict') conflicts++
    if (result.kind !== 'accepted') return
    accepted.push({ version: result.version, operation, title, acceptedAt: performance.now() })
    const repeated = await put(base, next, token, operation)
    if (repeated.kind === 'accepted' && repeated.version !== result.version) throw new Error(`a repeated operation was applied twice: as version ${result.version} and as version ${repeated.version}`)
    if (repeated.kind === 'conflict') throw new Error(`a repeated operation, accepted as version ${result.version}, got a conflict`)
  }

  return {
    accepted,
    conflictCount: () => conflicts,
    async race () {
      const current = await read()
      if (current === undefined) return
      await Promise.all(['demo-operator', 'demo-operator-2'].map(async token => { await submitChange(current.version, current.document, token) }))
    },
    read
  }
}
