/** Exchanges reports with neighbouring entry hosts: of lost runs, and of what hosts have said that binds all of them. */
import type { LinkPool } from '@hingescale/link';

import type { HostIncarnation } from '../hosts/host-entry.js';
import type { RunReport } from '../quarantine/run-report.js';
import type { LimitReport } from '../rate-limits/limit-report.js';
import { FailureSeries } from '../server/failure-series.js';
import type { Log } from '../server/log.js';
import { monotonicMs } from '../server/time.js';
import type { ReportsReply, ReportsRequest } from './peer-messages.js';
import { PEER_REQUESTS } from './peer-messages.js';
import { readLimitReports, readReportsReply } from './read-messages.js';
import type { ReportSource } from './report-exchange.js';
import { ReportExchange } from './report-exchange.js';

/** What this host knows, and who takes what others know. */
export type ReportSources = {
  /** Lost runs. */
  readonly runReports: ReportSource<RunReport>;
  /** The limits that hosts have named. */
  readonly limitReports: ReportSource<LimitReport>;
  /**
   * Another entry host has told of such limits, unasked where `requestedAt` (monotonic milliseconds) is left out. True:
   * it should be asked.
   */
  readonly limitReportsHeard: (reports: readonly LimitReport[], requestedAt?: number) => boolean;
  /** Hosts that have said that they are shutting down. */
  readonly leavingHosts: ReportSource<HostIncarnation>;
};

/** Options of the reports. */
export type SharedReportsOptions = ReportSources & {
  readonly links: LinkPool;
  /** Addresses of the entry hosts to tell. */
  readonly neighbours: () => readonly string[];
  /** Address of an entry host by its name; undefined where it is not known. */
  readonly addressOf: (name: string) => string | undefined;
  readonly log: Log;
};

const REQUEST_TIMEOUT_MS = 400;

/** The reports that this host exchanges. */
export class SharedReports {
  readonly #options: SharedReportsOptions;
  readonly #runs: ReportExchange<RunReport>;
  readonly #limits: ReportExchange<LimitReport>;
  readonly #leaving: ReportExchange<HostIncarnation>;
  readonly #askFailures: FailureSeries;

  constructor(options: SharedReportsOptions) {
    this.#options = options;
    const { runReports, limitReports, leavingHosts, log } = options;
    this.#askFailures = new FailureSeries(log, 'ask an entry host for limits');
    this.#runs = this.#exchangeOf('lost runs', PEER_REQUESTS.runReports, runReports);
    this.#limits = this.#exchangeOf('limits', PEER_REQUESTS.limitReports, limitReports);
    this.#leaving = this.#exchangeOf('leaving hosts', PEER_REQUESTS.leavingHosts, leavingHosts);
  }

  /** There are new reports of lost runs, or other entry hosts to tell. */
  shareRuns(): void {
    this.#runs.flush();
  }

  /** The same for limits. */
  shareLimits(): void {
    this.#limits.flush();
  }

  /** The same for hosts that are shutting down. */
  shareLeaving(): void {
    this.#leaving.flush();
  }

  /** There may be other entry hosts to tell. */
  shareAll(): void {
    this.shareRuns();
    this.shareLimits();
    this.shareLeaving();
  }

  /** Another entry host has told of limits, unasked. */
  limitsHeard(reports: readonly LimitReport[], from: string): void {
    if (this.#options.limitReportsHeard(reports)) {
      void this.#askLimits(from);
    }
  }

  /** Tells nothing any more. */
  stop(): void {
    this.#runs.stop();
    this.#limits.stop();
    this.#leaving.stop();
  }

  async #askLimits(name: string): Promise<void> {
    const { links, addressOf, limitReportsHeard } = this.#options;
    const address = addressOf(name);
    if (address === undefined) {
      return;
    }
    const requestedAt = monotonicMs();
    try {
      const link = links.to(address);
      const reply = await link.request<unknown>(PEER_REQUESTS.askLimits, null, REQUEST_TIMEOUT_MS);
      limitReportsHeard(readLimitReports(reply), requestedAt);
      this.#askFailures.succeeded();
    } catch (error) {
      this.#askFailures.failed(error);
    }
  }

  #exchangeOf<T>(about: string, message: string, source: ReportSource<T>): ReportExchange<T> {
    const { links, neighbours, log } = this.#options;
    const send = async (address: string, reports: readonly T[]): Promise<ReportsReply> => {
      const request: ReportsRequest<T> = { reports };
      const link = links.to(address);
      return readReportsReply(await link.request<unknown>(message, request, REQUEST_TIMEOUT_MS));
    };
    return new ReportExchange({ about, source, addresses: neighbours, send, log });
  }
}
