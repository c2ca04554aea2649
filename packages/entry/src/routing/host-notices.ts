/**
 * Keeps the notices that upstream hosts give about themselves with their answers: a backoff (the host wants no requests
 * for a time), and that the host is leaving (shutting down). A notice takes effect when its answer is read.
 *
 * A notice applies to all requests of this entry host, not only to the one that was answered. It differs from a
 * failure, which is cleared by the next bytes from the host and is disregarded while all other hosts have failed too.
 * Notices are kept by incarnation, since a restarted process has given none. A backoff is meant for the entry host that
 * received the answer; a leaving host concerns all entry hosts, so the one that receives the notice reports it to its
 * peers.
 */
import type { HostIncarnation } from '../hosts/host-entry.js';
import { HostStartMap } from '../hosts/host-start-map.js';
import type { HostNotice, NoticeSource } from '../requests/host-notice.js';
import type { Log } from '../server/log.js';
import type { Counters, Gauges } from '../server/metrics.js';

/** Options of {@link HostNotices}. */
export type HostNoticesOptions = {
  /** Called at the first notice that an incarnation of a host is leaving. */
  readonly onHostLeaving: (host: HostIncarnation) => void;
  /** Called when a leaving host should be reported to the peers. */
  readonly onReportNeeded: () => void;
  readonly log: Log;
  readonly counters: Counters;
  readonly gauges: Gauges;
  /** The clock, in monotonic milliseconds. */
  readonly now: () => number;
  /** Uniform in [0, 1). */
  readonly random?: () => number;
};

/**
 * Longest backoff that is applied, in milliseconds; a host that asks for more receives a request again after it. It
 * limits the cost of a host that asks for days by mistake. A host that does mean such a time receives one request from
 * each entry host in ten minutes.
 */
export const MAX_BACKOFF_MS = 600_000;
/**
 * Greatest random extension of a backoff, as a part of it (0 to 1): entry hosts that were rejected at the same moment
 * must not all send again at the same moment.
 */
export const JITTER_PART = 0.1;
/**
 * Greatest random extension of a backoff, in milliseconds. Half a second spreads a hundred entry hosts over some ten
 * round trips.
 */
export const MAX_JITTER_MS = 500;
/** Time for which a leaving host is reported to newly reachable peers, in ms; most such hosts have ended by then. */
const LEAVING_REPORT_MS = 600_000;

/** A host that is shutting down. */
type LeavingHost = {
  readonly host: HostIncarnation;
  /** When this entry host received the notice, in monotonic milliseconds. */
  readonly since: number;
  /** Number of the notice; this entry host numbers those of leaving hosts from 1. */
  readonly sequence: number;
};

/** The notices of upstream hosts, by incarnation; times in monotonic milliseconds. */
export class HostNotices {
  readonly #options: HostNoticesOptions;
  /**
   * Ends of the backoffs. The monotonic clock does not advance while the machine is suspended, so requests may be
   * withheld for longer than the host asked, but never for less, which could happen when a wall clock is set.
   */
  readonly #backoffs = new HostStartMap<number>();
  readonly #leaving = new HostStartMap<LeavingHost>();
  #sequence = 0;

  constructor(options: HostNoticesOptions) {
    this.#options = options;
    options.gauges.register('hosts_backing_off', () => [
      { labels: {}, value: this.backingOffCount },
    ]);
  }

  /** Number of hosts whose backoff has not ended. */
  get backingOffCount(): number {
    const now = this.#options.now();
    return this.#backoffs.values.filter(until => until > now).length;
  }

  /** Applies the notice that was read from an answer of the host. */
  receive(host: HostIncarnation, notice: HostNotice): void {
    if (notice.backoffMs > 0) {
      this.#addBackoff(host, notice.backoffMs);
    }
    if (notice.isLeaving) {
      this.#addLeaving(host, 'own-answer');
    }
  }

  /** Applies reports from peers of hosts that are shutting down. */
  readonly receiveLeaving = (hosts: readonly HostIncarnation[]): void => {
    hosts.forEach(host => {
      this.#addLeaving(host, 'other-entry-host');
    });
  };

  /** Number of the newest notice of a leaving host; 0: there is none. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Leaving hosts to report to a peer: those after a number, or all where that number has not been given out here. */
  since(sequence: number): readonly HostIncarnation[] {
    const afterNumber = sequence > this.#sequence ? 0 : sequence;
    const oldestAt = this.#options.now() - LEAVING_REPORT_MS;
    const reportable = this.#leaving.values.filter(
      one => one.sequence > afterNumber && one.since >= oldestAt,
    );
    return reportable.map(({ host }) => host);
  }

  /** Milliseconds until the backoff of the host ends; 0: it has none. */
  backoffLeftMs(host: HostIncarnation, now: number): number {
    // A shortcut: this runs for each target of each request, and there is nearly always no backoff.
    if (this.#backoffs.size === 0) {
      return 0;
    }
    const until = this.#backoffs.get(host) ?? -Infinity;
    return Math.max(0, until - now);
  }

  // Backoffs overlap: the latest end applies, also when a later answer asks for an earlier one or serves its request.
  #addBackoff(host: HostIncarnation, askedMs: number): void {
    const { log, counters, now, random = Math.random } = this.#options;
    const receivedAt = now();
    const leftMs = this.backoffLeftMs(host, receivedAt);
    const backoffMs = Math.min(askedMs, MAX_BACKOFF_MS);
    const until =
      receivedAt + backoffMs + random() * Math.min(backoffMs * JITTER_PART, MAX_JITTER_MS);
    counters.count('host_backoffs_total', { repeated: String(leftMs > 0) });
    if (leftMs === 0) {
      log.info('host requested a backoff', { host: host.id, forMs: Math.round(askedMs) });
    }
    if (until > receivedAt + leftMs) {
      this.#backoffs.deleteWhere(end => end <= receivedAt);
      this.#backoffs.set(host, until);
    }
  }

  #addLeaving({ id, startedAt }: HostIncarnation, source: NoticeSource): void {
    const host = { id, startedAt };
    if (this.#leaving.has(host)) {
      return;
    }
    const { log, counters, onHostLeaving, onReportNeeded, now } = this.#options;
    this.#sequence += 1;
    this.#leaving.set(host, { host, since: now(), sequence: this.#sequence });
    counters.count('hosts_leaving_total');
    log.info('host is leaving', { host: id, source });
    onHostLeaving(host);
    onReportNeeded();
  }
}
