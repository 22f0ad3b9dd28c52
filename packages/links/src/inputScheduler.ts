/** Shares the time that a process spends on the input of clients: connections take turns, so that one with costly input delays the others little. */

/** Input of one connection that can be handled now. */
export interface InputSource { /** Handles input up to about a slice of its cost. */ run: () => void }

/** Shares time between the connections of a process. */
export interface InputScheduler {
  /** Returns whether input may be handled in this turn of the event loop. */
  hasTime (): boolean
  /** Records the cost of handled input. */
  charge (cost: number): void
  /** Lets a source run in a later turn, after those that wait already. */
  defer (source: InputSource): void
  cancel (source: InputSource): void
}

/** Cost that is handled in a turn of the event loop, some ten milliseconds of work. */
export const MAX_TURN_COST = 64 * 1024

/** Creates a scheduler without sources. */
export function createInputScheduler (): InputScheduler {
  const waiting = new Set<InputSource>()
  let left = MAX_TURN_COST
  let isPlanned = false

  const plan = (): void => {
    if (isPlanned) return
    isPlanned = true
    setImmediate(runTurn)
  }

  const runTurn = (): void => {
    isPlanned = false
    left = MAX_TURN_COST
    // Sources that wait again wait for the next turn.
    for (const source of [...waiting]) {
      if (left <= 0) break
      if (waiting.delete(source)) source.run()
    }
    if (waiting.size > 0) plan()
  }

  return {
    hasTime: () => left > 0,
    charge (cost) {
      left -= cost
      if (left <= 0) plan()
    },
    defer (source) {
      waiting.add(source)
      plan()
    },
    cancel (source) { waiting.delete(source) }
  }
}
