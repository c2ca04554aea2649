/**
 * Writes objects back that the store lost when it was restored from an older copy: the ledgers and the evacuation of
 * the failure domain, and the configuration in force. Only the controller that holds the lease does so.
 */
import type { ConfigurationHead, Evacuation, Ledger } from '@hingescale/core';
import type { ConfigurationHolder, ObjectWatcher, PlatformClient } from '@hingescale/object-store';
import { restoreConfiguration, restoreLost } from '@hingescale/object-store';
import type { Log, Metrics } from '@hingescale/runtime';
import { sleep, Task } from '@hingescale/runtime';

/** What a restore task needs: the store, the watched objects to compare with it, and the state of the lease. */
export type RestoreTaskOptions = {
  readonly client: PlatformClient;
  readonly failureDomain: string;
  /** True while this process holds the lease. */
  readonly holdsLease: () => boolean;
  readonly configurationHolder: ConfigurationHolder;
  /** The watch on the configuration head; undefined until it is started. */
  readonly configurationHeads: () => ObjectWatcher<ConfigurationHead> | undefined;
  readonly ledgers: ObjectWatcher<Ledger>;
  readonly evacuations: ObjectWatcher<Evacuation>;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** Time between two checks, in milliseconds; a process that starts before the next one takes the copy as current. */
const CHECK_PERIOD_MS = 200;

/** Checks for lost objects periodically and restores them while the lease is held. */
export class RestoreTask extends Task<Record<string, never>> {
  readonly #options: RestoreTaskOptions;

  constructor(options: RestoreTaskOptions) {
    super();
    this.#options = options;
  }

  /** Starts the periodic check. */
  start(): void {
    this.run(async () => {
      while (!this.stopped) {
        if (this.#options.holdsLease()) {
          await this.#restore();
        }
        await sleep(CHECK_PERIOD_MS, this.signal);
      }
    });
  }

  async #restore(): Promise<void> {
    const { client, failureDomain, configurationHolder, configurationHeads, ledgers, evacuations } =
      this.#options;
    const isOwn = (value: Ledger | Evacuation): boolean => value.failureDomain === failureDomain;
    this.#reportRestored('ledger', await restoreLost(client, 'ledger', ledgers, isOwn));
    this.#reportRestored('evacuation', await restoreLost(client, 'evacuation', evacuations, isOwn));
    const heads = configurationHeads();
    if (
      heads !== undefined &&
      (await restoreConfiguration(client, heads, configurationHolder.current))
    ) {
      this.#reportRestored('configuration', ['head']);
    }
  }

  #reportRestored(kind: string, names: readonly string[]): void {
    for (const name of names) {
      this.#options.metrics.count('objects_restored_total', { kind });
      this.#options.log.warn('object restored after the store came back from an older copy', {
        kind,
        name,
      });
    }
  }
}
