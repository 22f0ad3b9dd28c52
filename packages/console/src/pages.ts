/** The pages of the operator console, served by every control instance; plain files, nothing to build. */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as markup from './markup.js'
import * as script from './script.js'
import * as style from './style.js'

/** A page as it is served. */
export interface Page { contentType: string, body: string }

const PAGES = new Map<string, Page>([
  ['/', { contentType: 'text/html; charset=utf-8', body: markup.MARKUP }],
  ['/console.js', { contentType: 'text/javascript; charset=utf-8', body: script.SCRIPT }],
  ['/console.css', { contentType: 'text/css; charset=utf-8', body: style.STYLE }]
])

/**
 * Finds a page by its path.
 * @param path the path of a request
 * @returns the page, or undefined
 */
export function findPage (path: string): Page | undefined {
  return PAGES.get(path)
}

/** @returns the document's JSON schema, which the forms are made from */
export function toDocumentSchema (): unknown {
  return z.toJSONSchema(contracts.document, { unrepresentable: 'any', io: 'input' })
}
