/** Collects the load reports of group leaders, so that not every gateway has to ask every engine. */
import type { CacheEvent, Group } from '@hingescale/core';
import type { GroupCacheEvents, LoadReport } from '@hingescale/link';
import { monotonicMs, sleep, Task } from '@hingescale/runtime';
import type { HostClient } from '@hingescale/upstream';

/** A leader to ask. */
export type LoadTarget = { readonly group: Group; readonly address: string };

type Collected = {
  readonly running: number;
  readonly queued: number;
  readonly measuredAt: number;
};

/** Cache events of a leader; numbers count from the first event that was collected. */
type CollectedEvents = { engineNext: number; first: number; events: CacheEvent[] };

const KEPT_EVENTS = 4_000;

/** Asks leaders on a fixed period. */
export class LoadCollector extends Task<Record<never, never>> {
  readonly #client: HostClient;
  readonly #periodMs: number;
  readonly #reports = new Map<string, Collected>();
  readonly #events = new Map<string, CollectedEvents>();
  #targets: readonly LoadTarget[] = [];

  constructor(client: HostClient, periodMs: number) {
    super();
    this.#client = client;
    this.#periodMs = periodMs;
  }

  /** Replaces the leaders to ask. */
  retarget(targets: readonly LoadTarget[]): void {
    this.#targets = targets;
    const wanted = new Set(targets.map(target => target.group.id));
    for (const id of this.#reports.keys()) {
      if (!wanted.has(id)) {
        this.#reports.delete(id);
        this.#events.delete(id);
      }
    }
  }

  /** The reports with their ages. */
  reports(): LoadReport[] {
    const now = monotonicMs();
    return [...this.#reports].map(([group, { running, queued, measuredAt }]) => ({
      group,
      running,
      queued,
      ageMs: now - measuredAt,
    }));
  }

  /** Cache events from the numbers that an asker names, by group. */
  cacheEvents(from: Readonly<Record<string, number>>): GroupCacheEvents[] {
    return [...this.#events].flatMap(([group, { first, events }]) => {
      const next = first + events.length;
      const fresh = events.slice(Math.max(0, (from[group] ?? 0) - first));
      if (fresh.length === 0) {
        return [];
      }
      const hashes = (kind: CacheEvent['kind']): string[] =>
        fresh.filter(event => event.kind === kind).map(event => event.prefix);
      return [{ group, next, stored: hashes('stored'), evicted: hashes('evicted') }];
    });
  }

  /** Starts asking. */
  start(): void {
    this.run(async () => {
      while (!this.stopped) {
        await Promise.all(
          this.#targets.flatMap(target => [this.#ask(target), this.#askCache(target)]),
        );
        await sleep(this.#periodMs, this.signal);
      }
    });
  }

  async #ask(target: LoadTarget): Promise<void> {
    const sentAt = monotonicMs();
    const load = await this.#client.load(target.address);
    if (load.isOk) {
      const { running, queued, ageMs } = load.value;
      this.#reports.set(target.group.id, {
        running,
        queued,
        measuredAt: sentAt - ageMs,
      });
    }
  }

  async #askCache(target: LoadTarget): Promise<void> {
    const { id } = target.group;
    const known = this.#events.get(id) ?? { engineNext: 0, first: 0, events: [] };
    this.#events.set(id, known);
    const answer = await this.#client.cacheEvents(target.address, known.engineNext);
    if (answer.isErr) {
      return;
    }
    known.engineNext = answer.value.next;
    known.events.push(...answer.value.events);
    const excess = known.events.length - KEPT_EVENTS;
    if (excess > 0) {
      known.events.splice(0, excess);
      known.first += excess;
    }
  }
}
