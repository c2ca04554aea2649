/**
 * Writes again what the platform has lost by coming back from an older copy, on the controller that holds the
 * lease: the ledgers and the evacuation of its failure domain, and the configuration in force.
 */
import type { ConfigurationHead, Evacuation, Ledger } from '@hingescale/core';
import type { ConfigurationHolder, ObjectWatcher, PlatformClient } from '@hingescale/object-store';
import { restoreConfiguration, restoreLost } from '@hingescale/object-store';
import type { Log, Metrics } from '@hingescale/runtime';
import { sleep, Task } from '@hingescale/runtime';

/** Options of a restore task. */
export type RestoreTaskOptions = {
  readonly client: PlatformClient;
  readonly failureDomain: string;
  readonly holds: () => boolean;
  readonly holder: ConfigurationHolder;
  readonly configuration: () => ObjectWatcher<ConfigurationHead> | undefined;
  readonly ledgers: ObjectWatcher<Ledger>;
  readonly evacuations: ObjectWatcher<Evacuation>;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** Time between two looks, in milliseconds; a process that starts meanwhile believes the copy. */
const PERIOD_MS = 200;

/** Restores while the lease is held. */
export class RestoreTask extends Task<Record<string, never>> {
  readonly #options: RestoreTaskOptions;

  constructor(options: RestoreTaskOptions) {
    super();
    this.#options = options;
  }

  /** Starts looking. */
  start(): void {
    this.run(async () => {
      while (!this.stopped) {
        if (this.#options.holds()) {
          await this.#restore();
        }
        await sleep(PERIOD_MS, this.signal);
      }
    });
  }

  async #restore(): Promise<void> {
    const { client, failureDomain, holder, configuration, ledgers, evacuations } = this.#options;
    const isOwn = (value: Ledger | Evacuation): boolean => value.failureDomain === failureDomain;
    this.#note('ledger', await restoreLost(client, 'ledger', ledgers, isOwn));
    this.#note('evacuation', await restoreLost(client, 'evacuation', evacuations, isOwn));
    const heads = configuration();
    if (heads !== undefined && (await restoreConfiguration(client, heads, holder.current))) {
      this.#note('configuration', ['head']);
    }
  }

  #note(kind: string, names: readonly string[]): void {
    for (const name of names) {
      this.#options.metrics.count('objects_restored_total', { kind });
      this.#options.log.warn('object written again after an older copy', { kind, name });
    }
  }
}
