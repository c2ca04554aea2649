/**
 * Sums numbers over all entry hosts: requests in progress by upstream host, work by model.
 *
 * An entry host knows its own numbers at once. Those of other hosts arrive with a delay of some hundred milliseconds
 * and expire when they are not renewed.
 */
import { monotonicMs } from '../server/time.js';
import type { Counts } from './peer-messages.js';

/** Age at which reported counts expire, in milliseconds. */
const EXPIRY_MS = 1_500;

/** Time for which the computed sum of other hosts is reused, in milliseconds; loads are older than this anyway. */
const SUM_REUSE_MS = 50;

/** Counts that another host reported, and the time of receipt in monotonic milliseconds. */
type CountsReport = { readonly counts: Counts; readonly at: number };
type FollowerReport = CountsReport & { readonly failureDomain: string };

/** Holds the counts of this host and the last reported counts of other entry hosts, and sums them. */
export class SharedCounts {
  readonly #own: () => Counts;
  readonly #followers = new Map<string, FollowerReport>();
  readonly #domains = new Map<string, CountsReport>();
  #cachedSum: ReadonlyMap<string, number> = new Map();
  #summedAt = -Infinity;
  #followed: CountsReport | undefined;

  /** `own` returns the counts of this host. */
  constructor(own: () => Counts) {
    this.#own = own;
  }

  /** Returns the sum over all other entry hosts for a key. */
  sumOfOthers(key: string): number {
    return this.#sumOfOthers().get(key) ?? 0;
  }

  /** Records the counts of a follower of this host, summed with those of its own followers. */
  noteFollower(name: string, failureDomain: string, counts: Counts): void {
    this.#followers.set(name, { counts, at: monotonicMs(), failureDomain });
  }

  /** True while any host follows this one and reports its counts. */
  get hasFollowers(): boolean {
    return this.#fresh(this.#followers).length > 0;
  }

  /** Returns true while a host of the failure domain follows this one and reports its counts. */
  hasFollowerIn(failureDomain: string): boolean {
    return this.#fresh(this.#followers).some(entry => entry.failureDomain === failureDomain);
  }

  /** Records the counts that the followed host reported: the sum over all hosts but this one and its followers. */
  noteFollowed(counts: Counts): void {
    this.#followed = { counts, at: monotonicMs() };
    this.#summedAt = -Infinity;
  }

  /** Records the counts of another failure domain. */
  noteDomain(failureDomain: string, counts: Counts): void {
    this.#domains.set(failureDomain, { counts, at: monotonicMs() });
    this.#summedAt = -Infinity;
  }

  /** Returns the counts of this host and of its followers in its failure domain. */
  ofDomain(failureDomain: string): Counts {
    const followers = this.#fresh(this.#followers).filter(
      entry => entry.failureDomain === failureDomain,
    );
    return [...sumOf([this.#own(), ...countsOf(followers)])];
  }

  /** Returns the counts of this host and of all its followers. */
  withFollowers(): Counts {
    return [...sumOf([this.#own(), ...countsOf(this.#fresh(this.#followers))])];
  }

  /** Returns the counts of all hosts but one follower of this host and the followers of that one. */
  allExcept(follower: string): Counts {
    const reported = this.#followers.get(follower);
    const sums = sumOf([this.#own(), [...this.#sumOfOthers()]]);
    if (reported !== undefined && isFresh(reported)) {
      subtract(sums, reported.counts);
    }
    return [...sums].filter(([, count]) => count > 0);
  }

  #sumOfOthers(): ReadonlyMap<string, number> {
    const now = monotonicMs();
    if (now - this.#summedAt >= SUM_REUSE_MS) {
      this.#cachedSum = sumOf(this.#countsOfOthers());
      this.#summedAt = now;
    }
    return this.#cachedSum;
  }

  // The counts of the followed host cover all hosts but this one and its followers, so domains are not added to them.
  #countsOfOthers(): readonly Counts[] {
    const followers = countsOf(this.#fresh(this.#followers));
    if (this.#followed !== undefined && isFresh(this.#followed)) {
      return [...followers, this.#followed.counts];
    }
    return [...followers, ...countsOf(this.#fresh(this.#domains))];
  }

  #fresh<T extends CountsReport>(reports: Map<string, T>): readonly T[] {
    for (const [name, entry] of reports) {
      if (!isFresh(entry)) {
        reports.delete(name);
      }
    }
    return [...reports.values()];
  }
}

function countsOf(reports: readonly CountsReport[]): readonly Counts[] {
  return reports.map(({ counts }) => counts);
}

// The subtracted counts may be newer than those in the sum, so a difference can be below zero for a moment.
function subtract(sums: Map<string, number>, counts: Counts): void {
  for (const [key, count] of counts) {
    sums.set(key, (sums.get(key) ?? 0) - count);
  }
}

function isFresh(report: CountsReport): boolean {
  return monotonicMs() - report.at < EXPIRY_MS;
}

function sumOf(parts: readonly Counts[]): Map<string, number> {
  const sums = new Map<string, number>();
  for (const [key, count] of parts.flat()) {
    sums.set(key, (sums.get(key) ?? 0) + count);
  }
  return sums;
}
