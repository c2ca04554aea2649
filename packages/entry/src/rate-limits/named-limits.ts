/**
 * Keeps the limits that hosts have named to this entry host: requests a second from all entry hosts together, by
 * start of the host, until an answer without a limit.
 */
import type { HostIncarnation } from '../hosts/host-entry.js';
import { StartMemory } from '../hosts/start-memory.js';
import type { LimitNotice } from '../requests/limit-notice.js';
import type { Log } from '../server/log.js';
import type { Counters, Gauges } from '../server/metrics.js';
import type { LimitWord } from './limit-word.js';
import { holdingWord } from './limit-word.js';

/** Options of {@link NamedLimits}. */
export type NamedLimitsOptions = {
  readonly log: Log;
  readonly counters: Counters;
  readonly gauges: Gauges;
  readonly now: () => number;
};

/** What is known of one start of a host. */
type KnownLimit = {
  readonly word: LimitWord;
  /** Since when the host has named limits, in monotonic milliseconds; undefined: it names none. */
  readonly since: number | undefined;
  /** Requests that this entry host has sent it since. */
  sent: number;
};

/** The limits of hosts. */
export class NamedLimits {
  readonly #options: NamedLimitsOptions;
  readonly #known = new StartMemory<KnownLimit>();

  constructor(options: NamedLimitsOptions) {
    this.#options = options;
    options.gauges.follow('hosts_limited', () => [{ labels: {}, value: this.limited }]);
  }

  /** Hosts that have a limit now. */
  get limited(): number {
    return this.#known.values.filter(({ since }) => since !== undefined).length;
  }

  /** An answer to a request that was sent at `askedAt` says something of the limit of its host. */
  hear(host: HostIncarnation, notice: LimitNotice, askedAt: number): void {
    if (notice.kind === 'untold') {
      return;
    }
    const perSecond = notice.kind === 'limited' ? notice.perSecond : Infinity;
    if (perSecond !== Infinity) {
      this.#options.counters.count('host_limits_total');
    }
    this.#take(host, { perSecond, askedAt, heardAt: this.#options.now() });
  }

  /** A request is about to be written to a connection to the host. */
  noteSend(host: HostIncarnation): void {
    const known = this.#known.get(host);
    if (known?.since !== undefined) {
      known.sent += 1;
      this.#options.counters.count('sends_to_limited_hosts_total');
    }
  }

  #take(host: HostIncarnation, word: LimitWord): void {
    const known = this.#known.get(host);
    if (known === undefined) {
      // Nearly all answers: there is nothing to remember of a host that has never named a limit.
      if (word.perSecond !== Infinity) {
        this.#begin(host, word);
      }
      return;
    }
    const held = holdingWord(known.word, word);
    if (held.perSecond === Infinity) {
      this.#end(host, known, held);
    } else if (known.since === undefined) {
      this.#begin(host, held);
    } else {
      this.#known.set(host, { ...known, word: held });
    }
  }

  #begin(host: HostIncarnation, word: LimitWord): void {
    const { perSecond, heardAt } = word;
    this.#known.set(host, { word, since: heardAt, sent: 0 });
    this.#options.log.info('host names a limit', { host: host.id, perSecond });
  }

  #end(host: HostIncarnation, { since, sent }: KnownLimit, word: LimitWord): void {
    this.#known.set(host, { word, since: undefined, sent: 0 });
    if (since !== undefined) {
      const forMs = Math.round(word.heardAt - since);
      this.#options.log.info('host names no limit any more', { host: host.id, forMs, sent });
    }
  }
}
