/** Operators of a trial, who race each other, lose answers and send again. */
import * as uuid from 'uuid'
import * as undici from 'undici'
import type * as contracts from '@kingcupdeck/contracts'
import type * as fleets from './fleet.js'
import * as randoms from './random.js'

/** Versions that operators were told are accepted, with when. */
export interface AcceptedChange { version: number, operation: string, title: string, acceptedAt: number }

/** Operators of a trial. */
export interface Operators {
  readonly accepted: AcceptedChange[]
  /** Conflicts that operators were told of. */
  conflictCount (): number
  /** Two operators change the same version at once; one of them sends again although it was answered. */
  race (): Promise<void>
  /** @returns the version and document in force, by a confirmed read */
  read (): Promise<{ version: number, document: contracts.Document } | undefined>
}

type PutResult = { kind: 'accepted', version: number } | { kind: 'conflict' } | { kind: 'lost' }

/**
 * Creates operators.
 * @param fleet the fleet
 * @param random the source of choices
 * @returns the operators
 */
export function createOperators (fleet: fleets.Fleet, random: () => number): Operators {
  const accepted: AcceptedChange[] = []
  let conflicts = 0
  const pickControlUrl = (): string => randoms.pick(random, fleet.controls).url

  const call = async (method: 'GET' | 'PUT', path: string, token: string, body?: unknown): Promise<{ status: number, body: Record<string, unknown> } | undefined> => {
    try {
      const res = await undici.request(pickControlUrl() + path, { method, headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' }, body: body === undefined ? null : JSON.stringify(body), signal: AbortSignal.timeout(7000) })
      return { status: res.statusCode, body: await res.body.json() as Record<string, unknown> }
    } catch {
      return undefined
    }
  }

  const read: Operators['read'] = async () => {
    for (let tries = 0; tries < 6; tries++) {
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
    let end: PutResult = { kind: 'lost' }
    for (let tries = 0; tries < 5 && end.kind === 'lost'; tries++) end = await put(base, next, token, operation)
    if (end.kind === 'conflict') conflicts++
    if (end.kind !== 'accepted') return
    accepted.push({ version: end.version, operation, title, acceptedAt: performance.now() })
    const again = await put(base, next, token, operation)
    if (again.kind === 'accepted' && again.version !== end.version) throw new Error(`a resend was applied again: ${end.version}, then ${again.version}`)
    if (again.kind === 'conflict') throw new Error(`a resend of version ${end.version} was answered with a conflict`)
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
