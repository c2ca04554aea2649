/**
 * Tells neighbouring entry hosts what this one has learned, such as of lost runs: those it follows, those that follow
 * it, and those it exchanges tallies with. Each passes on what is new to it, so a report reaches all in a few messages.
 */
import { FailureSeries } from '../server/failure-series.js';
import type { Log } from '../server/log.js';
import { sleep } from '../server/time.js';
import type { ReportsReply } from './peer-messages.js';

/** Reports of this host, in the order in which it learned them. */
export type ReportSource<T> = {
  /** Number of the newest report. */
  readonly sequence: number;
  readonly since: (sequence: number) => readonly T[];
};

/** Options of an exchange. */
export type ReportExchangeOptions<T> = {
  /** What the reports are about, for the log. */
  readonly about: string;
  readonly source: ReportSource<T>;
  /** Addresses of the entry hosts to tell. */
  readonly addresses: () => readonly string[];
  readonly send: (address: string, reports: readonly T[]) => Promise<ReportsReply>;
  readonly log: Log;
};

/** What one entry host was told. */
type Told = { readonly instance: string; readonly sequence: number };

/** Pause before reports that did not arrive are sent again, in milliseconds. */
const RETRY_MS = 200;
/** Retries in a row; who is gone for so long asks for all reports when it is back. */
const MOST_RETRIES = 25;

/** Tells reports until they have arrived. */
export class ReportExchange<T> {
  readonly #options: ReportExchangeOptions<T>;
  readonly #told = new Map<string, Told>();
  readonly #failures: FailureSeries;
  readonly #abort = new AbortController();
  #isRunning = false;

  constructor(options: ReportExchangeOptions<T>) {
    this.#options = options;
    this.#failures = new FailureSeries(options.log, `tell other entry hosts of ${options.about}`);
  }

  /** There are new reports, or other entry hosts to tell. */
  flush(): void {
    if (!this.#isRunning) {
      this.#isRunning = true;
      void this.#run().finally(() => {
        this.#isRunning = false;
      });
    }
  }

  /** Tells nothing any more. */
  stop(): void {
    this.#abort.abort();
  }

  async #run(): Promise<void> {
    for (let attempt = 0; attempt <= MOST_RETRIES && !this.#abort.signal.aborted; attempt++) {
      const results = await Promise.all(this.#behind().map(address => this.#tell(address)));
      if (results.every(isTold => isTold) && this.#behind().length === 0) {
        return;
      }
      if (results.some(isTold => !isTold)) {
        await sleep(RETRY_MS, this.#abort.signal);
      }
    }
  }

  // Those that have not been told of the newest report.
  #behind(): readonly string[] {
    const { source, addresses } = this.#options;
    return addresses().filter(
      address => (this.#told.get(address)?.sequence ?? 0) < source.sequence,
    );
  }

  async #tell(address: string): Promise<boolean> {
    const { source, send } = this.#options;
    const { sequence } = source;
    const told = this.#told.get(address);
    try {
      const { instance } = await send(address, source.since(told?.sequence ?? 0));
      // A process that has started anew meanwhile knows nothing of what the earlier one was told.
      const isNew = told !== undefined && told.instance !== instance;
      this.#told.set(address, { instance, sequence: isNew ? 0 : sequence });
      this.#failures.succeeded();
      return true;
    } catch (error) {
      this.#failures.failed(error);
      return false;
    }
  }
}
