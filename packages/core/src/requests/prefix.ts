/** Hashes of prompt prefixes, by which a request is routed to a group that has cached its beginning. */

import { createHash } from 'node:crypto';

/** Length of one block in characters; prefixes end at block boundaries. */
export const PREFIX_BLOCK_CHARACTERS = 256;
/** Number of blocks at the start of a prompt that are hashed. */
export const MAX_PREFIX_BLOCKS = 16;

/** Length of a prompt's prefix and the hash that identifies it in cache events. */
export type PromptPrefix = {
  readonly characters: number;
  readonly hash: string;
};

/**
 * Returns the hashes of a prompt's prefixes that end at block boundaries, shortest first. The salt is the
 * workspace, so that no workspace can find out what another one asked.
 */
export function prefixHashes(salt: string, prompt: string): PromptPrefix[] {
  const prefixes: PromptPrefix[] = [];
  let previousHash = salt;
  for (let block = 0; block < MAX_PREFIX_BLOCKS; block++) {
    const end = (block + 1) * PREFIX_BLOCK_CHARACTERS;
    if (end > prompt.length) {
      break;
    }
    previousHash = prefixHash(
      `${previousHash}\0${prompt.slice(end - PREFIX_BLOCK_CHARACTERS, end)}`,
    );
    prefixes.push({ characters: end, hash: previousHash });
  }
  return prefixes;
}

const HASH_CHARACTERS = 16;

function prefixHash(text: string): string {
  return createHash('sha1').update(text).digest('hex').slice(0, HASH_CHARACTERS);
}
