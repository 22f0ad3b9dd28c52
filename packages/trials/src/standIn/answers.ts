/** Answers of the engine stand-in, computed from the question alone so that a caller can verify its answer. */
import * as contracts from '@kingcupdeck/contracts'

/** Number of words in an answer to a request without a token limit. */
export const DEFAULT_ANSWER_TOKENS = 24

/** A message of a chat. */
export interface Message { role: string, content: unknown }

/** Returns the `count` words of the answer to the last message of a chat. */
export function toAnswerWords (messages: readonly Message[], count: number): string[] {
  const question = JSON.stringify(messages.at(-1)?.content ?? '')
  return Array.from({ length: count }, (_, i) => 'w' + contracts.hash32(question, i).toString(36))
}

/** Returns the answer to the last message of a chat as text of `count` words. */
export function toAnswerText (messages: readonly Message[], count = DEFAULT_ANSWER_TOKENS): string {
  return toAnswerWords(messages, count).join(' ')
}
