/** Mutual authentication of both ends of a link by a shared key (HMAC-SHA-256 over both nonces). */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

const NONCE_BYTES = 16;

/** Version of the link protocol. */
export const LINK_VERSION = 1;

/** Identity of the process at the connecting end of a link. */
export type LinkIdentity = {
  readonly role: 'gateway' | 'controller' | 'entry' | 'tool';
  readonly name: string;
  readonly failureDomain: string;
};

/** First frame of the connecting end. */
export type Greeting = {
  readonly version: number;
  readonly identity: LinkIdentity;
  readonly nonce: string;
};

/** First frame of the accepting end. */
export type Challenge = { readonly nonce: string; readonly proof: string };

/** Second frame of the connecting end. */
export type Confirmation = { readonly proof: string };

/** Returns a random nonce in hexadecimal. */
export function newNonce(): string {
  return randomBytes(NONCE_BYTES).toString('hex');
}

/** Computes the proof of one end, bound to its side, the identity in the greeting and both nonces. */
export function computeProof(
  key: string,
  side: 'accepting' | 'connecting',
  greeting: Greeting,
  nonce: string,
): string {
  const { role, name, failureDomain } = greeting.identity;
  const text = [side, LINK_VERSION, role, name, failureDomain, greeting.nonce, nonce].join('\0');
  return createHmac('sha256', key).update(text).digest('hex');
}

/** Compares two proofs in constant time. */
export function sameProof(a: string, b: string): boolean {
  const left = new TextEncoder().encode(a);
  const right = new TextEncoder().encode(b);
  return left.length === right.length && timingSafeEqual(left, right);
}
