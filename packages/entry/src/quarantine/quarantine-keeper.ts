/** Maintains the object store's list of quarantined requests. Active on the lease holder. */
import { FailureSeries } from '../server/failure-series.js';
import type { Log } from '../server/log.js';
import { sleep } from '../server/time.js';
import type { ObjectStore } from '../store/object-store.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import type { QuarantineEntries } from './quarantine-entries.js';
import { MAX_QUARANTINED } from './quarantine-entries.js';
import type { QuarantineEntry } from './quarantine-entry.js';
import { isExpired, storedValueOf } from './quarantine-entry.js';

/** What a {@link QuarantineKeeper} works with. */
export type QuarantineKeeperOptions = {
  readonly entries: QuarantineEntries;
  readonly store: ObjectStore;
  /** True while this entry host holds the lease. */
  readonly holdsLease: () => boolean;
  readonly log: Log;
};

/**
 * Period between writes of newly quarantined requests to the store, in milliseconds. Until a request is written,
 * the entry hosts know it from each other's reports; it is lost only if all of them end within this period.
 */
const WRITE_PERIOD_MS = 250;

/**
 * Writes newly quarantined requests to the store and removes expired ones. One writer is enough, since all entry
 * hosts have the same evidence; the next lease holder writes what this one did not.
 */
export class QuarantineKeeper {
  readonly #options: QuarantineKeeperOptions;
  readonly #abort = new AbortController();
  readonly #failures: FailureSeries;

  constructor(options: QuarantineKeeperOptions) {
    this.#options = options;
    this.#failures = new FailureSeries(options.log, 'write the list of quarantined requests');
  }

  /** Writes periodically until {@link stop} is called. */
  async run(): Promise<void> {
    const { entries, holdsLease } = this.#options;
    while (!this.#abort.signal.aborted) {
      await sleep(WRITE_PERIOD_MS, this.#abort.signal);
      if (holdsLease()) {
        for (const entry of entries.all) {
          await this.#maintain(entry);
        }
        await this.#trim();
      }
    }
  }

  /** Ends {@link run}. */
  stop(): void {
    this.#abort.abort();
  }

  async #trim(): Promise<void> {
    const { entries } = this.#options;
    const { oldest } = entries;
    if (entries.size > MAX_QUARANTINED && oldest !== undefined) {
      await this.#recordOutcomeOf(() =>
        this.#remove(oldest, 'limit reached, oldest entry removed'),
      );
    }
  }

  #maintain(entry: QuarantineEntry): Promise<void> {
    return this.#recordOutcomeOf(() => this.#writeOrExpire(entry));
  }

  async #recordOutcomeOf(call: () => Promise<void>): Promise<void> {
    try {
      await call();
      this.#failures.recordSuccess();
    } catch (error) {
      this.#failures.recordFailure(error);
    }
  }

  async #writeOrExpire(entry: QuarantineEntry): Promise<void> {
    const { entries, store } = this.#options;
    const { fingerprint, revision } = entry;
    const kind = OBJECT_KINDS.quarantine;
    if (revision === undefined) {
      const { object } = await store.create(kind, fingerprint, storedValueOf(entry));
      // If the object exists already, an earlier lease holder has written it.
      if (object !== undefined) {
        entries.noteWritten(object);
      }
    } else if (isExpired(entry, Date.now())) {
      await this.#remove(entry, 'expired');
    } else if (entry.isScopeUnwritten) {
      const value = storedValueOf(entry);
      const { object } = await store.replace(kind, fingerprint, value, revision);
      if (object !== undefined) {
        entries.noteWritten(object);
      }
    }
  }

  async #remove({ fingerprint, revision }: QuarantineEntry, reason: string): Promise<void> {
    const { entries, store } = this.#options;
    const isRemoved =
      revision === undefined ||
      (await store.remove(OBJECT_KINDS.quarantine, fingerprint, revision));
    // Otherwise a trial has updated the object, and the watch delivers that update.
    if (isRemoved) {
      entries.remove(fingerprint, reason);
    }
  }
}
