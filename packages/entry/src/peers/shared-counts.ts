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

/** Time for which the sum of all is used again, in milliseconds; loads are older than this anyway. */
const SUM_AGE_MS = 50;

type Told = { readonly counts: Counts; readonly at: number };
type ToldByFollower = Told & { readonly failureDomain: string };

/** The sums as known here. */
export class SharedCounts {
  readonly #own: () => Counts;
  readonly #followers = new Map<string, ToldByFollower>();
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

  /** A host that follows this one has told what it and its own followers have. */
  noteFollower(name: string, failureDomain: string, counts: Counts): void {
    this.#followers.set(name, { counts, at: monotonicMs(), failureDomain });
  }

  /** True while any host tells its counts by following this one. */
  get hasFollowers(): boolean {
    return this.#fresh(this.#followers).length > 0;
  }

  /** Names of the hosts that tell their counts by following this one. */
  get followers(): readonly string[] {
    this.#fresh(this.#followers);
    return [...this.#followers.keys()];
  }

  /** True while a host of the failure domain tells its counts by following this one. */
  hasFollowerIn(failureDomain: string): boolean {
    return this.#fresh(this.#followers).some(told => told.failureDomain === failureDomain);
  }

  /** The host that this one follows has told what everybody has who does not follow this one. */
  noteFollowed(counts: Counts): void {
    this.#followed = { counts, at: monotonicMs() };
    this.#othersAt = -Infinity;
  }

  /** Another failure domain has told its counts. */
  noteDomain(failureDomain: string, counts: Counts): void {
    this.#domains.set(failureDomain, { counts, at: monotonicMs() });
    this.#othersAt = -Infinity;
  }

  /** Counts of this host and of its followers in its failure domain. */
  ofDomain(failureDomain: string): Counts {
    const followers = this.#fresh(this.#followers).filter(
      told => told.failureDomain === failureDomain,
    );
    return [...sumOf([this.#own(), ...countsOf(followers)])];
  }

  /** Counts of this host and of all that follow it. */
  withFollowers(): Counts {
    return [...sumOf([this.#own(), ...countsOf(this.#fresh(this.#followers))])];
  }

  /** Counts of all hosts but one that follows this one, and the followers of that one. */
  allBut(follower: string): Counts {
    const told = this.#followers.get(follower);
    const sums = sumOf([this.#own(), [...this.#sum()]]);
    if (told !== undefined && isFresh(told)) {
      subtract(sums, told.counts);
    }
    return [...sums].filter(([, count]) => count > 0);
  }

  #sum(): ReadonlyMap<string, number> {
    const now = monotonicMs();
    if (now - this.#othersAt >= SUM_AGE_MS) {
      this.#others = sumOf(this.#ofAllOthers());
      this.#othersAt = now;
    }
    return this.#others;
  }

  // The host that is followed tells of everybody but this one and its followers.
  #ofAllOthers(): readonly Counts[] {
    const followers = countsOf(this.#fresh(this.#followers));
    if (this.#followed !== undefined && isFresh(this.#followed)) {
      return [...followers, this.#followed.counts];
    }
    return [...followers, ...countsOf(this.#fresh(this.#domains))];
  }

  #fresh<T extends Told>(told: Map<string, T>): readonly T[] {
    for (const [name, entry] of told) {
      if (!isFresh(entry)) {
        told.delete(name);
      }
    }
    return [...told.values()];
  }
}

function countsOf(told: readonly Told[]): readonly Counts[] {
  return told.map(({ counts }) => counts);
}

// What is subtracted may be newer than the sum, which then falls below zero for a moment.
function subtract(sums: Map<string, number>, counts: Counts): void {
  for (const [key, count] of counts) {
    sums.set(key, (sums.get(key) ?? 0) - count);
  }
}

function isFresh(told: Told): boolean {
  return monotonicMs() - told.at < LAPSE_MS;
}

function sumOf(parts: readonly Counts[]): Map<string, number> {
  const sums = new Map<string, number>();
  for (const [key, count] of parts.flat()) {
    sums.set(key, (sums.get(key) ?? 0) + count);
  }
  return sums;
}
