/** The answers of the stand-ins: a function of the question alone, so that a caller can check that it got its own. */
import * as contracts from '@kingcupdeck/contracts'

/** Words in an answer when the request names no limit. */
export const DEFAULT_ANSWER_TOKENS = 24

/** A message of a chat. */
export interface Message { role: string, content: unknown }

/**
 * The answer to a chat.
 * @param messages the chat
 * @param count words in the answer
 * @returns the words
 */
export function toAnswerWords (messages: readonly Message[], count: number): string[] {
  const question = JSON.stringify(messages.at(-1)?.content ?? '')
  return Array.from({ length: count }, (_, i) => 'w' + contracts.hash32(question, i).toString(36))
}

/**
 * The text of the answer to a chat.
 * @param messages the chat
 * @param count words in the answer
 * @returns the text as a caller gets it
 */
export function toAnswerText (messages: readonly Message[], count = DEFAULT_ANSWER_TOKENS): string {
  return toAnswerWords(messages, count).join(' ')
}
