/** Virtual time for a replica group in one process. */

interface Timer { at: number, order: number, run: () => void }

/** Virtual clock that advances from timer to timer. */
export class VirtualClock {
  private at = 0
  private order = 0
  private timers: Timer[] = []

  now (): number { return this.at }

  schedule (ms: number, run: () => void): void {
    this.timers.push({ at: this.at + Math.max(0, ms), order: this.order++, run })
  }

  /** Advances the time, settling all promises between two timers. */
  async advance (ms: number): Promise<void> {
    const until = this.at + ms
    while (true) {
      await settle()
      this.timers.sort((a, b) => a.at - b.at || a.order - b.order)
      const next = this.timers[0]
      if (next === undefined || next.at > until) break
      this.timers.shift()
      this.at = next.at
      next.run()
    }
    this.at = until
  }
}

async function settle (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}
