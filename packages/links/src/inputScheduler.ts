/** Shares the time that a process spends on the input of clients: connections take turns, so that one with costly input delays the others little. */

/** How input is handled: heads, and bodies with a length, go before chunked bodies, of which each byte may be a chunk. */
export const INPUT_KINDS = ['prompt', 'chunked'] as const
export type InputKind = typeof INPUT_KINDS[number]

/** Input of one connection that can be handled now. */
export interface InputSource { /** Handles input up to about a slice of its cost. */ run: () => void }

/** Shares time between the connections of a process. */
export interface InputScheduler {
  /** Returns whether input may be handled in this turn of the event loop. */
  hasTime (kind: InputKind): boolean
  /** Records the cost of handled input. */
  charge (kind: InputKind, cost: number): void
  /** Lets a source run in a later turn, after those of its kind that wait already. */
  defer (kind: InputKind, source: InputSource): void
  cancel (source: InputSource): void
}

/** Cost that is handled in a turn of the event loop, some milliseconds of work each. */
export const MAX_TURN_COST: { readonly [kind in InputKind]: number } = { prompt: 64 * 1024, chunked: 16 * 1024 }

/** Creates a scheduler without sources. */
export function createInputScheduler (): InputScheduler {
  const waiting = { prompt: new Set<InputSource>(), chunked: new Set<InputSource>() }
  const left = { ...MAX_TURN_COST }
  let isPlanned = false

  const plan = (): void => {
    if (isPlanned) return
    isPlanned = true
    setImmediate(runTurn)
  }

  const runTurn = (): void => {
    isPlanned = false
    Object.assign(left, MAX_TURN_COST)
    for (const kind of INPUT_KINDS) {
      // Sources that wait again wait for the next turn.
      for (const source of [...waiting[kind]]) {
        if (left[kind] <= 0) break
        if (waiting[kind].delete(source)) source.run()
      }
    }
    if (INPUT_KINDS.some(kind => waiting[kind].size > 0)) plan()
  }

  return {
    hasTime: kind => left[kind] > 0,
    charge (kind, cost) {
      left[kind] -= cost
      if (left[kind] <= 0) plan()
    },
    defer (kind, source) {
      waiting[kind].add(source)
      plan()
    },
    cancel (source) { for (const kind of INPUT_KINDS) waiting[kind].delete(source) }
  }
}
