/** Prompt prefixes by which requests find a group that has their start in its cache. */

import { createHash } from 'node:crypto';

/** Characters of one block; prefixes end at block borders. */
export const PREFIX_BLOCK_CHARACTERS = 256;
/** Blocks of a prompt that are looked at. */
export const MAX_PREFIX_BLOCKS = 16;

/** A prefix of a prompt and the hash that cache events name it by. */
export type PromptPrefix = {
  readonly characters: number;
  readonly hash: string;
};

/**
 * Hashes of the prefixes of a prompt at block borders, shortest first. The salt is the workspace,
 * so that no workspace can find out what another one asked.
 */
export function prefixHashes(salt: string, prompt: string): PromptPrefix[] {
  const prefixes: PromptPrefix[] = [];
  let before = salt;
  for (let block = 0; block < MAX_PREFIX_BLOCKS; block++) {
    const end = (block + 1) * PREFIX_BLOCK_CHARACTERS;
    if (end > prompt.length) {
      break;
    }
    before = prefixHash(`${before}\0${prompt.slice(end - PREFIX_BLOCK_CHARACTERS, end)}`);
    prefixes.push({ characters: end, hash: before });
  }
  return prefixes;
}

const HASH_CHARACTERS = 16;

function prefixHash(text: string): string {
  return createHash('sha1').update(text).digest('hex').slice(0, HASH_CHARACTERS);
}
