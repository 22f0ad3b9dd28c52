/** Queue of events to one task, in the order in which they were put in. */

/** Queue with one reader. */
export interface Mailbox<T> {
  put (event: T): void
  /** Resolves with the next event. The previous call must have resolved. */
  take (): Promise<T>
}

/** Creates an empty mailbox. */
export function createMailbox<T> (): Mailbox<T> {
  const queued: T[] = []
  let waiter: ((event: T) => void) | undefined
  return {
    put (event) {
      const resolve = waiter
      waiter = undefined
      if (resolve !== undefined) resolve(event)
      else queued.push(event)
    },
    async take () {
      const first = queued.shift()
      if (first !== undefined) return first
      return await new Promise(resolve => { waiter = resolve })
    }
  }
}
