/** Prefix cache of the engine stand-in: bounded, salted per workspace, with late and gappy events. */
import type { CacheEvent, CacheEvents } from '@hingescale/core';
import { prefixHashes } from '@hingescale/core';

/** Options of a prefix cache. */
export type PrefixCacheOptions = {
  readonly capacity: number;
  /** Events become visible after this time. */
  readonly eventLagMs: number;
  /** Every so many events one is dropped; 0 drops none. */
  readonly dropEvery: number;
};

type TimedEvent = CacheEvent & { readonly visibleAt: number };

const KEPT_EVENTS = 2_000;

/** Remembers prompt prefixes, oldest out first. */
export class PrefixCache {
  readonly #options: PrefixCacheOptions;
  readonly #stored = new Map<string, true>();
  #events: TimedEvent[] = [];
  #next = 1;

  constructor(options: PrefixCacheOptions) {
    this.#options = options;
  }

  /** Characters at the start of the prompt that are cached; stores the prompt's prefixes. */
  use(salt: string, prompt: string): number {
    let cached = 0;
    for (const prefix of prefixHashes(salt, prompt)) {
      if (this.#stored.delete(prefix.hash)) {
        cached = prefix.characters;
      } else {
        this.#emit('stored', prefix.hash);
      }
      this.#stored.set(prefix.hash, true);
    }
    this.#evict();
    return cached;
  }

  /** Events from a number on that are visible by now. */
  eventsFrom(number: number): CacheEvents {
    const now = performance.now();
    const events = this.#events.filter(event => event.number >= number && event.visibleAt <= now);
    const last = events[events.length - 1];
    const next = last === undefined ? number : last.number + 1;
    return {
      next,
      events: events.map(({ number: n, kind, prefix }) => ({
        number: n,
        kind,
        prefix,
      })),
    };
  }

  /** Forgets everything, as a reset does. */
  clear(): void {
    this.#stored.clear();
  }

  #evict(): void {
    for (const hash of this.#stored.keys()) {
      if (this.#stored.size <= this.#options.capacity) {
        return;
      }
      this.#stored.delete(hash);
      this.#emit('evicted', hash);
    }
  }

  #emit(kind: CacheEvent['kind'], prefix: string): void {
    const number = this.#next++;
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
    if (this.#events.length > KEPT_EVENTS) {
      this.#events = this.#events.slice(KEPT_EVENTS / 2);
    }
  }
}
