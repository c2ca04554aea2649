/**
 * Sends reports, such as those of lost runs, to the neighbours of this entry host: hosts that it follows, that follow
 * it, or that it exchanges tallies with. Each host forwards reports that are new to it, so that a report reaches all
 * entry hosts within a few messages.
 */
import { FailureSeries } from '../server/failure-series.js';
import type { Log } from '../server/log.js';
import { sleep } from '../server/time.js';
import type { ReportsReply } from './peer-messages.js';

/** Reports that this host made or received, in that order. */
export type ReportSource<T> = {
  /** Sequence number of the newest report. */
  readonly sequence: number;
  /** Returns the reports after a sequence number. */
  readonly since: (sequence: number) => readonly T[];
};

export type ReportExchangeOptions<T> = {
  /** Subject of the reports, for the log. */
  readonly about: string;
  readonly source: ReportSource<T>;
  /** Returns the addresses of the entry hosts that get the reports. */
  readonly addresses: () => readonly string[];
  readonly send: (address: string, reports: readonly T[]) => Promise<ReportsReply>;
  readonly log: Log;
};

/** The last delivery to one entry host: its incarnation, and the sequence number of the newest report. */
type Delivery = { readonly instance: string; readonly sequence: number };

/** Pause before a retry of reports that were not delivered, in milliseconds. */
const RETRY_MS = 200;
/** Largest number of consecutive retries; a host that is away for longer requests all reports when it is back. */
const MAX_RETRIES = 25;

/** Sends reports to entry hosts, with retries until they are delivered. */
export class ReportExchange<T> {
  readonly #options: ReportExchangeOptions<T>;
  readonly #deliveries = new Map<string, Delivery>();
  readonly #failures: FailureSeries;
  readonly #abort = new AbortController();
  #isRunning = false;

  constructor(options: ReportExchangeOptions<T>) {
    this.#options = options;
    this.#failures = new FailureSeries(
      options.log,
      `send reports of ${options.about} to entry hosts`,
    );
  }

  /** Sends undelivered reports; called when there are new reports or other receivers. */
  flush(): void {
    if (!this.#isRunning) {
      this.#isRunning = true;
      void this.#run().finally(() => {
        this.#isRunning = false;
      });
    }
  }

  /** Stops sending. */
  stop(): void {
    this.#abort.abort();
  }

  async #run(): Promise<void> {
    for (let attempt = 0; attempt <= MAX_RETRIES && !this.#abort.signal.aborted; attempt++) {
      const results = await Promise.all(this.#undelivered().map(address => this.#deliver(address)));
      if (results.every(isDelivered => isDelivered) && this.#undelivered().length === 0) {
        return;
      }
      if (results.some(isDelivered => !isDelivered)) {
        await sleep(RETRY_MS, this.#abort.signal);
      }
    }
  }

  // Addresses of the entry hosts that have not received the newest report.
  #undelivered(): readonly string[] {
    const { source, addresses } = this.#options;
    return addresses().filter(
      address => (this.#deliveries.get(address)?.sequence ?? 0) < source.sequence,
    );
  }

  async #deliver(address: string): Promise<boolean> {
    const { source, send } = this.#options;
    const { sequence } = source;
    const last = this.#deliveries.get(address);
    try {
      const { instance } = await send(address, source.since(last?.sequence ?? 0));
      // A host that has restarted since the last delivery no longer has the reports that were delivered before.
      const isRestarted = last !== undefined && last.instance !== instance;
      this.#deliveries.set(address, { instance, sequence: isRestarted ? 0 : sequence });
      this.#failures.recordSuccess();
      return true;
    } catch (error) {
      this.#failures.recordFailure(error);
      return false;
    }
  }
}
