/** Text in header values: the HTTP library sends each character as one byte. */

const NOT_ASCII = /[^\x20-\x7e]/
/** Control characters, and halves of a character that UTF-8 has no bytes for. */
const UNWRITABLE = /[\p{Cc}\p{Cs}]/u
// eslint-disable-next-line no-control-regex
const UNSENDABLE = /[\x00-\x08\x0a-\x1f\x7f]/

/** Returns whether a header can hold a text. */
export function isSendable (text: string): boolean {
  return !UNSENDABLE.test(text)
}

/** Returns whether a text is received as it was written when it is sent in a header. */
export function isHeaderText (text: string): boolean {
  return text !== '' && !UNWRITABLE.test(text) && text.trim() === text
}

/** Returns the value of a header that sends a text as UTF-8; what no header may hold is replaced. */
export function toHeaderText (text: string): string {
  if (!NOT_ASCII.test(text)) return text
  return Buffer.from(text).toString('latin1').replace(new RegExp(UNSENDABLE, 'g'), '?')
}
