/** Keeps the object store's list of quarantined requests; runs on the entry host that holds the lease. */
import { FailureSeries } from '../server/failure-series.js';
import type { Log } from '../server/log.js';
import { sleep } from '../server/time.js';
import type { ObjectStore } from '../store/object-store.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import type { QuarantinedRequest } from './quarantined-request.js';
import { isExpired, objectValue } from './quarantined-request.js';
import type { QuarantinedRequests } from './quarantined-requests.js';
import { MOST_QUARANTINED } from './quarantined-requests.js';

/** Options of a keeper. */
export type QuarantineKeeperOptions = {
  readonly requests: QuarantinedRequests;
  readonly store: ObjectStore;
  /** True while this entry host holds the lease. */
  readonly holdsLease: () => boolean;
  readonly log: Log;
};

/**
 * Period in which requests are written that only evidence tells of, in milliseconds. Until then the entry hosts
 * know of them from each other; all of them would have to be lost within it to forget one.
 */
const PERIOD_MS = 250;

/**
 * Writes what evidence has found, and removes what has expired. One writer is enough, since all entry hosts have
 * the same evidence; a later holder of the lease writes what this one did not.
 */
export class QuarantineKeeper {
  readonly #options: QuarantineKeeperOptions;
  readonly #abort = new AbortController();
  readonly #failures: FailureSeries;

  constructor(options: QuarantineKeeperOptions) {
    this.#options = options;
    this.#failures = new FailureSeries(options.log, 'write the list of quarantined requests');
  }

  /** Runs until it is stopped. */
  async run(): Promise<void> {
    const { requests, holdsLease } = this.#options;
    while (!this.#abort.signal.aborted) {
      await sleep(PERIOD_MS, this.#abort.signal);
      if (holdsLease()) {
        for (const request of requests.all) {
          await this.#keep(request);
        }
        await this.#trim();
      }
    }
  }

  /** Ends the task. */
  stop(): void {
    this.#abort.abort();
  }

  async #trim(): Promise<void> {
    const { requests } = this.#options;
    const { oldest } = requests;
    if (requests.size > MOST_QUARANTINED && oldest !== undefined) {
      await this.#attempt(() => this.#remove(oldest, 'oldest of too many'));
    }
  }

  #keep(request: QuarantinedRequest): Promise<void> {
    return this.#attempt(() => this.#keepOnce(request));
  }

  async #attempt(call: () => Promise<void>): Promise<void> {
    try {
      await call();
      this.#failures.succeeded();
    } catch (error) {
      this.#failures.failed(error);
    }
  }

  async #keepOnce(request: QuarantinedRequest): Promise<void> {
    const { requests, store } = this.#options;
    const { fingerprint, revision } = request;
    if (revision === undefined) {
      const kind = OBJECT_KINDS.quarantine;
      const { object } = await store.create(kind, fingerprint, objectValue(request));
      // Written by an earlier holder where it is there already.
      if (object !== undefined) {
        requests.noteWritten(object);
      }
    } else if (isExpired(request, Date.now())) {
      await this.#remove(request, 'expired');
    }
  }

  async #remove({ fingerprint, revision }: QuarantinedRequest, reason: string): Promise<void> {
    const { requests, store } = this.#options;
    const isGone =
      revision === undefined ||
      (await store.remove(OBJECT_KINDS.quarantine, fingerprint, revision));
    // Else it has changed, by a trial: the watch brings the change.
    if (isGone) {
      requests.lift(fingerprint, reason);
    }
  }
}
