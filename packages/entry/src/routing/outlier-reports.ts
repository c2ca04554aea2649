/**
 * Outlier ejection across entry hosts: each reports to its peers which targets stall, cannot be reached or are slow,
 * so that all of them avoid a target that two have observed as an outlier. Keeps state, but does no input or output.
 *
 * With many entry hosts, each of them sends to a given group only every few seconds. If each had to detect a dead
 * group by itself, every one of them would lose a request to it: in simulated days of user traffic with 89 entry
 * hosts, 50 to 60 requests were lost at each dead head and over 100 at each slow group.
 */
import { monotonicMs } from '../server/time.js';

/** An entry host's observation that a target stalls, cannot be reached, or is far slower than others. */
export type OutlierReport = {
  /** Name of the replica group; each formation gives a group a new name. */
  readonly target: string;
  /** Id of the group's head. */
  readonly targetHost: string;
  /** Failure domain of the head. */
  readonly targetDomain: string;
  /** True if no connection could be made; if this holds for several targets, their failure domain may be cut off. */
  readonly isUnreachable: boolean;
  /** Name of the reporting entry host. */
  readonly reporter: string;
  /** Failure domain of the reporting entry host. */
  readonly reporterDomain: string;
  /** Age of the observation, in milliseconds. */
  readonly ageMs: number;
};

/** Number of reporters from which a target is ejected; a single one may itself have been paused or cut off. */
const MIN_REPORTERS = 2;
/**
 * Shortest time for which a target stays ejected after the last report, in milliseconds. The entry of a dead head is
 * removed after 3.6 s, so that a few requests try the head again twice before that.
 */
const MIN_EJECTION_MS = 1_500;
/** Longest ejection, in ms; the time doubles each time a target is reported again soon after its ejection ended. */
const MAX_EJECTION_MS = 6_000;
/** Time without reports after an ejection, in ms, from which the next ejection has the shortest time again. */
const RELAPSE_MS = 3_000;

/** The latest report of one entry host on a target, when it was observed (monotonic ms), and its sequence number. */
type Observation = {
  readonly report: OutlierReport;
  readonly at: number;
  readonly sequence: number;
};

/** Result of the reports on a target. */
export type OutlierVerdict = {
  /** Number of entry hosts that have lately observed the target as an outlier. */
  readonly reporters: number;
  /** True if at least two of them could not connect; otherwise the target stalls or is slow, as if overloaded. */
  readonly isUnreachable: boolean;
};

/** Effect of a report: `known`: none, as it is old; `taken`: stored; `ejected`: stored, and the target ejected. */
export type ReportOutcome = 'known' | 'taken' | 'ejected';

/** State of one target that has been reported. */
type Outlier = {
  /** The latest observation of each reporter, by its name. */
  readonly reporters: Map<string, Observation>;
  /** Time for which an observation ejects the target, in milliseconds. */
  ejectionMs: number;
  /** Time of the latest observation (monotonic milliseconds). */
  lastAt: number;
};

/** The outlier reports of all entry hosts that this one has received or made. */
export class OutlierReports {
  readonly #outliers = new Map<string, Outlier>();
  readonly #now: () => number;
  #sequence = 0;

  /** `now` returns the current time in monotonic milliseconds; tests replace it. */
  constructor(now: () => number = monotonicMs) {
    this.#now = now;
  }

  /** Sequence number of the newest report; it rises by one with each stored report. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Stores a report; one with the outcome `ejected` should be sent to the peers at once. */
  note(report: OutlierReport): ReportOutcome {
    const { target, reporter, reporterDomain, ageMs } = report;
    const now = this.#now();
    const at = now - ageMs;
    if (ageMs > MAX_EJECTION_MS) {
      return 'known';
    }
    const outlier = this.#outlierOf(target);
    const known = outlier.reporters.get(reporter);
    if (known !== undefined && known.at >= at) {
      return 'known';
    }
    const before = currentReportersIn(outlier, reporterDomain, now).length;
    if (now - outlier.lastAt >= outlier.ejectionMs) {
      updateEjectionMs(outlier, now);
    }
    this.#sequence += 1;
    outlier.reporters.set(reporter, { report, at, sequence: this.#sequence });
    outlier.lastAt = Math.max(outlier.lastAt, at);
    const after = currentReportersIn(outlier, reporterDomain, now).length;
    return before < MIN_REPORTERS && after >= MIN_REPORTERS ? 'ejected' : 'taken';
  }

  /**
   * Returns the verdict on a target for an entry host in `ownDomain`; undefined if fewer than two entry hosts agree.
   * Only reports from `ownDomain` or from the target's failure domain count: entry hosts in another failure domain may
   * be cut off from the target while this one is not. `now` in monotonic milliseconds.
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
      candidate => currentReportersIn(outlier, candidate, now).length >= MIN_REPORTERS,
    );
    if (domain === undefined) {
      return undefined;
    }
    const reporters = currentReportersIn(outlier, domain, now);
    const unconnected = reporters.filter(({ report }) => report.isUnreachable).length;
    return { reporters: reporters.length, isUnreachable: unconnected >= MIN_REPORTERS };
  }

  /**
   * Returns the reports after a sequence number, for peers that poll this entry host; only as many for each target as
   * an ejection needs. A number above the current one comes from an earlier incarnation of this process: then all
   * current reports count as new.
   */
  since(sequence: number): readonly OutlierReport[] {
    const now = this.#now();
    const after = sequence > this.#sequence ? 0 : sequence;
    const reports: OutlierReport[] = [];
    for (const [target, outlier] of this.#outliers) {
      if (dropExpiredReporters(outlier, now)) {
        this.#outliers.delete(target);
        continue;
      }
      reports.push(...newestReportsByDomain(outlier, after, now));
    }
    return reports;
  }

  #outlierOf(target: string): Outlier {
    let outlier = this.#outliers.get(target);
    if (outlier === undefined) {
      outlier = { reporters: new Map(), ejectionMs: MIN_EJECTION_MS, lastAt: -Infinity };
      this.#outliers.set(target, outlier);
    }
    return outlier;
  }
}

// Sets the next ejection time of a target that is reported again after its ejection: doubled if that ended recently.
function updateEjectionMs(outlier: Outlier, now: number): void {
  const isRelapse = now - (outlier.lastAt + outlier.ejectionMs) < RELAPSE_MS;
  outlier.ejectionMs = isRelapse
    ? Math.min(2 * outlier.ejectionMs, MAX_EJECTION_MS)
    : MIN_EJECTION_MS;
}

function currentReportersIn(outlier: Outlier, domain: string, now: number): readonly Observation[] {
  return [...outlier.reporters.values()].filter(
    ({ report, at }) => report.reporterDomain === domain && now - at < outlier.ejectionMs,
  );
}

// Drops old observations; returns true if none is left.
function dropExpiredReporters({ reporters }: Outlier, now: number): boolean {
  for (const [name, reporter] of reporters) {
    if (now - reporter.at > MAX_EJECTION_MS + RELAPSE_MS) {
      reporters.delete(name);
    }
  }
  return reporters.size === 0;
}

// Returns the newest reports of each reporter domain that were stored after the sequence number `after`.
function newestReportsByDomain(
  outlier: Outlier,
  after: number,
  now: number,
): readonly OutlierReport[] {
  const newest = [...outlier.reporters.values()]
    .filter(reporter => now - reporter.at < outlier.ejectionMs)
    .sort((a, b) => b.at - a.at);
  const countByDomain = new Map<string, number>();
  return newest.flatMap(({ report, at, sequence }) => {
    const count = countByDomain.get(report.reporterDomain) ?? 0;
    countByDomain.set(report.reporterDomain, count + 1);
    const isIncluded = count < MIN_REPORTERS && sequence > after;
    return isIncluded ? [{ ...report, ageMs: now - at }] : [];
  });
}
