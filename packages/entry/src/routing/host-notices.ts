/**
 * Keeps what hosts have said about themselves to this entry host, from when the answer was read: that they want no
 * requests for a time, and that they are shutting down.
 *
 * A host's word binds all requests of this entry host, not only the one that it answered. It is no failure, which
 * the next bytes from the host disprove, and which counts for nothing while all other hosts have failed too: in a
 * test of both, 40 and 42 requests reached a host in 2.5 s in which it had asked for none; now none does. It is kept
 * by start of the host, since a process that starts again has said nothing.
 */
import type { HostIncarnation } from '../hosts/host-entry.js';
import { StartMemory } from '../hosts/start-memory.js';
import type { HostNotice } from '../requests/host-notice.js';
import type { Log } from '../server/log.js';
import type { Counters, Gauges } from '../server/metrics.js';

/** Options of {@link HostNotices}. */
export type HostNoticesOptions = {
  /** Called when a start of a host says for the first time that it is shutting down. */
  readonly leaves: (host: HostIncarnation) => void;
  readonly log: Log;
  readonly counters: Counters;
  readonly gauges: Gauges;
  readonly now: () => number;
  /** Uniform in [0, 1). */
  readonly random?: () => number;
};

/**
 * Longest time that is believed, in milliseconds: a host that names more is asked again after it. It bounds what a
 * host that names days by mistake costs, and sends one that means it a request of each entry host in ten minutes.
 */
export const MOST_BACKOFF_MS = 600_000;
/**
 * Greatest part by which a time is made longer at random, 0 to 1, and greatest addition in milliseconds: entry hosts
 * that were rejected at the same moment must not all come back at the same moment. Half a second spreads a hundred
 * of them over some ten round trips.
 */
export const SPREAD_PART = 0.1;
export const MOST_SPREAD_MS = 500;

/** What hosts have said, by start of the host; times in monotonic milliseconds. */
export class HostNotices {
  readonly #options: HostNoticesOptions;
  /**
   * Until when hosts want no requests. By the steady clock: it does not advance while the machine is suspended, so that
   * requests may be withheld for longer than was asked, but never for less, as by a time of day that is set.
   */
  readonly #backoffs = new StartMemory<number>();
  readonly #leaving = new StartMemory<true>();

  constructor(options: HostNoticesOptions) {
    this.#options = options;
    options.gauges.follow('hosts_backing_off', () => [{ labels: {}, value: this.backingOff }]);
  }

  /** Hosts that want no requests now. */
  get backingOff(): number {
    const now = this.#options.now();
    return this.#backoffs.values.filter(until => until > now).length;
  }

  /** A host has said something with an answer. */
  hear(host: HostIncarnation, notice: HostNotice): void {
    if (notice.backoffMs > 0) {
      this.#hearBackoff(host, notice.backoffMs);
    }
    if (notice.isLeaving) {
      this.#hearLeaving(host);
    }
  }

  /** For how much longer the host wants no requests, in milliseconds; 0: it takes them. */
  backoffLeftMs(host: HostIncarnation, now: number): number {
    // Asked of each target for each request, and nearly always there is none.
    if (this.#backoffs.size === 0) {
      return 0;
    }
    const until = this.#backoffs.get(host) ?? -Infinity;
    return Math.max(0, until - now);
  }

  // Times overlap: the latest end holds, also when a later answer names an earlier one or serves its request.
  #hearBackoff(host: HostIncarnation, askedMs: number): void {
    const { log, counters, now, random = Math.random } = this.#options;
    const heardAt = now();
    const leftMs = this.backoffLeftMs(host, heardAt);
    const forMs = Math.min(askedMs, MOST_BACKOFF_MS);
    const until = heardAt + forMs + random() * Math.min(forMs * SPREAD_PART, MOST_SPREAD_MS);
    counters.count('host_backoffs_total', { repeated: String(leftMs > 0) });
    if (leftMs === 0) {
      log.info('host asks for no requests', { host: host.id, forMs: Math.round(askedMs) });
    }
    if (until > heardAt + leftMs) {
      this.#backoffs.forget(end => end <= heardAt);
      this.#backoffs.set(host, until);
    }
  }

  #hearLeaving(host: HostIncarnation): void {
    if (this.#leaving.has(host)) {
      return;
    }
    const { log, counters, leaves } = this.#options;
    this.#leaving.set(host, true);
    counters.count('hosts_leaving_total');
    log.info('host says that it is leaving', { host: host.id });
    leaves(host);
  }
}
