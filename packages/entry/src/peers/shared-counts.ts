/**
 * Numbers that all entry hosts add up: requests in progress by upstream host, work by model.
 *
 * Each entry host knows its own numbers at once; those of others arrive with a delay of some
 * hundred milliseconds and lapse when they are not renewed.
 */
import { monotonicMs } from '../server/time.js';
import type { Counts } from './peer-messages.js';

/** Age at which what another host has told counts no more, in milliseconds. */
const LAPSE_MS = 1_500;

type Told = { readonly counts: Counts; readonly at: number };

/** The sums as known here. */
export class SharedCounts {
  readonly #own: () => Counts;
  readonly #followers = new Map<string, Told>();
  readonly #domains = new Map<string, Told>();
  #others: ReadonlyMap<string, number> = new Map();
  #othersAt = -Infinity;
  #followed: Told | undefined;

  /** `own` gives the numbers of this host. */
  constructor(own: () => Counts) {
    this.#own = own;
  }

  /** What the other entry hosts have of a key. */
  ofOthers(key: string): number {
    return this.#sum().get(key) ?? 0;
  }

  /** This host's own numbers. */
  own(): Counts {
    return this.#own();
  }

  /** A host that follows this one has told its own counts. */
  noteFollower(name: string, counts: Counts): void {
    this.#followers.set(name, { counts, at: monotonicMs() });
    this.#othersAt = -Infinity;
  }

  /** The host that this one follows has told the counts of all others. */
  noteFollowed(counts: Counts): void {
    this.#followed = { counts, at: monotonicMs() };
    this.#othersAt = -Infinity;
  }

  /** Another failure domain has told its counts. */
  noteDomain(failureDomain: string, counts: Counts): void {
    this.#domains.set(failureDomain, { counts, at: monotonicMs() });
    this.#othersAt = -Infinity;
  }

  /** Counts of this failure domain, as far as they come together here. */
  ofDomain(): Counts {
    const sums = new Map<string, number>();
    addTo(sums, this.#own());
    this.#fresh(this.#followers).forEach(told => {
      addTo(sums, told.counts);
    });
    return [...sums];
  }

  /** Counts of all hosts but one that follows this one. */
  allBut(follower: string): Counts {
    const sums = new Map<string, number>();
    addTo(sums, this.#own());
    for (const [name, told] of this.#followers) {
      if (name !== follower && isFresh(told)) {
        addTo(sums, told.counts);
      }
    }
    this.#fresh(this.#domains).forEach(told => {
      addTo(sums, told.counts);
    });
    return [...sums];
  }

  #sum(): ReadonlyMap<string, number> {
    const now = monotonicMs();
    if (now - this.#othersAt < LAPSE_MS / 10) {
      return this.#others;
    }
    const sums = new Map<string, number>();
    if (this.#followed !== undefined && isFresh(this.#followed)) {
      addTo(sums, this.#followed.counts);
    } else {
      for (const told of [...this.#fresh(this.#followers), ...this.#fresh(this.#domains)]) {
        addTo(sums, told.counts);
      }
    }
    this.#others = sums;
    this.#othersAt = now;
    return sums;
  }

  #fresh(told: Map<string, Told>): readonly Told[] {
    for (const [name, entry] of told) {
      if (!isFresh(entry)) {
        told.delete(name);
      }
    }
    return [...told.values()];
  }
}

function isFresh(told: Told): boolean {
  return monotonicMs() - told.at < LAPSE_MS;
}

function addTo(sums: Map<string, number>, counts: Counts): void {
  for (const [key, count] of counts) {
    sums.set(key, (sums.get(key) ?? 0) + count);
  }
}
