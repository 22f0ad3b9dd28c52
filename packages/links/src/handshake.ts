/**
 * Mutual authentication of a link. Each side answers the other's nonce with an HMAC keyed with the fleet secret, so the
 * secret is never sent and a handshake cannot be replayed.
 */
import * as crypto from 'node:crypto'
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'

/** Version of the protocol between instances; must be equal on both sides. */
export const PROTOCOL = 1

/** Identity of a process at one end of a link. */
export const identity = z.object({ role: z.enum(['router', 'control', 'tool']), id: z.string().min(1).max(63) })
/** Identity of a process at one end of a link. */
export type Identity = z.infer<typeof identity>

/** First frame of the dialling side. */
export const clientHello = z.object({ protocol: z.literal(PROTOCOL), who: identity, nonce: z.string().min(16).max(64) })
/** Response of the listening side. */
export const serverHello = z.object({ protocol: z.literal(PROTOCOL), who: identity, nonce: z.string().min(16).max(64), proof: z.string() })
/** Last frame of the handshake, from the dialling side. */
export const clientProof = z.object({ proof: z.string(), /** What the other side is to connect to, if a tunnel is opened instead of a link. */ target: z.string().min(1).max(200).optional() })

export function createNonce (): string {
  return crypto.randomBytes(16).toString('hex')
}

/**
 * Computes the proof of one side.
 * @param side the side that proves itself; prevents reflection of a proof
 * @param theirs nonce of the other side
 * @param ours nonce of the side that proves itself
 * @param who claimed identity
 * @param target target of a tunnel, undefined for a link
 */
export function createProof (secret: string, side: 'dials' | 'listens', theirs: string, ours: string, who: Identity, target?: string): string {
  const fields = [side, theirs, ours, who.role, who.id, ...(target === undefined ? [] : [target])]
  return crypto.createHmac('sha256', secret).update(fields.join('\n')).digest('hex')
}

/** Compares a received proof with the expected one in constant time. */
export function isValidProof (expected: string, received: string): boolean {
  return contracts.isSameSecret(expected, received)
}
