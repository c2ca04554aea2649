/**
 * Keeps what hosts have said about themselves, from when the answer was read: that they want no requests for a time,
 * and that they are shutting down.
 *
 * A host's word binds all requests of this entry host, not only the one that it answered. It is no failure, which
 * the next bytes from the host disprove, and which counts for nothing while all other hosts have failed too. It is kept
 * by start of the host, since a process that starts again has said nothing. A time without requests is asked of one entry
 * host; that a host leaves concerns all, so that whoever hears it tells the others.
 */
import type { HostIncarnation } from '../hosts/host-entry.js';
import { StartMemory } from '../hosts/start-memory.js';
import type { HostNotice, WordSource } from '../requests/host-notice.js';
import type { Log } from '../server/log.js';
import type { Counters, Gauges } from '../server/metrics.js';

/** Options of {@link HostNotices}. */
export type HostNoticesOptions = {
  /** Called when a start of a host says for the first time that it is shutting down. */
  readonly leaves: (host: HostIncarnation) => void;
  /** Called when other entry hosts should be told that a host is shutting down. */
  readonly reported: () => void;
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
/** Time for which a leaving host is told to entry hosts that come into reach, in milliseconds; most have ended by then. */
const LEAVING_TOLD_MS = 600_000;

/** A host that is shutting down; times in monotonic milliseconds. */
type LeavingHost = {
  readonly host: HostIncarnation;
  /** When this entry host learned of it. */
  readonly since: number;
  /** Its number among those that this entry host knows. */
  readonly sequence: number;
};

/** What hosts have said, by start of the host; times in monotonic milliseconds. */
export class HostNotices {
  readonly #options: HostNoticesOptions;
  /**
   * Until when hosts want no requests. By the steady clock: it does not advance while the machine is suspended, so that
   * requests may be withheld for longer than was asked, but never for less, as by a time of day that is set.
   */
  readonly #backoffs = new StartMemory<number>();
  readonly #leaving = new StartMemory<LeavingHost>();
  #sequence = 0;

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
      this.#hearLeaving(host, 'own-answer');
    }
  }

  /** Other entry hosts have told that hosts are shutting down. */
  readonly takeLeaving = (hosts: readonly HostIncarnation[]): void => {
    hosts.forEach(host => {
      this.#hearLeaving(host, 'other-entry-host');
    });
  };

  /** Number of the last host that has said that it is shutting down. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Those after a number that other entry hosts should know; all, if the number is not reached yet. */
  since(sequence: number): readonly HostIncarnation[] {
    const after = sequence > this.#sequence ? 0 : sequence;
    const from = this.#options.now() - LEAVING_TOLD_MS;
    const told = this.#leaving.values.filter(one => one.sequence > after && one.since >= from);
    return told.map(({ host }) => host);
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

  #hearLeaving({ id, startedAt }: HostIncarnation, source: WordSource): void {
    const host = { id, startedAt };
    if (this.#leaving.has(host)) {
      return;
    }
    const { log, counters, leaves, reported, now } = this.#options;
    this.#sequence += 1;
    this.#leaving.set(host, { host, since: now(), sequence: this.#sequence });
    counters.count('hosts_leaving_total');
    log.info('host says that it is leaving', { host: id, source });
    leaves(host);
    reported();
  }
}
