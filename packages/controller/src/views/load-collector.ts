/** Collects load reports and cache events of group heads, so that not every gateway has to ask every engine. */
import type { CacheEvent, Group } from '@hingescale/core';
import type { GroupCacheEvents, LoadReport } from '@hingescale/link';
import { monotonicMs, sleep, Task } from '@hingescale/runtime';
import type { HostClient } from '@hingescale/upstream';

/** A group and the address of its head. */
export type LoadTarget = { readonly group: Group; readonly address: string };

/** A load report of a head; `measuredAt` is in monotonic milliseconds. */
type CollectedLoad = {
  readonly running: number;
  readonly queued: number;
  readonly measuredAt: number;
};

/**
 * Cache events of a head, renumbered from the first one collected: `first` is the number of `events[0]`, `engineNext`
 * the engine's own number of the next event to fetch.
 */
type CollectedEvents = { engineNext: number; first: number; events: CacheEvent[] };

/** Number of cache events kept per group; older ones are dropped. */
const MAX_EVENTS_PER_GROUP = 4_000;

/** Fetches load reports and cache events from all heads at a fixed period. */
export class LoadCollector extends Task<Record<never, never>> {
  readonly #client: HostClient;
  readonly #periodMs: number;
  readonly #loads = new Map<string, CollectedLoad>();
  readonly #events = new Map<string, CollectedEvents>();
  #targets: readonly LoadTarget[] = [];

  constructor(client: HostClient, periodMs: number) {
    super();
    this.#client = client;
    this.#periodMs = periodMs;
  }

  /** Replaces the heads to fetch from; drops the data of groups that are not among them. */
  setTargets(targets: readonly LoadTarget[]): void {
    this.#targets = targets;
    const wanted = new Set(targets.map(target => target.group.id));
    for (const id of this.#loads.keys()) {
      if (!wanted.has(id)) {
        this.#loads.delete(id);
        this.#events.delete(id);
      }
    }
  }

  /** The last load report of each group with its current age. */
  reports(): LoadReport[] {
    const now = monotonicMs();
    return [...this.#loads].map(([group, { running, queued, measuredAt }]) => ({
      group,
      running,
      queued,
      ageMs: now - measuredAt,
    }));
  }

  /** Cache events by group, from the numbers in `from` on; groups without newer events are left out. */
  cacheEvents(from: Readonly<Record<string, number>>): GroupCacheEvents[] {
    return [...this.#events].flatMap(([group, { first, events }]) => {
      const next = first + events.length;
      const newEvents = events.slice(Math.max(0, (from[group] ?? 0) - first));
      if (newEvents.length === 0) {
        return [];
      }
      const prefixesOf = (kind: CacheEvent['kind']): string[] =>
        newEvents.filter(event => event.kind === kind).map(event => event.prefix);
      return [{ group, next, stored: prefixesOf('stored'), evicted: prefixesOf('evicted') }];
    });
  }

  /** Starts fetching. */
  start(): void {
    this.run(async () => {
      while (!this.stopped) {
        await Promise.all(
          this.#targets.flatMap(target => [
            this.#fetchLoad(target),
            this.#fetchCacheEvents(target),
          ]),
        );
        await sleep(this.#periodMs, this.signal);
      }
    });
  }

  async #fetchLoad(target: LoadTarget): Promise<void> {
    const sentAt = monotonicMs();
    const load = await this.#client.load(target.address);
    if (load.isOk) {
      const { running, queued, ageMs } = load.value;
      this.#loads.set(target.group.id, {
        running,
        queued,
        measuredAt: sentAt - ageMs,
      });
    }
  }

  async #fetchCacheEvents(target: LoadTarget): Promise<void> {
    const { id } = target.group;
    const collected = this.#events.get(id) ?? { engineNext: 0, first: 0, events: [] };
    this.#events.set(id, collected);
    const answer = await this.#client.cacheEvents(target.address, collected.engineNext);
    if (answer.isErr) {
      return;
    }
    collected.engineNext = answer.value.next;
    collected.events.push(...answer.value.events);
    const excess = collected.events.length - MAX_EVENTS_PER_GROUP;
    if (excess > 0) {
      collected.events.splice(0, excess);
      collected.first += excess;
    }
  }
}
