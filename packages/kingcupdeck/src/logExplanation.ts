/** Finds the cause of a failed request in the logs of several instances, correlated by request id. */
import * as z from 'zod'

const logLine = z.looseObject({ at: z.string(), instance: z.string(), event: z.string() })
/** A JSON log line. */
export type LogLine = z.infer<typeof logLine>

/** The log lines that explain a request, and the cause derived from them. */
export interface Explanation {
  /** Lines with the request's id, oldest first. */
  own: LogLine[]
  /** Lines about the same request of other attempts, about the endpoints that were tried and about the instance that handled the request, within {@link CONTEXT_WINDOW_MS} of its end. */
  around: LogLine[]
  /** One sentence, human-readable. */
  cause: string
}

/** Events up to this long before and after the end of a request are related to it. */
const CONTEXT_WINDOW_MS = 10_000

/**
 * Parses JSON log lines and skips all other text.
 * @param text content of a log file; lines may have a prefix before the JSON object
 */
export function parseLogLines (text: string): LogLine[] {
  return text.split('\n').flatMap(raw => {
    const from = raw.indexOf('{')
    if (from < 0) return []
    try {
      const parsed = logLine.safeParse(JSON.parse(raw.slice(from)))
      return parsed.success ? [parsed.data] : []
    } catch {
      return []
    }
  })
}

/**
 * Explains the outcome of a request.
 * @param lines lines of all instances, in any order
 * @param request the request id
 */
export function explainRequest (lines: readonly LogLine[], request: string): Explanation {
  const own = lines.filter(item => item.request === request).sort(byTime)
  if (own.length === 0) return { own, around: [], cause: 'no instance logged this request: it did not arrive, or its log line was dropped (see event linesDropped)' }
  const last = own[own.length - 1]
  const at = Date.parse(last.at)
  const endpoints = toText(last.attempts).split('; ').map(item => item.split(' ')[0]).filter(item => item !== '')
  const fingerprint = toText(last.fingerprint)
  const isSameRequest = (item: LogLine): boolean => fingerprint !== '' && item.fingerprint === fingerprint
  const around = lines
    .filter(item => Math.abs(Date.parse(item.at) - at) < CONTEXT_WINDOW_MS && (isSameRequest(item) || endpoints.includes(toText(item.endpoint)) || endpoints.includes(toText(item.id)) || isInstanceEvent(item, last.instance)))
    .sort(byTime)
  return { own, around, cause: toCause(last, around) }
}

function toCause (last: LogLine, around: readonly LogLine[]): string {
  const location = `at ${last.instance}, document version ${toText(last.document) || 'none'}`
  if (last.event === 'requestRefused') {
    const sources = toText(last.sources) === '' ? '' : `; document ${toText(last.document)}, newest known ${toText(last.newest)}, subscriptions: ${toText(last.sources)}`
    return `refused with ${toText(last.status)} before any endpoint was tried: ${toText(last.why)}${sources} (${location})`
  }
  const outcome = toText(last.outcome)
  const tried = toText(last.attempts) === '' ? 'no endpoint was tried' : `tried: ${toText(last.attempts)}`
  const downEndpoints = around.filter(item => item.event === 'endpointGone').map(item => `${toText(item.endpoint)} (${toText(item.why)})`)
  const downSuffix = downEndpoints.length === 0 ? '' : `; marked down around that time: ${[...new Set(downEndpoints)].join(', ')}`
  const lostPaths = around.filter(item => item.event === 'pathLost').map(item => `${toText(item.service)} in ${toText(item.zone)}`)
  const pathSuffix = lostPaths.length === 0 ? '' : `; ${last.instance} lost its paths to ${[...new Set(lostPaths)].join(', ')} around that time`
  const reach = toText(last.reach) === '' ? '' : `; endpoints reached from there: ${toText(last.reach)}`
  return `ended with "${outcome}" after ${toText(last.totalMs)} of ${toText(last.waitMs)} ms; ${tried}${reach}${pathSuffix}${downSuffix} (${location})`
}

function isInstanceEvent (item: LogLine, instance: string): boolean {
  return item.instance === instance && ['pathLost', 'pathRegained', 'controlLost', 'controlFound', 'documentInForce', 'documentReported', 'documentNotFetched', 'stopping', 'started', 'linesDropped', 'uncaught'].includes(item.event)
}

function byTime (left: LogLine, right: LogLine): number {
  return Date.parse(left.at) - Date.parse(right.at)
}

function toText (value: unknown): string {
  return value === undefined || value === null ? '' : String(value)
}
