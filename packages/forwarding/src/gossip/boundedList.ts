/** Lists in messages of other entry instances, which may be of an earlier version or damaged. */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'

/** Longest key or name in a message, characters: an id with the time of a start. */
const MAX_KEY_LENGTH = contracts.input.MAX_NAME_LENGTH + 64
/** Endpoints that a message may name, more than the largest fleet has. */
const MAX_ENDPOINTS = 20_000
/** A count of requests in a message, more than a fleet runs. */
const MAX_COUNT = 10_000_000

/** A key or name that is only compared. */
export const key = z.string().max(MAX_KEY_LENGTH)
/** A count of requests. */
export const requests = z.number().nonnegative().max(MAX_COUNT)
/** Any list, whose items are not looked at. */
const list = z.custom<readonly unknown[]>(Array.isArray)

/**
 * Returns the schema of a list whose invalid items are left out.
 * @param max number of items that are read, the first ones
 */
export function boundedList<T> (item: z.ZodType<T>, max: number): z.ZodType<T[]> {
  const all = z.array(item)
  return list.transform(list => {
    const read = list.slice(0, max)
    const whole = all.safeParse(read)
    return whole.success ? whole.data : contracts.input.parseEach(item, read).accepted
  })
}

/**
 * Returns the schema of a list whose invalid items are left out, for lists that are long and frequent.
 * @param max number of items that are read, the first ones
 */
function checkedList<T> (isItem: (item: unknown) => item is T, max: number): z.ZodType<T[]> {
  return list.transform(list => list.slice(0, max).filter(isItem))
}

/** Returns the schema of a list of keys or names. */
export function keyList (max: number): z.ZodType<string[]> {
  return checkedList(isKey, max)
}

/** Schema of a list of endpoint id, requests in flight, and queue delay in milliseconds or null if unknown. */
export const loads = checkedList((item): item is [string, number, number | null] => {
  return isTriple(item) && isKey(item[0]) && isNumber(item[1], MAX_COUNT) && (item[2] === null || isNumber(item[2], contracts.input.MAX_TIMER_MS))
}, MAX_ENDPOINTS)

/** Schema of a list of endpoint id, attempts, and those of them that were missed. */
export const outcomes = checkedList((item): item is [string, number, number] => {
  return isTriple(item) && isKey(item[0]) && isNumber(item[1], MAX_COUNT) && isNumber(item[2], MAX_COUNT)
}, MAX_ENDPOINTS)

function isTriple (item: unknown): item is [unknown, unknown, unknown] {
  return Array.isArray(item) && item.length === 3
}

function isKey (item: unknown): item is string {
  return typeof item === 'string' && item.length <= MAX_KEY_LENGTH
}

function isNumber (item: unknown, max: number): item is number {
  return typeof item === 'number' && item >= 0 && item <= max
}
