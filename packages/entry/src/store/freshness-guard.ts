/**
 * Keeps the last confirmation of a kind younger than a limit: reads the kind from the store itself when the limit is
 * reached, whichever reader the watch is waiting for. A change is thus applied within the limit and one answer of the
 * store, however many readers in a row are silent or have lost the store themselves.
 */
import { FailureSeries } from '../server/failure-series.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { sleep } from '../server/time.js';
import type { KindReader } from './kind-reader.js';
import type { ObjectKind } from './object-store.js';
import type { ReaderSelector } from './reader-selector.js';

export type FreshnessGuardOptions = {
  readonly kind: ObjectKind;
  readonly readers: Pick<ReaderSelector, 'takeStore' | 'recordOutcome'>;
  /** Age of the last confirmation in milliseconds; undefined before the first list. */
  readonly ageMs: () => number | undefined;
  /** Reads the kind once from the given reader; rejects if there is no answer. */
  readonly readNow: (reader: KindReader) => Promise<void>;
  /** Age at which the store is read, in milliseconds. */
  readonly limitMs: number;
  readonly log: Log;
  readonly counters: Counters;
  /** Uniform in [0, 1); spreads the reads of entry hosts that follow the same peer. */
  readonly random?: () => number;
};

/** Greatest part of the limit by which a read is delayed at random, 0 to 1. */
const SPREAD = 0.15;
/** Shortest pause between two checks of the age, in milliseconds. */
const MIN_PAUSE_MS = 50;
/** Pause before the first list, and after a read that failed or was not possible, as a part of the limit. */
const RETRY_PART = 0.25;

/** Guards the age of one kind. */
export class FreshnessGuard {
  readonly #options: FreshnessGuardOptions;
  readonly #abort = new AbortController();
  readonly #failures: FailureSeries;

  constructor(options: FreshnessGuardOptions) {
    this.#options = options;
    this.#failures = new FailureSeries(options.log, `confirm ${options.kind} from the store`);
  }

  /** Runs until it is stopped. */
  async run(): Promise<void> {
    const { limitMs, random = Math.random } = this.#options;
    while (!this.#abort.signal.aborted) {
      const dueMs = limitMs * (1 + SPREAD * random());
      await this.#waitForAge(dueMs);
      if (!(await this.#readStore())) {
        await sleep(limitMs * RETRY_PART, this.#abort.signal);
      }
    }
  }

  /** Stops the guard. */
  stop(): void {
    this.#abort.abort();
  }

  async #waitForAge(dueMs: number): Promise<void> {
    const { ageMs, limitMs } = this.#options;
    do {
      // The first list may already be old when it arrives.
      const knownAgeMs = ageMs();
      const leftMs = knownAgeMs === undefined ? limitMs * RETRY_PART : dueMs - knownAgeMs;
      await sleep(Math.max(MIN_PAUSE_MS, leftMs), this.#abort.signal);
    } while (!this.#abort.signal.aborted && (ageMs() ?? 0) < dueMs);
  }

  // Returns true if the store has answered.
  async #readStore(): Promise<boolean> {
    const { kind, readers, readNow, counters } = this.#options;
    const store = this.#abort.signal.aborted ? undefined : readers.takeStore();
    if (store === undefined) {
      return false;
    }
    counters.count('direct_confirmations_total', { kind });
    try {
      await readNow(store);
      readers.recordOutcome(store, 'fresh');
      this.#failures.recordSuccess();
      return true;
    } catch (error) {
      readers.recordOutcome(store, 'failed');
      this.#failures.recordFailure(error);
      return false;
    }
  }
}
