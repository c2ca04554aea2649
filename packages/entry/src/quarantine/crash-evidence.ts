/**
 * Decides which request crashes the hosts that run it (a "query of death"), from what all entry hosts have seen.
 * Pure but for what it remembers.
 *
 * A host that ends takes up to all of its slots of harmless requests with it, and what was lost together is
 * sent again together. So a count of lost hosts alone would quarantine many a harmless request in a bad minute.
 * Five rules separate them; without any of them the tests of this module fail:
 *
 * - Hosts that end at the same moment were lost together and count once, those of one place within a second less.
 * - A run that its host completed clears a request of all crashes before it.
 * - A crash has one cause: once a request is quarantined, its crashes count for no other one any more.
 * - While another request has met as many crashes, and the same ones, neither is quarantined: the next run
 *   separates them.
 * - A crash counts only once all entry hosts have had time to report what they had lost by it.
 *
 * Errors that remain: a request is quarantined wrongly when three hosts end for other reasons under its runs and
 * no run ends well in between; a request that crashes its hosts only now and then is never quarantined.
 */
import { incarnationOf } from '../hosts/host-entry.js';
import { monotonicMs } from '../server/time.js';
import type { Crash, CrashScore } from './crash-score.js';
import { crashScoreOf, TRANSIT_MS } from './crash-score.js';
import type { RequestFingerprint } from './request-fingerprint.js';
import type { CompletionReport, CrashReport, RequestOrigin, RunReport } from './run-report.js';

/** A request that was found to crash its hosts. */
export type CrashVerdict = RequestOrigin & {
  readonly fingerprint: RequestFingerprint;
  /** Incarnations of the hosts that have ended under it. */
  readonly hosts: readonly string[];
};

/** Whether a report has told anything new. */
export type ReportOutcome = 'known' | 'taken';

/** Crashes from which a request is quarantined. Two happen to harmless requests: the route lets them run twice. */
export const LEAST_CRASHES = 3;
/** Crashes from which it is quarantined even if another one may be their cause. */
const CERTAIN_CRASHES = 5;
/** Crashes that two requests have in common from which either may be the cause of all of them. */
const SHARED_CRASHES = 2;
/** Completions closer together than this are told once, in milliseconds: each entry host reports its own runs. */
const SAME_COMPLETION_MS = 100;
/**
 * Time after a crash before it is evaluated, in milliseconds. Each entry host reports its own runs at the host;
 * they arrive over up to three links, within some tens of milliseconds.
 */
const SETTLE_MS = 150;
/** Time for which crashes are remembered, in milliseconds: callers come back within minutes, if at all. */
const EVIDENCE_MS = 600_000;
/**
 * Suspects that are remembered, those with most crashes first. 24 runs at each of 16 hosts of a rack are 384;
 * 2,048 take 1 MB.
 */
const MOST_SUSPECTS = 2_048;
/** Crashes that are remembered of one suspect, the newest ones; more than it takes to quarantine it. */
const MOST_CRASHES = 16;

type Suspect = {
  readonly fingerprint: RequestFingerprint;
  origin: RequestOrigin;
  /** In the order of their times. */
  crashes: Crash[];
  /** Crashes up to then do not count (monotonic milliseconds). */
  clearedAt: number;
  clearedSequence: number;
  isQuarantined: boolean;
};

const NO_ORIGIN: RequestOrigin = { route: '', workspace: undefined };

/** The crashes that entry hosts have told of, as far as they are known here. */
export class CrashEvidence {
  readonly #suspects = new Map<RequestFingerprint, Suspect>();
  /** Suspects by the incarnation that ended under them. */
  readonly #byHost = new Map<string, Set<RequestFingerprint>>();
  /** Incarnations whose end is put down to a quarantined request. */
  readonly #explained = new Set<string>();
  /** Suspects that were told of since they were evaluated. */
  readonly #pending = new Set<RequestFingerprint>();
  readonly #now: () => number;
  #sequence = 0;

  /** `now` in monotonic milliseconds; for tests. */
  constructor(now: () => number = monotonicMs) {
    this.#now = now;
  }

  /** Number of the newest report; rises with each that tells something new. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Requests under which hosts have ended and that are neither cleared nor quarantined. */
  get suspects(): number {
    return [...this.#suspects.values()].filter(one => one.crashes.length > 0 && !one.isQuarantined)
      .length;
  }

  /** True while nothing is remembered of any request. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  /** True when hosts have ended under the request, so that a completed run is news. */
  isSuspect(fingerprint: RequestFingerprint): boolean {
    return this.crashesOf(fingerprint) > 0;
  }

  /** Hosts that have ended under the request. */
  crashesOf(fingerprint: RequestFingerprint): number {
    return this.#suspects.get(fingerprint)?.crashes.length ?? 0;
  }

  /** True until {@link evaluate} has looked at the newest crash of the request. */
  isPending(fingerprint: RequestFingerprint): boolean {
    return this.#pending.has(fingerprint);
  }

  /** Takes a report of this or another entry host. */
  note(report: RunReport): ReportOutcome {
    if (report.ageMs > EVIDENCE_MS) {
      return 'known';
    }
    return report.kind === 'crashed' ? this.#noteCrash(report) : this.#noteCompletion(report);
  }

  /**
   * The requests that are quarantined now and were not before. To be called again {@link evaluateInMs} later,
   * where that is given.
   */
  evaluate(): readonly CrashVerdict[] {
    const settledAt = this.#now() - SETTLE_MS;
    const suspects = [...this.#pending].flatMap(one => this.#suspects.get(one) ?? []);
    const verdicts: CrashVerdict[] = [];
    for (;;) {
      const worst = this.#worstOf(suspects, settledAt);
      if (worst === undefined) {
        break;
      }
      verdicts.push(this.#quarantine(worst));
    }
    suspects.forEach(suspect => {
      const lastCrashAt = suspect.crashes.at(-1)?.at ?? -Infinity;
      if (lastCrashAt <= settledAt) {
        this.#pending.delete(suspect.fingerprint);
      }
    });
    return verdicts;
  }

  /** Milliseconds until reports that were taken can be evaluated; undefined when all are. */
  evaluateInMs(): number | undefined {
    if (this.#pending.size === 0) {
      return undefined;
    }
    const now = this.#now();
    const dueAt = [...this.#pending].map(fingerprint => {
      const crashes = this.#suspects.get(fingerprint)?.crashes ?? [];
      const next = crashes.find(({ at }) => at > now - SETTLE_MS);
      return (next?.at ?? -Infinity) + SETTLE_MS;
    });
    return Math.max(0, Math.min(...dueAt) - now);
  }

  /** Another entry host has quarantined a request: its crashes count for no other one. */
  quarantine(fingerprint: RequestFingerprint, hosts: readonly string[]): void {
    this.#of(fingerprint).isQuarantined = true;
    hosts.forEach(host => {
      this.#explained.add(host);
    });
  }

  /**
   * Reports after a sequence number that another entry host should know. A number that is not reached yet is
   * of an earlier start of this process.
   */
  since(sequence: number): readonly RunReport[] {
    if (sequence === this.#sequence) {
      return [];
    }
    const now = this.#now();
    const after = sequence > this.#sequence ? 0 : sequence;
    this.#forgetOld(now);
    return [...this.#suspects.values()].flatMap(suspect => reportsOf(suspect, after, now));
  }

  #noteCrash(report: CrashReport): ReportOutcome {
    const { fingerprint, host: incarnation, place, ranMs, ageMs, ...origin } = report;
    const host = incarnationOf(incarnation);
    const at = this.#now() - ageMs;
    const suspect = this.#of(fingerprint);
    const sentAt = at - ranMs;
    // Entry hosts may each have had a run there: of several the one that was sent first counts.
    const known = suspect.crashes.find(crash => crash.host === host);
    const isNews = known === undefined || sentAt < known.sentAt - TRANSIT_MS;
    if (!isNews || at <= suspect.clearedAt) {
      return 'known';
    }
    this.#sequence += 1;
    suspect.origin = { route: origin.route, workspace: origin.workspace };
    const crash: Crash = {
      host,
      incarnation,
      place,
      sentAt,
      at: known?.at ?? at,
      sequence: this.#sequence,
    };
    const others = suspect.crashes.filter(other => other !== known);
    const crashes = [...others, crash].sort((a, b) => a.at - b.at);
    this.#forgetCrashes(suspect, crashes.slice(0, -MOST_CRASHES));
    suspect.crashes = crashes.slice(-MOST_CRASHES);
    this.#suspectsAt(host).add(fingerprint);
    if (suspect.isQuarantined) {
      this.#explained.add(host);
    } else {
      this.#pending.add(fingerprint);
    }
    this.#keepBound();
    return 'taken';
  }

  #noteCompletion({ fingerprint, ageMs }: CompletionReport): ReportOutcome {
    const at = this.#now() - ageMs;
    const suspect = this.#of(fingerprint);
    // Several entry hosts may report it at once; one is enough.
    if (at <= suspect.clearedAt + SAME_COMPLETION_MS) {
      return 'known';
    }
    this.#sequence += 1;
    suspect.clearedAt = at;
    suspect.clearedSequence = this.#sequence;
    suspect.isQuarantined = false;
    this.#evaluateAnew(suspect);
    this.#forgetCrashes(
      suspect,
      suspect.crashes.filter(crash => crash.at <= at),
    );
    suspect.crashes = suspect.crashes.filter(crash => crash.at > at);
    return 'taken';
  }

  #of(fingerprint: RequestFingerprint): Suspect {
    let suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) {
      suspect = {
        fingerprint,
        origin: NO_ORIGIN,
        crashes: [],
        clearedAt: -Infinity,
        clearedSequence: 0,
        isQuarantined: false,
      };
      this.#suspects.set(fingerprint, suspect);
    }
    return suspect;
  }

  #suspectsAt(host: string): Set<RequestFingerprint> {
    let fingerprints = this.#byHost.get(host);
    if (fingerprints === undefined) {
      fingerprints = new Set();
      this.#byHost.set(host, fingerprints);
    }
    return fingerprints;
  }

  // Of those that may be quarantined, the one that explains most crashes.
  #worstOf(suspects: readonly Suspect[], settledAt: number): Suspect | undefined {
    let worst: { readonly suspect: Suspect; readonly score: number } | undefined;
    for (const suspect of suspects) {
      const crashScore = this.#scoreOf(suspect, settledAt);
      const isEnough = crashScore.score >= LEAST_CRASHES && !suspect.isQuarantined;
      const isClear =
        crashScore.score >= CERTAIN_CRASHES || !this.#hasOtherCause(suspect, crashScore, settledAt);
      if (isEnough && isClear && crashScore.score > (worst?.score ?? 0)) {
        worst = { suspect, score: crashScore.score };
      }
    }
    return worst?.suspect;
  }

  // Later crashes wait for the reports of other entry hosts, which may name another request.
  #scoreOf({ crashes }: Suspect, settledAt: number): CrashScore {
    const settled = crashes.filter(({ at }) => at <= settledAt);
    return crashScoreOf(settled, this.#explained);
  }

  // True when another suspect has met as many crashes, and some of them the same: it may be their cause.
  #hasOtherCause(
    { fingerprint }: Suspect,
    { score, hosts }: CrashScore,
    settledAt: number,
  ): boolean {
    const others = new Set(hosts.flatMap(host => [...this.#suspectsAt(host)]));
    others.delete(fingerprint);
    return [...others].some(other => {
      const suspect = this.#suspects.get(other);
      if (suspect === undefined || suspect.isQuarantined) {
        return false;
      }
      const crashScore = this.#scoreOf(suspect, settledAt);
      const shared = crashScore.hosts.filter(host => hosts.includes(host)).length;
      return crashScore.score >= score && shared >= SHARED_CRASHES;
    });
  }

  #quarantine(suspect: Suspect): CrashVerdict {
    suspect.isQuarantined = true;
    const hosts = suspect.crashes.map(({ host }) => host);
    hosts.forEach(host => {
      this.#explained.add(host);
    });
    return { fingerprint: suspect.fingerprint, hosts, ...suspect.origin };
  }

  // Whoever was not quarantined because this suspect had met the same crashes may be now.
  #evaluateAnew({ crashes }: Suspect): void {
    for (const { host } of crashes) {
      this.#suspectsAt(host).forEach(fingerprint => {
        this.#pending.add(fingerprint);
      });
    }
  }

  #forgetCrashes(suspect: Suspect, crashes: readonly Crash[]): void {
    for (const { host } of crashes) {
      const fingerprints = this.#suspectsAt(host);
      fingerprints.delete(suspect.fingerprint);
      if (fingerprints.size === 0) {
        this.#byHost.delete(host);
        this.#explained.delete(host);
      }
    }
  }

  #forget(suspect: Suspect): void {
    this.#forgetCrashes(suspect, suspect.crashes);
    this.#suspects.delete(suspect.fingerprint);
    this.#pending.delete(suspect.fingerprint);
  }

  #forgetOld(now: number): void {
    for (const suspect of this.#suspects.values()) {
      const lastAt = Math.max(suspect.clearedAt, suspect.crashes.at(-1)?.at ?? -Infinity);
      if (now - lastAt > EVIDENCE_MS && !suspect.isQuarantined) {
        this.#forget(suspect);
      }
    }
  }

  // Makes room for an eighth at once, so that it is not sorted for each report.
  #keepBound(): void {
    if (this.#suspects.size <= MOST_SUSPECTS) {
      return;
    }
    this.#forgetOld(this.#now());
    const weakest = [...this.#suspects.values()]
      .filter(({ isQuarantined }) => !isQuarantined)
      .sort((a, b) => a.crashes.length - b.crashes.length || lastAtOf(a) - lastAtOf(b));
    const surplus = this.#suspects.size - (MOST_SUSPECTS * 7) / 8;
    weakest.slice(0, Math.max(0, surplus)).forEach(suspect => {
      this.#forget(suspect);
    });
  }
}

function lastAtOf({ crashes, clearedAt }: Suspect): number {
  return crashes.at(-1)?.at ?? clearedAt;
}

function reportsOf(suspect: Suspect, after: number, now: number): readonly RunReport[] {
  const { fingerprint, origin, crashes, clearedAt, clearedSequence } = suspect;
  const reports: RunReport[] = [];
  if (clearedSequence > after) {
    reports.push({ kind: 'completed', fingerprint, ageMs: now - clearedAt });
  }
  for (const { incarnation: host, place, sentAt, at, sequence } of crashes) {
    if (sequence > after) {
      const times = { ranMs: at - sentAt, ageMs: now - at };
      reports.push({ kind: 'crashed', fingerprint, host, place, ...times, ...origin });
    }
  }
  return reports;
}
