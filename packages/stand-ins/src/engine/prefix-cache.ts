/** Prefix cache of the engine stand-in: bounded and salted per workspace; its events are late and some are missing. */
import type { CacheEvent, CacheEvents } from '@hingescale/core';
import { prefixHashes } from '@hingescale/core';

/** Size of a prefix cache and the faults of its events. */
export type PrefixCacheOptions = {
  /** Number of prefixes that the cache holds. */
  readonly capacity: number;
  /** Time until an event becomes visible, in milliseconds. */
  readonly eventLagMs: number;
  /** Every n-th event is dropped; 0 drops none. */
  readonly dropEvery: number;
};

type TimedEvent = CacheEvent & { readonly visibleAt: number };

/** Above this number of events, the older half is dropped. */
const MAX_KEPT_EVENTS = 2_000;

/** Holds the hashes of prompt prefixes and evicts the least recently used. */
export class PrefixCache {
  readonly #options: PrefixCacheOptions;
  readonly #storedHashes = new Map<string, true>();
  #events: TimedEvent[] = [];
  #nextNumber = 1;

  constructor(options: PrefixCacheOptions) {
    this.#options = options;
  }

  /** Returns how many characters at the start of the prompt are cached, then stores all prefixes of the prompt. */
  matchAndStore(salt: string, prompt: string): number {
    let cached = 0;
    for (const prefix of prefixHashes(salt, prompt)) {
      if (this.#storedHashes.delete(prefix.hash)) {
        cached = prefix.characters;
      } else {
        this.#emit('stored', prefix.hash);
      }
      this.#storedHashes.set(prefix.hash, true);
    }
    this.#evict();
    return cached;
  }

  /** Returns the visible events with this number or a higher one, and the number to continue from. */
  eventsFrom(number: number): CacheEvents {
    const now = performance.now();
    const events = this.#events.filter(event => event.number >= number && event.visibleAt <= now);
    const lastEvent = events[events.length - 1];
    const next = lastEvent === undefined ? number : lastEvent.number + 1;
    return {
      next,
      events: events.map(({ number: eventNumber, kind, prefix }) => ({
        number: eventNumber,
        kind,
        prefix,
      })),
    };
  }

  /** Removes all prefixes without events, as a reset of the host does. */
  clear(): void {
    this.#storedHashes.clear();
  }

  #evict(): void {
    for (const hash of this.#storedHashes.keys()) {
      if (this.#storedHashes.size <= this.#options.capacity) {
        return;
      }
      this.#storedHashes.delete(hash);
      this.#emit('evicted', hash);
    }
  }

  #emit(kind: CacheEvent['kind'], prefix: string): void {
    const number = this.#nextNumber++;
    const { dropEvery, eventLagMs } = this.#options;
    if (dropEvery > 0 && number % dropEvery === 0) {
      return;
    }
    this.#events.push({
      number,
      kind,
      prefix,
      visibleAt: performance.now() + eventLagMs,
    });
    if (this.#events.length > MAX_KEPT_EVENTS) {
      this.#events = this.#events.slice(MAX_KEPT_EVENTS / 2);
    }
  }
}
