/** Collects the load reports of group leaders, so that not every gateway has to ask every engine. */
import type { Group } from '@hingescale/core';
import type { LoadReport } from '@hingescale/link';
import { monotonicMs, sleep, Task } from '@hingescale/runtime';
import type { HostClient } from '@hingescale/upstream';

/** A leader to ask. */
export type LoadTarget = { readonly group: Group; readonly address: string };

type Collected = {
  readonly running: number;
  readonly queued: number;
  readonly measuredAt: number;
};

/** Asks leaders on a fixed period. */
export class LoadCollector extends Task<Record<never, never>> {
  readonly #client: HostClient;
  readonly #periodMs: number;
  readonly #reports = new Map<string, Collected>();
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

  /** Starts asking. */
  start(): void {
    this.run(async () => {
      while (!this.stopped) {
        await Promise.all(this.#targets.map(target => this.#ask(target)));
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
}
