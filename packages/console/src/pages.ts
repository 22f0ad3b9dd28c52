/** The pages of the operator console, served by every control instance. */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'

/** A page as it is served. */
export interface Page { contentType: string, body: string }

/**
 * Finds a page by its path.
 * @param path the path of a request
 * @returns the page, or undefined
 */
export function findPage (path: string): Page | undefined {
  return PAGES.get(path)
}

const PAGES = new Map<string, Page>()

/** @returns the document's JSON schema */
export function toDocumentSchema (): unknown {
  return z.toJSONSchema(contracts.document, { unrepresentable: 'any', io: 'input' })
}
