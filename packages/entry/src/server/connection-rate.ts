/** Measures how many new connections this entry host gets, and compares this with its peers. */
import type { SharedCounts } from '../peers/shared-counts.js';
import { monotonicMs } from './time.js';

/** Key of the rate among the counts that entry hosts exchange; the others contain a slash. */
export const NEW_CONNECTIONS_KEY = 'new-connections';

/** Time in which the weight of a connection falls to 1/e, in milliseconds: a surge lasts for some seconds. */
const DECAY_MS = 1_000;
const MS_PER_S = 1_000;
/** Factor, and number a second beyond it, by which an entry host gets many more connections than its peers on average. */
const MANY_FACTOR = 2;
const MANY_MARGIN_PER_S = 10;
/** Part of the other entry hosts that must have reported their rates, 0 to 1. */
const MIN_REPORTED_PART = 0.5;

/** The number of entry hosts, and the sums of what the others have reported. */
export type PeerRates = {
  readonly membership: { readonly count: number };
  readonly tally: { readonly work: Pick<SharedCounts, 'sumOfOthers'> };
};

/** Decayed rate of new connections, those that are closed unread included. */
export class ConnectionRate {
  readonly #now: () => number;
  #sum = 0;
  #at = -Infinity;

  /** `now` returns monotonic milliseconds; tests replace it. */
  constructor(now: () => number = monotonicMs) {
    this.#now = now;
  }

  /** New connections a second. */
  get perS(): number {
    return (this.#decayedSum(this.#now()) * MS_PER_S) / DECAY_MS;
  }

  /** Records a new connection. */
  note(): void {
    const now = this.#now();
    this.#sum = this.#decayedSum(now) + 1;
    this.#at = now;
  }

  /** The rate as it is reported to other entry hosts: at least one, to tell a report from none. */
  get reported(): number {
    return Math.max(1, Math.round(this.perS));
  }

  /** True if it is much higher than the mean rate of the other entry hosts. False if most of them have not reported. */
  isAbove({ membership, tally }: PeerRates): boolean {
    const peers = membership.count - 1;
    const sum = tally.work.sumOfOthers(NEW_CONNECTIONS_KEY);
    const hasReports = peers > 0 && sum >= peers * MIN_REPORTED_PART;
    return hasReports && this.perS > (MANY_FACTOR * sum) / peers + MANY_MARGIN_PER_S;
  }

  #decayedSum(now: number): number {
    return this.#sum * Math.exp((this.#at - now) / DECAY_MS);
  }
}
