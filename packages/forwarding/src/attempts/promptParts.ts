/** Parts of the prompt of a request, as its header lists them. */

/**
 * Returns the ids of the parts that the prompt of a request shares with other requests: all but the last one.
 * @param raw alternating names and values of headers
 * @param name name of the header, in lower case
 * @returns the ids in order, each once
 */
export function toSharedParts (raw: readonly string[], name: string): string[] {
  const ids: string[] = []
  for (let i = 0; i < raw.length; i += 2) {
    if (raw[i].toLowerCase() !== name) continue
    for (const part of raw[i + 1].split(',')) ids.push(part.split(':')[0].trim())
  }
  return [...new Set(ids.slice(0, -1))]
}
