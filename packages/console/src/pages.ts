/** Static pages of the operator console, served by every control instance. */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as markup from './markup.js'
import * as script from './script.js'
import * as style from './style.js'

/** Content type and body of a page. */
export interface Page { contentType: string, body: string }

const PAGES = new Map<string, Page>([
  ['/', { contentType: 'text/html; charset=utf-8', body: markup.MARKUP }],
  ['/console.js', { contentType: 'text/javascript; charset=utf-8', body: script.SCRIPT }],
  ['/console.css', { contentType: 'text/css; charset=utf-8', body: style.STYLE }]
])

/** Returns the page at a request path, or undefined if there is none. */
export function findPage (path: string): Page | undefined {
  return PAGES.get(path)
}

/** Returns the JSON schema of the configuration document, from which the console generates its forms. */
export function toDocumentSchema (): unknown {
  return z.toJSONSchema(contracts.document, { unrepresentable: 'any', io: 'input' })
}
