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
    return [...sumOf([this.#own(), ...this.#fresh(this.#followers)])];
  }

  /** Counts of all hosts but one that follows this one. */
  allBut(follower: string): Counts {
    const followers = this.#fresh(this.#followers, follower);
    return [...sumOf([this.#own(), ...followers, ...this.#fresh(this.#domains)])];
  }

  #sum(): ReadonlyMap<string, number> {
    const now = monotonicMs();
    if (now - this.#othersAt >= LAPSE_MS / 10) {
      this.#others = sumOf(this.#ofAllOthers());
      this.#othersAt = now;
    }
    return this.#others;
  }

  // The host that is followed tells of everybody; what others tell here is part of that.
  #ofAllOthers(): readonly Counts[] {
    if (this.#followed !== undefined && isFresh(this.#followed)) {
      return [this.#followed.counts];
    }
    return [...this.#fresh(this.#followers), ...this.#fresh(this.#domains)];
  }

  #fresh(told: Map<string, Told>, except?: string): readonly Counts[] {
    const fresh: Counts[] = [];
    for (const [name, entry] of told) {
      if (!isFresh(entry)) {
        told.delete(name);
      } else if (name !== except) {
        fresh.push(entry.counts);
      }
    }
    return fresh;
  }
}

function isFresh(told: Told): boolean {
  return monotonicMs() - told.at < LAPSE_MS;
}

function sumOf(parts: readonly Counts[]): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  for (const [key, count] of parts.flat()) {
    sums.set(key, (sums.get(key) ?? 0) + count);
  }
  return sums;
}
