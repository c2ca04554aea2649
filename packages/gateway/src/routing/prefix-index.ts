/** Which groups hold which prompt prefixes, from late and gappy cache events; bounded. */
import type { GroupId, PromptPrefix } from '@hingescale/core';
import { prefixHashes } from '@hingescale/core';
import type { GroupCacheEvents } from '@hingescale/link';

const MAX_PREFIXES = 50_000;

/** Prefixes by hash, the least recently noted out first. */
export class PrefixIndex {
  readonly #holders = new Map<string, Set<GroupId>>();
  readonly #cursors = new Map<GroupId, number>();

  /** Number of prefixes known. */
  get size(): number {
    return this.#holders.size;
  }

  /** Cache event number to go on from, by group. */
  cursors(): Record<GroupId, number> {
    return Object.fromEntries(this.#cursors);
  }

  /** Takes events; lost ones leave entries that are wrong for a while and cost a slower start. */
  take(events: readonly GroupCacheEvents[]): void {
    for (const { group, next, stored, evicted } of events) {
      this.#cursors.set(group, next);
      stored.forEach(hash => {
        this.#note(hash, group);
      });
      evicted.forEach(hash => this.#holders.get(hash)?.delete(group));
    }
  }

  /** Notes that a group is about to hold the prefixes of a prompt. */
  expect(group: GroupId, prefixes: readonly PromptPrefix[]): void {
    prefixes.forEach(({ hash }) => {
      this.#note(hash, group);
    });
  }

  /** Prefixes of a prompt, salted with the workspace, shortest first. */
  prefixesOf(workspace: string, prompt: string): PromptPrefix[] {
    return prefixHashes(workspace, prompt);
  }

  /** Blocks at the start of a prompt that a group holds. */
  cachedBlocks(group: GroupId, prefixes: readonly PromptPrefix[]): number {
    for (let blocks = prefixes.length; blocks > 0; blocks--) {
      if (this.#holders.get(prefixes[blocks - 1].hash)?.has(group) === true) {
        return blocks;
      }
    }
    return 0;
  }

  #note(hash: string, group: GroupId): void {
    const holders = this.#holders.get(hash) ?? new Set();
    holders.add(group);
    // Set anew, so that the entry counts as recent.
    this.#holders.delete(hash);
    this.#holders.set(hash, holders);
    if (this.#holders.size > MAX_PREFIXES) {
      const [oldest] = this.#holders.keys();
      this.#holders.delete(oldest);
    }
  }
}
