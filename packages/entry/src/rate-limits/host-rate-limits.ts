/**
 * Keeps the rate limits that hosts have sent in answers to this entry host or to its peers: requests per second from
 * all entry hosts together. A limit is kept per host incarnation until an answer without a limit is received.
 *
 * Since a limit applies to all entry hosts together, each of them has to know it: an entry host that receives a limit
 * reports it to its peers, and they apply it without an answer of their own from the host.
 */
import type { HostIncarnation } from '../hosts/host-entry.js';
import { HostStartMap } from '../hosts/host-start-map.js';
import type { NoticeSource } from '../requests/host-notice.js';
import type { LimitNotice } from '../requests/limit-notice.js';
import type { Log } from '../server/log.js';
import type { Counters, Gauges } from '../server/metrics.js';
import type { KnownLimit, LimitBounds } from './known-limit.js';
import {
  afterAnswer,
  afterReport,
  boundOf,
  isLimiting,
  reportOf,
  shouldRequestReport,
} from './known-limit.js';
import type { LimitReport } from './limit-report.js';
import type { SendBound } from './paced-sends.js';

/** Options of the rate limits of hosts. */
export type HostRateLimitsOptions = {
  /** Called at each use, since settings may change. */
  readonly bounds: () => LimitBounds;
  /** Called when there is a change to report to peers. */
  readonly onChange: () => void;
  readonly log: Log;
  readonly counters: Counters;
  readonly gauges: Gauges;
  readonly now: () => number;
  /** Uniform in [0, 1). */
  readonly random?: () => number;
};

/** Known state of one host incarnation, and the state last reported to peers. */
type LimitRecord = {
  readonly known: KnownLimit;
  readonly reported: KnownLimit;
  /** Sequence number of the change that was last reported to peers. */
  readonly sequence: number;
  /** Requests claimed by this entry host for the host since the limit began. */
  readonly sent: number;
};

/**
 * Interval at which a limit that still applies is reported again, in milliseconds: about a third of the time after
 * which the turn passes to the next owners.
 */
const REFRESH_MS = 3_000;
/** Least relative change (0 to 1) that is reported at once: a host may send another limit with each answer. */
const REPORTED_CHANGE = 0.1;
/**
 * Time for which the end of a limit is reported again after later answers that confirm it, in milliseconds, and the
 * minimum interval between two of these reports. The peer that received the limit last accepts the end only from an
 * answer to a request that was sent after that.
 */
const END_REPEATED_MS = 3_000;
const END_REPEAT_INTERVAL_MS = 800;
/** Time for which an ended limit is reported to peers that become reachable, in milliseconds. */
const END_REPORTED_MS = 600_000;

/** Rate limits of hosts, kept until they end and shared with the peers. */
export class HostRateLimits {
  readonly #options: HostRateLimitsOptions;
  readonly #records = new HostStartMap<LimitRecord>();
  #sequence = 0;

  constructor(options: HostRateLimitsOptions) {
    this.#options = options;
    options.gauges.register('hosts_limited', () => [{ labels: {}, value: this.limitedHosts }]);
  }

  /** Number of hosts that have a limit which an answer has confirmed within the last ten minutes. */
  get limitedHosts(): number {
    const from = this.#options.now() - END_REPORTED_MS;
    const isLimited = ({ known }: LimitRecord): boolean =>
      isLimiting(known.word) && known.confirmedAt >= from;
    return this.#records.values.filter(isLimited).length;
  }

  /** Sequence number of the newest change to report. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Returns reports of the changes after a sequence number; of all if that number is not reached yet. */
  since(sequence: number): readonly LimitReport[] {
    const after = sequence > this.#sequence ? 0 : sequence;
    const now = this.#options.now();
    return this.#records.values
      .filter(
        record => record.sequence > after && now - record.known.word.heardAt < END_REPORTED_MS,
      )
      .map(({ known }) => reportOf(known, now));
  }

  /** Receives the limit notice of an answer; its request was sent at `askedAt`, in monotonic milliseconds. */
  receiveNotice(host: HostIncarnation, notice: LimitNotice, askedAt: number): void {
    if (notice.kind === 'untold') {
      return;
    }
    const { counters } = this.#options;
    const isLimited = notice.kind === 'limited';
    if (isLimited) {
      counters.count('host_limits_total');
    }
    const { now, random } = this.#moment();
    const word = { perSecond: isLimited ? notice.perSecond : Infinity, askedAt, heardAt: now };
    const before = this.#records.get(host);
    this.#update(before, afterAnswer(before?.known, host, word, { now, random }), 'own-answer');
  }

  /**
   * Receives reports from a peer; `requestedAt` is absent for unrequested reports. Returns true if the reports should
   * be requested from the peer, since unrequested ones may be too old to be applied in full.
   */
  readonly receiveReports = (reports: readonly LimitReport[], requestedAt?: number): boolean => {
    let shouldRequest = false;
    for (const report of reports) {
      const before = this.#records.get(report.host);
      const moment = this.#moment();
      shouldRequest ||= shouldRequestReport(before?.known, report, moment.now);
      const known = afterReport(before?.known, report, moment, requestedAt);
      this.#update(before, known, 'other-entry-host');
    }
    return shouldRequest && requestedAt === undefined;
  };

  /** Bound on what all entry hosts together may send to the host; undefined without a limit. */
  readonly boundOf = (host: HostIncarnation, now: number): SendBound | undefined => {
    // Called for each target of each request; nearly always there are no limits.
    if (this.#records.size === 0) {
      return undefined;
    }
    const record = this.#records.get(host);
    return record && boundOf(record.known, this.#options.bounds(), now);
  };

  /** The host's current limit, in requests per second; undefined without a limit. */
  perSecondOf(host: HostIncarnation): number | undefined {
    const known = this.#records.size === 0 ? undefined : this.#records.get(host)?.known;
    return known !== undefined && isLimiting(known.word) ? known.perSecond : undefined;
  }

  /** Counts a request that was claimed for a host with a limit. */
  readonly countSend = (host: HostIncarnation): void => {
    const record = this.#records.get(host);
    if (record !== undefined) {
      this.#options.counters.count('sends_to_limited_hosts_total');
      this.#records.set(host, { ...record, sent: record.sent + 1 });
    }
  };

  #moment(): { readonly now: number; readonly random: () => number } {
    const { now, random = Math.random } = this.#options;
    return { now: now(), random };
  }

  #update(
    before: LimitRecord | undefined,
    known: KnownLimit | undefined,
    source: NoticeSource,
  ): void {
    if (known === undefined) {
      return;
    }
    const isToReport = before === undefined || shouldReport(before.reported, known);
    const sequence = isToReport ? this.#sequence + 1 : before.sequence;
    const reported = isToReport ? known : before.reported;
    const sent = this.#logChange(before, known, source) ? 0 : (before?.sent ?? 0);
    this.#records.set(known.host, { known, reported, sequence, sent });
    if (isToReport) {
      this.#sequence = sequence;
      this.#options.onChange();
    }
  }

  // Returns true if a limit of the host begins or ends.
  #logChange(before: LimitRecord | undefined, known: KnownLimit, source: NoticeSource): boolean {
    const { log, now } = this.#options;
    const isLimited = isLimiting(known.word);
    const wasLimited = before !== undefined && isLimiting(before.known.word);
    const { id: host } = known.host;
    if (isLimited && !wasLimited) {
      log.info('host has set a rate limit', { host, perSecond: known.perSecond, source });
    }
    if (wasLimited && !isLimited) {
      const forMs = Math.round(now() - known.since);
      log.info('host has ended its rate limit', { host, forMs, sent: before.sent, source });
    }
    return isLimited !== wasLimited;
  }
}

function shouldReport(reported: KnownLimit, known: KnownLimit): boolean {
  const isTransition = isLimiting(reported.word) !== isLimiting(known.word);
  const change = Math.abs(reported.perSecond - known.perSecond);
  const hasChanged = change > REPORTED_CHANGE * reported.perSecond;
  const isRefreshDue = known.confirmedAt - reported.confirmedAt >= REFRESH_MS;
  const isEndConfirmed =
    known.word.askedAt - reported.word.askedAt >= END_REPEAT_INTERVAL_MS &&
    known.word.heardAt < known.until + END_REPEATED_MS;
  return isTransition || hasChanged || isRefreshDue || (!isLimiting(known.word) && isEndConfirmed);
}
