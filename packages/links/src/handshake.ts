/**
 * Mutual proof of the fleet secret when a link opens. Each side sends a nonce and answers the other's with an HMAC, so a
 * recorded handshake is worth nothing later and the secret itself never travels.
 */
import * as crypto from 'node:crypto'
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'

/** Version of the protocol between instances; both ends must have the same. */
export const PROTOCOL = 1

/** Who stands at an end of a link. */
export const identity = z.object({ role: z.enum(['router', 'control', 'tool']), id: z.string().min(1).max(63) })
/** Who stands at an end of a link. */
export type Identity = z.infer<typeof identity>

/** First frame of the side that connects. */
export const clientHello = z.object({ protocol: z.literal(PROTOCOL), who: identity, nonce: z.string().min(16).max(64) })
/** Answer of the side that listens. */
export const serverHello = z.object({ protocol: z.literal(PROTOCOL), who: identity, nonce: z.string().min(16).max(64), proof: z.string() })
/** Last frame of the handshake. */
export const clientProof = z.object({ proof: z.string() })

/** @returns a fresh nonce */
export function createNonce (): string {
  return crypto.randomBytes(16).toString('hex')
}

/**
 * Computes one side's proof.
 * @param secret the fleet secret
 * @param side which side proves itself; keeps a proof from being reflected
 * @param theirs the other side's nonce
 * @param ours this side's nonce
 * @param who the identity that is claimed
 * @returns the proof in hexadecimal
 */
export function createProof (secret: string, side: 'dials' | 'listens', theirs: string, ours: string, who: Identity): string {
  return crypto.createHmac('sha256', secret).update([side, theirs, ours, who.role, who.id].join('\n')).digest('hex')
}

/**
 * Checks a proof in constant time.
 * @param expected what it should be
 * @param given what came
 * @returns whether they are equal
 */
export function isValidProof (expected: string, given: string): boolean {
  return contracts.isSameSecret(expected, given)
}
