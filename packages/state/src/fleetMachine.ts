/**
 * State machine of the fleet: the configuration document with its history, and the fleet view. Documents are accepted by
 * compare-and-set on their base version, so that concurrent operators cannot overwrite each other, and with an operation
 * id, so that a resend is idempotent.
 */
import * as cbor from 'cbor-x'
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as replicaOptions from './replicaOptions.js'

const MAX_HISTORY_ITEMS = 1000
const MAX_OPERATIONS = 2000
const MAX_DELTAS = 200
const MAX_VIEW_CHANGES = 400

/** Commands of the fleet state machine. */
export const fleetCommand = z.discriminatedUnion('t', [
  z.object({ t: z.literal('put'), operator: z.string(), operation: z.string(), baseVersion: z.int(), document: z.unknown() }),
  z.object({ t: z.literal('join'), instance: contracts.instance }),
  z.object({ t: z.literal('left'), id: z.string(), incarnation: z.int() }),
  z.object({ t: z.literal('leaving'), id: z.string(), incarnation: z.int() })
])
export type FleetCommand = z.infer<typeof fleetCommand>

/** Results of the commands. */
export type FleetResult =
  | { t: 'put', version: number }
  | { t: 'conflict', currentVersion: number }
  | { t: 'joined', incarnation: number }
  | { t: 'done' }

interface Operation { id: string, version: number }
interface Delta { version: number, changes: contracts.Change[] }

interface State {
  version: number
  document: contracts.Document | null
  history: contracts.HistoryItem[]
  operations: Operation[]
  deltas: Delta[]
  view: number
  instances: contracts.Instance[]
  viewChanges: contracts.ViewChange[]
}

/** The fleet state machine with read access to its state. */
export interface FleetMachine extends replicaOptions.StateMachine {
  version (): number
  document (): contracts.Document | null
  history (): readonly contracts.HistoryItem[]
  /** @returns the delta from version `from`, or the full document when the delta is not retained; undefined when up to date or without a document */
  documentUpdate (from: number): contracts.DocumentUpdate | undefined
  view (): number
  instances (): readonly contracts.Instance[]
  find (id: string): contracts.Instance | undefined
  /** @returns the changes since view `from`, or a base view with changes when they are not retained */
  viewUpdate (from: number, laggards: contracts.ViewUpdate['laggards']): contracts.ViewUpdate
}

const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/** @param onChange called after each applied change */
export function createFleetMachine (onChange: (changed: 'document' | 'view') => void = () => {}): FleetMachine {
  let state: State = { version: 0, document: null, history: [], operations: [], deltas: [], view: 0, instances: [], viewChanges: [] }

  const put = (cmd: Extract<FleetCommand, { t: 'put' }>, atMs: number): FleetResult => {
    const earlier = state.operations.find(item => item.id === `${cmd.operator}/${cmd.operation}`)
    if (earlier !== undefined) return { t: 'put', version: earlier.version }
    if (cmd.baseVersion !== state.version) return { t: 'conflict', currentVersion: state.version }
    const next = cmd.document as contracts.Document
    const changes = state.document === null ? [] : contracts.diffDocuments(state.document, next)
    state.version++
    state.document = next
    state.history = [...state.history, { version: state.version, operator: cmd.operator, operation: cmd.operation, atMs, changes: changes.length }].slice(-MAX_HISTORY_ITEMS)
    state.operations = [...state.operations, { id: `${cmd.operator}/${cmd.operation}`, version: state.version }].slice(-MAX_OPERATIONS)
    state.deltas = [...state.deltas, { version: state.version, changes }].slice(-MAX_DELTAS)
    onChange('document')
    return { t: 'put', version: state.version }
  }

  const recordViewChange = (kind: contracts.ViewChange['kind'], instance: contracts.Instance): void => {
    state.view++
    state.viewChanges = [...state.viewChanges, { number: state.view, kind, instance }].slice(-MAX_VIEW_CHANGES)
    onChange('view')
  }

  const join = (requested: contracts.Instance): FleetResult => {
    const known = state.instances.find(item => item.id === requested.id)
    if (known !== undefined) return { t: 'joined', incarnation: known.boot === requested.boot ? known.incarnation : 0 }
    const instance = { ...requested, incarnation: state.view + 1, leaving: false }
    state.instances = [...state.instances, instance]
    recordViewChange('joined', instance)
    return { t: 'joined', incarnation: instance.incarnation }
  }

  const left = (id: string, incarnation: number): FleetResult => {
    const known = state.instances.find(item => item.id === id && item.incarnation === incarnation)
    if (known === undefined) return { t: 'done' }
    state.instances = state.instances.filter(item => item !== known)
    recordViewChange('left', known)
    return { t: 'done' }
  }

  const leaving = (id: string, incarnation: number): FleetResult => {
    const known = state.instances.find(item => item.id === id && item.incarnation === incarnation)
    if (known === undefined || known.leaving) return { t: 'done' }
    const instance = { ...known, leaving: true }
    state.instances = state.instances.map(item => item === known ? instance : item)
    recordViewChange('leaving', instance)
    return { t: 'done' }
  }

  return {
    apply (command, ctx) {
      const cmd = command as FleetCommand
      switch (cmd.t) {
        case 'put': return put(cmd, ctx.atMs)
        case 'join': return join(cmd.instance)
        case 'left': return left(cmd.id, cmd.incarnation)
        case 'leaving': return leaving(cmd.id, cmd.incarnation)
      }
    },
    save: () => codec.encode(state),
    restore (bytes) {
      state = codec.decode(bytes) as State
      onChange('document')
      onChange('view')
    },
    version: () => state.version,
    document: () => state.document,
    history: () => state.history,
    documentUpdate (from) {
      if (from === state.version || state.document === null) return undefined
      const deltas = state.deltas.filter(item => item.version > from)
      const isComplete = from > 0 && deltas.length === state.version - from
      if (!isComplete) return { version: state.version, whole: state.document }
      return { version: state.version, baseVersion: from, changes: deltas.flatMap(item => item.changes) }
    },
    view: () => state.view,
    instances: () => state.instances,
    find: id => state.instances.find(item => item.id === id),
    viewUpdate (from, laggards) {
      const oldestRetained = state.viewChanges[0]?.number ?? state.view + 1
      if (from > 0 && from + 1 >= oldestRetained) {
        return { number: state.view, changes: state.viewChanges.filter(item => item.number > from), laggards }
      }
      // Includes the views that laggards may still act on, so that the receiver can determine their endpoint owners.
      const baseNumber = Math.min(state.view, ...laggards.map(item => Math.max(item.seen, oldestRetained - 1)))
      const { instances, changes } = rewind(state, baseNumber)
      return { number: state.view, base: { number: baseNumber, instances }, changes, laggards }
    }
  }
}

/** Reverts the latest view changes, to reconstruct the instances of an earlier view. */
function rewind (state: State, to: number): { instances: contracts.Instance[], changes: contracts.ViewChange[] } {
  const changes = state.viewChanges.filter(item => item.number > to)
  let instances = [...state.instances]
  for (const item of [...changes].reverse()) {
    switch (item.kind) {
      case 'joined': instances = instances.filter(other => other.id !== item.instance.id); break
      case 'left': instances = [...instances, item.instance]; break
      case 'leaving': instances = instances.map(other => other.id === item.instance.id ? { ...other, leaving: false } : other); break
    }
  }
  return { instances, changes }
}
