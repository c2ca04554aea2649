/** UUIDs and hashes. */
import { createHash, randomBytes } from 'node:crypto';

import type { HashFunction } from '@hingescale/core';
import { formatUuidV7 } from '@hingescale/core';
import createXxhash from 'xxhash-wasm';

/** Random bytes from which a UUIDv7 is formatted. */
const UUID_RANDOM_BYTES = 12;

/** Creates a UUIDv7 with the current wall-clock time. */
export function newUuid(): string {
  return formatUuidV7(Date.now(), randomBytes(UUID_RANDOM_BYTES));
}

/** Returns the SHA-256 hash of a text in lower-case hexadecimal. */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Loads the 32-bit xxHash function that is used for shares of the key space and for prompt prefixes. */
export async function loadHash(): Promise<HashFunction> {
  const xxhash = await createXxhash();
  return text => xxhash.h32(text);
}
