/**
 * Keeps the limits that hosts have named, to this entry host or to others: requests a second from all entry hosts
 * together, by start of the host, until an answer without a limit.
 *
 * A limit for all binds each of them, so each has to know of it: whoever hears a host's word tells the others, and an
 * entry host that has not been told by the host itself keeps to the limit as well.
 */
import type { HostIncarnation } from '../hosts/host-entry.js';
import { StartMemory } from '../hosts/start-memory.js';
import type { WordSource } from '../requests/host-notice.js';
import type { LimitNotice } from '../requests/limit-notice.js';
import type { Log } from '../server/log.js';
import type { Counters, Gauges } from '../server/metrics.js';
import type { KnownLimit, LimitBounds } from './known-limit.js';
import {
  afterReport,
  afterWord,
  boundOf,
  isLimiting,
  isWorthAsking,
  reportOf,
} from './known-limit.js';
import type { LimitReport } from './limit-report.js';
import type { SendBound } from './paced-sends.js';

/** Options of {@link NamedLimits}. */
export type NamedLimitsOptions = {
  /** Asked anew each time, since settings may change. */
  readonly bounds: () => LimitBounds;
  /** Called when there is something to tell other entry hosts. */
  readonly reported: () => void;
  readonly log: Log;
  readonly counters: Counters;
  readonly gauges: Gauges;
  readonly now: () => number;
  /** Uniform in [0, 1). */
  readonly random?: () => number;
};

/** What is known of one start of a host, and what of it was told. */
type Kept = {
  readonly known: KnownLimit;
  readonly told: KnownLimit;
  /** Number of the change that other entry hosts were told last. */
  readonly sequence: number;
  /** Requests that this entry host has written to it since it is limited. */
  readonly sent: number;
};

/**
 * Time after which it is told again that a limit still holds, in milliseconds: a third of the time after which others
 * take the owners for gone.
 */
const REFRESH_MS = 3_000;
/** Change of a limit that is told at once, as a part of it, 0 to 1: a host may name another figure with each answer. */
const TOLD_CHANGE = 0.1;
/**
 * Time for which an end is told again with each later answer that shows it, in milliseconds, and least time between
 * two of these. An entry host that heard of the limit last believes the end only if it was asked about after that.
 */
const END_REPEATED_MS = 3_000;
const END_PERIOD_MS = 800;
/** Time for which an ended limit is told to entry hosts that come into reach, in milliseconds. */
const END_TOLD_MS = 600_000;

/** The limits of hosts. */
export class NamedLimits {
  readonly #options: NamedLimitsOptions;
  readonly #kept = new StartMemory<Kept>();
  #sequence = 0;

  constructor(options: NamedLimitsOptions) {
    this.#options = options;
    options.gauges.follow('hosts_limited', () => [{ labels: {}, value: this.limited }]);
  }

  /** Hosts that have named a limit within the last minutes, and none without one since. */
  get limited(): number {
    const from = this.#options.now() - END_TOLD_MS;
    const isLimited = ({ known }: Kept): boolean =>
      isLimiting(known.word) && known.confirmedAt >= from;
    return this.#kept.values.filter(isLimited).length;
  }

  /** Number of the newest change that other entry hosts should know. */
  get sequence(): number {
    return this.#sequence;
  }

  /** The changes after a number that other entry hosts should know; all, if the number is not reached yet. */
  since(sequence: number): readonly LimitReport[] {
    const after = sequence > this.#sequence ? 0 : sequence;
    const now = this.#options.now();
    return this.#kept.values
      .filter(kept => kept.sequence > after && now - kept.known.word.heardAt < END_TOLD_MS)
      .map(({ known }) => reportOf(known, now));
  }

  /** An answer to a request that was sent at `askedAt` says something of the limit of its host. */
  hear(host: HostIncarnation, notice: LimitNotice, askedAt: number): void {
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
    const before = this.#kept.get(host);
    this.#keep(before, afterWord(before?.known, host, word, { now, random }), 'own-answer');
  }

  /**
   * Another entry host has told of limits, unasked where `requestedAt` is left out. True: it should be asked, since what
   * came unasked may be too old to be believed.
   */
  readonly take = (reports: readonly LimitReport[], requestedAt?: number): boolean => {
    let isWorthIt = false;
    for (const report of reports) {
      const before = this.#kept.get(report.host);
      const moment = this.#moment();
      isWorthIt ||= isWorthAsking(before?.known, report, moment.now);
      const known = afterReport(before?.known, report, moment, requestedAt);
      this.#keep(before, known, 'other-entry-host');
    }
    return isWorthIt && requestedAt === undefined;
  };

  /** The bound on what all entry hosts together may send the host; undefined where it takes what comes. */
  readonly boundOf = (host: HostIncarnation, now: number): SendBound | undefined => {
    // Asked of each target for each request, and nearly always there is none.
    if (this.#kept.size === 0) {
      return undefined;
    }
    const kept = this.#kept.get(host);
    return kept && boundOf(kept.known, this.#options.bounds(), now);
  };

  /** The limit that the host names; undefined while it names none. */
  perSecondOf(host: HostIncarnation): number | undefined {
    const known = this.#kept.size === 0 ? undefined : this.#kept.get(host)?.known;
    return known !== undefined && isLimiting(known.word) ? known.perSecond : undefined;
  }

  /** A request has been claimed for a limited host. */
  readonly noteSend = (host: HostIncarnation): void => {
    const kept = this.#kept.get(host);
    if (kept !== undefined) {
      this.#options.counters.count('sends_to_limited_hosts_total');
      this.#kept.set(host, { ...kept, sent: kept.sent + 1 });
    }
  };

  #moment(): { readonly now: number; readonly random: () => number } {
    const { now, random = Math.random } = this.#options;
    return { now: now(), random };
  }

  #keep(before: Kept | undefined, known: KnownLimit | undefined, source: WordSource): void {
    if (known === undefined) {
      return;
    }
    const isNews = before === undefined || isWorthTelling(before.told, known);
    const sequence = isNews ? this.#sequence + 1 : before.sequence;
    const told = isNews ? known : before.told;
    const sent = this.#logChange(before, known, source) ? 0 : (before?.sent ?? 0);
    this.#kept.set(known.host, { known, told, sequence, sent });
    if (isNews) {
      this.#sequence = sequence;
      this.#options.reported();
    }
  }

  // True when the host begins or ends to be limited.
  #logChange(before: Kept | undefined, known: KnownLimit, source: WordSource): boolean {
    const { log, now } = this.#options;
    const isLimited = isLimiting(known.word);
    const wasLimited = before !== undefined && isLimiting(before.known.word);
    const { id: host } = known.host;
    if (isLimited && !wasLimited) {
      log.info('host names a limit', { host, perSecond: known.perSecond, source });
    }
    if (wasLimited && !isLimited) {
      const forMs = Math.round(now() - known.since);
      log.info('host names no limit any more', { host, forMs, sent: before.sent, source });
    }
    return isLimited !== wasLimited;
  }
}

function isWorthTelling(told: KnownLimit, known: KnownLimit): boolean {
  const isOtherKind = isLimiting(told.word) !== isLimiting(known.word);
  const change = Math.abs(told.perSecond - known.perSecond);
  const isOtherFigure = change > TOLD_CHANGE * told.perSecond;
  const isOld = known.confirmedAt - told.confirmedAt >= REFRESH_MS;
  const isEndConfirmed =
    known.word.askedAt - told.word.askedAt >= END_PERIOD_MS &&
    known.word.heardAt < known.until + END_REPEATED_MS;
  return isOtherKind || isOtherFigure || isOld || (!isLimiting(known.word) && isEndConfirmed);
}
