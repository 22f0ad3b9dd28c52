/** Figures of a fleet taken from outside: counters of the stand-ins, and link traffic that instances report. */
import * as undici from 'undici'
import * as fleets from './fleet.js'

/** Statistics reported by an engine stand-in. */
export interface EngineStats { endpoint: string, load: number, prompt: number, cached: number, imported: number, maxLoad: number, finished: number, runs: Array<[string, number]>, orders: Array<{ fence: number, isObeyed: boolean }>, lateStarts: number[], carries: unknown[] }

/** Polls the statistics of a fleet's endpoints. */
export interface Observer {
  /** Stops polling and returns the totals after one last poll. */
  finish (): Promise<Observation>
}

/** Totals over all endpoints, including engines that were restarted. */
export interface Observation {
  promptTokens: number
  cachedTokens: number
  importedTokens: number
  /** Largest load divided by mean load, one value for each poll with a mean load of at least `MIN_MEAN_LOAD`. */
  skews: number[]
  /** How often each request started at an engine, by request id. */
  engineRuns: Map<string, number>
  /** How often each idempotency key ran at a plain service. */
  keyRuns: Map<string, number>
  /** How often each request ran at a plain service, by request id. */
  plainRuns: Map<string, number>
  /** Delays between an engine's leaving announcement and each request that started after it, ms. */
  lateStarts: number[]
}

const POLL_INTERVAL_MS = 250
/** Polls with a lower mean load are left out of the skew, which a single request would dominate. */
const MIN_MEAN_LOAD = 1

/** Starts polling the endpoints of a fleet. */
export function startObserver (fleet: fleets.Fleet): Observer {
  const engines = new Map<string, EngineStats>()
  const statsBeforeRestart: EngineStats[] = []
  const keys = new Map<string, Map<string, number>>()
  const plainRuns = new Map<string, Map<string, number>>()
  const skews: number[] = []

  const poll = async (): Promise<void> => {
    const loads: number[] = []
    await Promise.all(fleet.engines.map(async node => {
      const stats = await fleets.getJson(`${node.url}/stats`).catch(() => undefined) as EngineStats | undefined
      if (stats === undefined) return
      const before = engines.get(node.id)
      // Counters restart at zero with the process, so the last values before a restart are kept.
      if (before !== undefined && before.prompt > stats.prompt) statsBeforeRestart.push(before)
      engines.set(node.id, stats)
      loads.push(stats.load)
    }))
    await Promise.all(fleet.plains.map(async node => {
      const stats = await fleets.getJson(`${node.url}/stats`).catch(() => undefined)
      if (stats === undefined) return
      keys.set(node.id, new Map(stats.keys as Array<[string, number]>))
      plainRuns.set(node.id, new Map(stats.runs as Array<[string, number]>))
    }))
    const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length)
    if (mean >= MIN_MEAN_LOAD) skews.push(Math.max(...loads) / mean)
  }

  let isPolling = false
  const timer = setInterval(() => {
    if (isPolling) return
    isPolling = true
    void poll().finally(() => { isPolling = false })
  }, POLL_INTERVAL_MS)

  return {
    async finish () {
      clearInterval(timer)
      await poll()
      const all = [...statsBeforeRestart, ...engines.values()]
      const sum = (select: (stats: EngineStats) => number): number => all.reduce((total, stats) => total + select(stats), 0)
      return {
        promptTokens: sum(stats => stats.prompt),
        cachedTokens: sum(stats => stats.cached),
        importedTokens: sum(stats => stats.imported),
        skews,
        engineRuns: sumByKey(all.map(stats => stats.runs)),
        keyRuns: sumByKey([...keys.values()]),
        plainRuns: sumByKey([...plainRuns.values()]),
        lateStarts: all.flatMap(stats => stats.lateStarts)
      }
    }
  }
}

function sumByKey (lists: Array<Iterable<[string, number]>>): Map<string, number> {
  const sums = new Map<string, number>()
  for (const list of lists) {
    for (const [key, count] of list) sums.set(key, (sums.get(key) ?? 0) + count)
  }
  return sums
}

/**
 * Reads the bytes that router instances sent and received on links between instances, by class.
 * @returns bytes by class, summed over the instances that answered, and the number of these instances
 */
export async function readLinkBytes (fleet: fleets.Fleet): Promise<{ control: number, data: number, ledger: number, instances: number }> {
  const total = { control: 0, data: 0, ledger: 0, instances: 0 }
  await Promise.all(fleet.routers.map(async node => {
    const text = await undici.request(`${node.url}/metrics`, { signal: AbortSignal.timeout(2000) }).then(async res => await res.body.text()).catch(() => undefined)
    if (text === undefined) return
    total.instances++
    for (const match of text.matchAll(/kingcupdeck_link_bytes_total\{direction="\w+",class="(\w+)",message="\w+"\} (\d+)/g)) {
      total[match[1] as 'control' | 'data' | 'ledger'] += Number(match[2])
    }
  }))
  return total
}

/**
 * Returns a quantile of a list, or 0 for an empty list.
 * @param share from 0 to 1
 */
export function toQuantile (list: readonly number[], share: number): number {
  if (list.length === 0) return 0
  const sorted = [...list].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]
}
