/** Random names, UUIDv7 keys and hashes. */
import { createHash, randomBytes } from 'node:crypto';

import type { HashFunction } from '@hingescale/core';
import { formatUuidV7 } from '@hingescale/core';
import createXxhash from 'xxhash-wasm';

const RANDOM_KEY_BYTES = 12;

/** A new UUIDv7 of the present wall time. */
export function newUuid(): string {
  return formatUuidV7(Date.now(), randomBytes(RANDOM_KEY_BYTES));
}

/** SHA-256 of a text, in lower-case hexadecimal. */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Loads the 32-bit xxHash used for shares of the key space and for prefixes. */
export async function loadHash(): Promise<HashFunction> {
  const xxhash = await createXxhash();
  return text => xxhash.h32(text);
}
