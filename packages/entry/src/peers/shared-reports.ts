/** Exchanges reports of runs, rate limits and hosts that are shutting down with neighbouring entry hosts. */
import type { LinkPool } from '@hingescale/link';

import type { HostIncarnation } from '../hosts/host-entry.js';
import type { RunReport } from '../quarantine/run-report.js';
import type { LimitReport } from '../rate-limits/limit-report.js';
import { FailureSeries } from '../server/failure-series.js';
import type { Log } from '../server/log.js';
import { monotonicMs } from '../server/time.js';
import { parseLimitReports, parseReportsReply } from './parse-messages.js';
import type { ReportsReply, ReportsRequest } from './peer-messages.js';
import { PEER_REQUESTS } from './peer-messages.js';
import type { ReportSource } from './report-exchange.js';
import { ReportExchange } from './report-exchange.js';

/** The reports that this host sends, and the receiver of rate limit reports. */
export type ReportSources = {
  /** Reports of lost and completed runs. */
  readonly runReports: ReportSource<RunReport>;
  /** Reports of the rate limits that upstream hosts have announced. */
  readonly limitReports: ReportSource<LimitReport>;
  /**
   * Called with rate limit reports of another entry host. `requestedAt` (monotonic milliseconds) is the time of the
   * request that they answer; without it the host sent them unrequested. Returns true where all reports of that host
   * should be requested.
   */
  readonly limitReportsReceived: (reports: readonly LimitReport[], requestedAt?: number) => boolean;
  /** Hosts that have announced their shutdown. */
  readonly leavingHosts: ReportSource<HostIncarnation>;
};

export type SharedReportsOptions = ReportSources & {
  readonly links: LinkPool;
  /** Returns the addresses of the entry hosts that get reports. */
  readonly neighbours: () => readonly string[];
  /** Returns the address of an entry host by its name; undefined where it is not known. */
  readonly addressOf: (name: string) => string | undefined;
  readonly log: Log;
};

const REQUEST_TIMEOUT_MS = 400;

/** Runs one exchange for each type of report. */
export class SharedReports {
  readonly #options: SharedReportsOptions;
  readonly #runs: ReportExchange<RunReport>;
  readonly #limits: ReportExchange<LimitReport>;
  readonly #leaving: ReportExchange<HostIncarnation>;
  readonly #requestFailures: FailureSeries;

  constructor(options: SharedReportsOptions) {
    this.#options = options;
    const { runReports, limitReports, leavingHosts, log } = options;
    this.#requestFailures = new FailureSeries(log, 'request rate limits from an entry host');
    this.#runs = this.#exchangeOf('lost runs', PEER_REQUESTS.runReports, runReports);
    this.#limits = this.#exchangeOf('limits', PEER_REQUESTS.limitReports, limitReports);
    this.#leaving = this.#exchangeOf('leaving hosts', PEER_REQUESTS.leavingHosts, leavingHosts);
  }

  /** Sends undelivered reports of lost and completed runs; called when there are new ones or other receivers. */
  shareRuns(): void {
    this.#runs.flush();
  }

  /** Sends undelivered reports of rate limits; called when there are new ones or other receivers. */
  shareLimits(): void {
    this.#limits.flush();
  }

  /** Sends undelivered reports of hosts that are shutting down; called when there are new ones or other receivers. */
  shareLeavingHosts(): void {
    this.#leaving.flush();
  }

  /** Sends all undelivered reports; called when there may be other receivers. */
  shareAll(): void {
    this.shareRuns();
    this.shareLimits();
    this.shareLeavingHosts();
  }

  /** Handles rate limit reports that another entry host sent unrequested. */
  limitReportsReceived(reports: readonly LimitReport[], from: string): void {
    if (this.#options.limitReportsReceived(reports)) {
      void this.#requestLimits(from);
    }
  }

  /** Stops sending. */
  stop(): void {
    this.#runs.stop();
    this.#limits.stop();
    this.#leaving.stop();
  }

  async #requestLimits(name: string): Promise<void> {
    const { links, addressOf, limitReportsReceived } = this.#options;
    const address = addressOf(name);
    if (address === undefined) {
      return;
    }
    const requestedAt = monotonicMs();
    try {
      const link = links.clientFor(address);
      const reply = await link.request<unknown>(PEER_REQUESTS.askLimits, null, REQUEST_TIMEOUT_MS);
      limitReportsReceived(parseLimitReports(reply), requestedAt);
      this.#requestFailures.recordSuccess();
    } catch (error) {
      this.#requestFailures.recordFailure(error);
    }
  }

  #exchangeOf<T>(about: string, message: string, source: ReportSource<T>): ReportExchange<T> {
    const { links, neighbours, log } = this.#options;
    const send = async (address: string, reports: readonly T[]): Promise<ReportsReply> => {
      const request: ReportsRequest<T> = { reports };
      const link = links.clientFor(address);
      return parseReportsReply(await link.request<unknown>(message, request, REQUEST_TIMEOUT_MS));
    };
    return new ReportExchange({ about, source, addresses: neighbours, send, log });
  }
}
