/**
 * Index of the prompt prefixes that each group has in its cache, of bounded size. It is built from cache
 * events, which arrive late and may have gaps, so its entries may be wrong.
 */
import type { GroupId, PromptPrefix } from '@hingescale/core';
import { prefixHashes } from '@hingescale/core';
import type { GroupCacheEvents } from '@hingescale/link';

/** Largest number of prefixes in the index. */
const MAX_PREFIXES = 50_000;

/** Maps prefix hashes to the groups that hold them; evicts the least recently recorded prefix first. */
export class PrefixIndex {
  readonly #holders = new Map<string, Set<GroupId>>();
  readonly #cursors = new Map<GroupId, number>();

  /** Number of prefixes in the index. */
  get size(): number {
    return this.#holders.size;
  }

  /** Number of the next cache event to request, by group. */
  cursors(): Record<GroupId, number> {
    return Object.fromEntries(this.#cursors);
  }

  /**
   * Applies cache events. Lost events leave wrong entries for a while, which only make some requests start
   * more slowly.
   */
  applyEvents(events: readonly GroupCacheEvents[]): void {
    for (const { group, next, stored, evicted } of events) {
      this.#cursors.set(group, next);
      stored.forEach(hash => {
        this.#record(hash, group);
      });
      evicted.forEach(hash => this.#holders.get(hash)?.delete(group));
    }
  }

  /** Records the prefixes of a prompt that was sent to a group, before its cache events arrive. */
  recordSentPrompt(group: GroupId, prefixes: readonly PromptPrefix[]): void {
    prefixes.forEach(({ hash }) => {
      this.#record(hash, group);
    });
  }

  /** Prefixes of a prompt, hashed with the workspace as salt, the shortest first. */
  prefixesOf(workspace: string, prompt: string): PromptPrefix[] {
    return prefixHashes(workspace, prompt);
  }

  /** Number of blocks at the start of a prompt that a group has cached. */
  cachedBlocks(group: GroupId, prefixes: readonly PromptPrefix[]): number {
    for (let blocks = prefixes.length; blocks > 0; blocks--) {
      if (this.#holders.get(prefixes[blocks - 1].hash)?.has(group) === true) {
        return blocks;
      }
    }
    return 0;
  }

  #record(hash: string, group: GroupId): void {
    const holders = this.#holders.get(hash) ?? new Set();
    holders.add(group);
    // Deleted and set again, so that the entry moves to the end of the map, among the recent ones.
    this.#holders.delete(hash);
    this.#holders.set(hash, holders);
    if (this.#holders.size > MAX_PREFIXES) {
      const [oldest] = this.#holders.keys();
      this.#holders.delete(oldest);
    }
  }
}
