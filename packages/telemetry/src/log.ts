/** Numbered log events through consola: one line an event, as text or JSON, with secrets left out. */
import * as consola from 'consola/core'
import * as contracts from '@kingcupdeck/contracts'

/** The facts that go with an event. */
export type Fields = Record<string, string | number | boolean | null | undefined>

/** Writes numbered events. */
export interface Log {
  /**
   * Logs an event of the catalogue.
   * @param name the event
   * @param fields its facts
   */
  event (name: contracts.EventName, fields?: Fields): void
}

/** How a log is written. */
export interface LogOptions {
  /** Name of the process, on every line. */
  instance: string
  /** One JSON object a line. */
  json?: boolean
  /** The least grave level that is written. */
  level?: contracts.Level | 'silent'
  /** Where lines go; standard error when absent. */
  write?: (line: string) => void
}

const LEVELS = { error: 0, warn: 1, info: 3, silent: -999 }
const SECRET_NAMES = /token|secret|authorization|password/i

/**
 * Creates a log.
 * @param opts how it is written
 * @returns the log
 * @example
 * const log = createLog({ instance: 'r1', json: true })
 * log.event('started', { port: 8080 })
 */
export function createLog (opts: LogOptions): Log {
  const write = opts.write ?? ((line: string) => { process.stderr.write(line + '\n') })
  const format = opts.json ? toJsonLine : toTextLine
  const out = consola.createConsola({
    level: LEVELS[opts.level ?? 'info'],
    // Lines that resemble each other are different decisions: none is folded into another.
    throttle: 0,
    reporters: [{ log: entry => { write(format(opts.instance, entry.date, entry.args[0] as Entry)) } }]
  })
  return {
    event (name, fields = {}) {
      const spec = contracts.EVENTS[name]
      const entry: Entry = { name, code: spec.code, level: spec.level, text: spec.text, fields: redact(fields) }
      out[spec.level](entry)
    }
  }
}

interface Entry { name: string, code: number, level: contracts.Level, text: string, fields: Fields }

function redact (fields: Fields): Fields {
  const kept: Fields = {}
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) kept[key] = SECRET_NAMES.test(key) ? '(left out)' : value
  }
  return kept
}

function toJsonLine (instance: string, date: Date, entry: Entry): string {
  return JSON.stringify({ at: date.toISOString(), instance, code: entry.code, level: entry.level, event: entry.name, text: entry.text, ...entry.fields })
}

function toTextLine (instance: string, date: Date, entry: Entry): string {
  const facts = Object.entries(entry.fields).map(([key, value]) => `${key}=${String(value)}`).join(' ')
  return `${date.toISOString()} ${instance} ${entry.level} K${entry.code} ${entry.text}${facts === '' ? '' : ' ' + facts}`
}
