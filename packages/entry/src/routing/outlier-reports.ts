/**
 * What entry hosts tell each other of groups that stall or lag behind, so that one group is left by
 * all of them once two have met it. Pure but for what it remembers.
 *
 * With many entry hosts each meets a group only every few seconds. When each has to find out by
 * itself that a group is dead, every one of them loses a request to it: at 89 entry hosts, 50 to 60
 * requests on each dead head and over 100 on each slow group (played days of the users).
 */
import { monotonicMs } from '../server/time.js';

/** One entry host has met a target that stalls, can not be reached, or is far slower than others. */
export type OutlierReport = {
  /** Name of the group; a group that is formed anew has another one. */
  readonly target: string;
  /** Id of its head. */
  readonly targetHost: string;
  readonly targetDomain: string;
  /** No connection could be made: where several are, their whole failure domain may be cut off. */
  readonly isUnreachable: boolean;
  /** Name of the entry host. */
  readonly reporter: string;
  readonly reporterDomain: string;
  /** Age of the observation, in milliseconds. */
  readonly ageMs: number;
};

/** Reporters that are believed; a single one may itself have been paused or cut off. */
const LEAST_REPORTERS = 2;
/**
 * Time for which a target is left alone after the last report, in milliseconds. Dead heads are listed
 * for 3.6 s, so that each is tried again twice, by a few requests, before its entry goes.
 */
const EJECTION_MS = 1_500;
/** Longest time, reached by doubling while a target is reported again soon after it was tried. */
const MOST_EJECTION_MS = 6_000;
/** A target that was well for this long starts from the shortest time again, in milliseconds. */
const RELAPSE_MS = 3_000;

type Reporter = { readonly report: OutlierReport; readonly at: number; readonly sequence: number };

/** What the reports of a target come to. */
export type OutlierVerdict = {
  /** Entry hosts that have met it lately. */
  readonly reporters: number;
  /** They could not connect; else it stalls or is slow, as groups are that have too much to do. */
  readonly isUnreachable: boolean;
};

/** What a report has changed: nothing, or what is known, or also whether its target is left alone. */
export type ReportOutcome = 'known' | 'taken' | 'ejected';

type Outlier = {
  readonly reporters: Map<string, Reporter>;
  ejectionMs: number;
  /** When it was last met (monotonic milliseconds). */
  lastAt: number;
};

/** The reports of all entry hosts, as far as they are known here. */
export class OutlierReports {
  readonly #outliers = new Map<string, Outlier>();
  readonly #now: () => number;
  #sequence = 0;

  /** `now` in monotonic milliseconds; for tests. */
  constructor(now: () => number = monotonicMs) {
    this.#now = now;
  }

  /** Number of the newest report; rises with each that is taken. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Takes a report; those with the outcome `ejected` are news that others should hear at once. */
  note(report: OutlierReport): ReportOutcome {
    const { target, reporter, reporterDomain, ageMs } = report;
    const now = this.#now();
    const at = now - ageMs;
    if (ageMs > MOST_EJECTION_MS) {
      return 'known';
    }
    const outlier = this.#of(target);
    const known = outlier.reporters.get(reporter);
    if (known !== undefined && known.at >= at) {
      return 'known';
    }
    const before = freshIn(outlier, reporterDomain, now).length;
    if (now - outlier.lastAt >= outlier.ejectionMs) {
      lengthen(outlier, now);
    }
    this.#sequence += 1;
    outlier.reporters.set(reporter, { report, at, sequence: this.#sequence });
    outlier.lastAt = Math.max(outlier.lastAt, at);
    const after = freshIn(outlier, reporterDomain, now).length;
    return before < LEAST_REPORTERS && after >= LEAST_REPORTERS ? 'ejected' : 'taken';
  }

  /**
   * What is reported of a target to an entry host in `ownDomain`; undefined while nothing is that two
   * hosts agree on. Only reports from there or from the target's own failure domain count: who is cut
   * off from a domain says nothing about it to others.
   */
  verdict(
    target: string,
    targetDomain: string,
    ownDomain: string,
    now: number,
  ): OutlierVerdict | undefined {
    const outlier = this.#outliers.get(target);
    if (outlier === undefined) {
      return undefined;
    }
    const domain = [ownDomain, targetDomain].find(
      candidate => freshIn(outlier, candidate, now).length >= LEAST_REPORTERS,
    );
    if (domain === undefined) {
      return undefined;
    }
    const reporters = freshIn(outlier, domain, now);
    const unconnected = reporters.filter(({ report }) => report.isUnreachable).length;
    return { reporters: reporters.length, isUnreachable: unconnected >= LEAST_REPORTERS };
  }

  /**
   * Reports after a sequence number that hosts which follow this one should know, as few for each
   * target as are needed. A number that is not reached yet is of an earlier start of this process.
   */
  since(sequence: number): readonly OutlierReport[] {
    const now = this.#now();
    const after = sequence > this.#sequence ? 0 : sequence;
    const reports: OutlierReport[] = [];
    for (const [target, outlier] of this.#outliers) {
      if (forgetOld(outlier, now)) {
        this.#outliers.delete(target);
        continue;
      }
      reports.push(...newestByDomain(outlier, after, now));
    }
    return reports;
  }

  #of(target: string): Outlier {
    let outlier = this.#outliers.get(target);
    if (outlier === undefined) {
      outlier = { reporters: new Map(), ejectionMs: EJECTION_MS, lastAt: -Infinity };
      this.#outliers.set(target, outlier);
    }
    return outlier;
  }
}

// It is met again after it was left alone; twice as long, if that was only a moment ago.
function lengthen(outlier: Outlier, now: number): void {
  const again = now - (outlier.lastAt + outlier.ejectionMs) < RELAPSE_MS;
  outlier.ejectionMs = again ? Math.min(2 * outlier.ejectionMs, MOST_EJECTION_MS) : EJECTION_MS;
}

function freshIn(outlier: Outlier, domain: string, now: number): readonly Reporter[] {
  return [...outlier.reporters.values()].filter(
    ({ report, at }) => report.reporterDomain === domain && now - at < outlier.ejectionMs,
  );
}

// True when nothing is left of the outlier that matters.
function forgetOld({ reporters }: Outlier, now: number): boolean {
  for (const [name, reporter] of reporters) {
    if (now - reporter.at > MOST_EJECTION_MS + RELAPSE_MS) {
      reporters.delete(name);
    }
  }
  return reporters.size === 0;
}

function newestByDomain(outlier: Outlier, after: number, now: number): readonly OutlierReport[] {
  const newest = [...outlier.reporters.values()]
    .filter(reporter => now - reporter.at < outlier.ejectionMs)
    .sort((a, b) => b.at - a.at);
  const taken = new Map<string, number>();
  return newest.flatMap(({ report, at, sequence }) => {
    const count = taken.get(report.reporterDomain) ?? 0;
    taken.set(report.reporterDomain, count + 1);
    const isWanted = count < LEAST_REPORTERS && sequence > after;
    return isWanted ? [{ ...report, ageMs: now - at }] : [];
  });
}
