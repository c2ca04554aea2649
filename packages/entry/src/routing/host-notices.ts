/** Keeps what hosts have said about themselves to this entry host: that they want no requests for a time. */
import type { HostIncarnation } from '../hosts/host-entry.js';
import { incarnationOf } from '../hosts/host-entry.js';
import type { HostNotice } from '../requests/host-notice.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';

/** Options of {@link HostNotices}. */
export type HostNoticesOptions = {
  readonly log: Log;
  readonly counters: Counters;
};

/** A time in which a host wants no requests, in monotonic milliseconds. */
type Backoff = { readonly until: number };

/** What hosts have said, by start of the host. */
export class HostNotices {
  readonly #options: HostNoticesOptions;
  readonly #backoffs = new Map<string, Backoff>();

  constructor(options: HostNoticesOptions) {
    this.#options = options;
  }

  /** A host has said something with an answer; `now` in monotonic milliseconds. */
  hear(host: HostIncarnation, notice: HostNotice, now: number): void {
    if (notice.backoffMs > 0) {
      this.#hearBackoff(host, notice.backoffMs, now);
    }
  }

  /** For how much longer the host wants no requests, in milliseconds; 0: it takes them. */
  backoffLeftMs(host: HostIncarnation, now: number): number {
    const until = this.#backoffs.get(incarnationOf(host))?.until ?? -Infinity;
    return Math.max(0, until - now);
  }

  #hearBackoff(host: HostIncarnation, backoffMs: number, now: number): void {
    const { log, counters } = this.#options;
    const isNew = this.backoffLeftMs(host, now) === 0;
    counters.count('host_backoffs_total', { repeated: String(!isNew) });
    if (isNew) {
      log.info('host asks for no requests', { host: host.id, forMs: Math.round(backoffMs) });
    }
    const until = Math.max(now + backoffMs, now + this.backoffLeftMs(host, now));
    this.#backoffs.set(incarnationOf(host), { until });
  }
}
