/**
 * Decides which request crashes the hosts that run it (a "query of death"), from what all entry hosts have seen.
 * Pure but for what it remembers.
 *
 * A host that ends takes up to all of its slots of innocent requests with it, and what was lost together is
 * sent again together. So a count of lost hosts alone would condemn many an innocent request in a bad minute.
 * Four rules separate them; without any of them the tests of this module fail:
 *
 * - Hosts that end at the same moment were lost together and count once, those of one place within a second less.
 * - A run that its host survived clears a request of all crashes before it.
 * - A crash has one cause: once a request is condemned, its crashes count for no other one any more.
 * - While another request has met as many crashes, and the same ones, neither is condemned: the next run
 *   separates them.
 *
 * Errors that remain: a request is condemned wrongly when three hosts end for other reasons under its runs and
 * no run ends well in between; a request that crashes its hosts only now and then is never condemned.
 */
import { incarnationOf } from '../hosts/host-entry.js';
import { monotonicMs } from '../server/time.js';
import type { Charge, Crash } from './crash-charge.js';
import { chargeOf, TRANSIT_MS } from './crash-charge.js';
import type { RequestFingerprint } from './request-fingerprint.js';
import type { CrashReport, RequestOrigin, RunReport, SurvivalReport } from './run-report.js';

/** A request that was found to crash its hosts. */
export type CrashVerdict = RequestOrigin & {
  readonly fingerprint: RequestFingerprint;
  /** Incarnations of the hosts that have ended under it. */
  readonly hosts: readonly string[];
};

/** Whether a report has told anything new. */
export type ReportOutcome = 'known' | 'taken';

/** Crashes from which a request is condemned. Two happen to innocent requests: the route lets them run twice. */
export const LEAST_CRASHES = 3;
/** Crashes from which it is condemned even if another one may be their cause. */
const CERTAIN_CRASHES = 5;
/** Crashes that two requests have in common from which either may be the cause of all of them. */
const RIVAL_CRASHES = 2;
/** Survivals closer together than this are told once, in milliseconds: each entry host reports its own runs. */
const SAME_SURVIVAL_MS = 100;
/**
 * Time after a crash before it is judged, in milliseconds. Each entry host reports its own runs at the host;
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
/** Crashes that are remembered of one suspect, the newest ones; more than it takes to condemn it. */
const MOST_CRASHES = 16;

type Suspect = {
  readonly fingerprint: RequestFingerprint;
  origin: RequestOrigin;
  /** In the order of their times. */
  crashes: Crash[];
  /** Crashes up to then do not count (monotonic milliseconds). */
  clearedAt: number;
  clearedSequence: number;
  isCondemned: boolean;
};

const NO_ORIGIN: RequestOrigin = { route: '', workspace: undefined };

/** The crashes that entry hosts have told of, as far as they are known here. */
export class CrashEvidence {
  readonly #suspects = new Map<RequestFingerprint, Suspect>();
  /** Suspects by the incarnation that ended under them. */
  readonly #byHost = new Map<string, Set<RequestFingerprint>>();
  /** Incarnations whose end is put down to a condemned request. */
  readonly #explained = new Set<string>();
  /** Suspects that were told of since they were judged. */
  readonly #unjudged = new Set<RequestFingerprint>();
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

  /** Requests under which hosts have ended and that are neither cleared nor condemned. */
  get suspects(): number {
    return [...this.#suspects.values()].filter(one => one.crashes.length > 0 && !one.isCondemned)
      .length;
  }

  /** True while nothing is remembered of any request. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  /** True when hosts have ended under the request, so that a run that its host survives is news. */
  isSuspect(fingerprint: RequestFingerprint): boolean {
    return this.crashesOf(fingerprint) > 0;
  }

  /** Hosts that have ended under the request. */
  crashesOf(fingerprint: RequestFingerprint): number {
    return this.#suspects.get(fingerprint)?.crashes.length ?? 0;
  }

  /** True until {@link judge} has looked at the newest crash of the request. */
  isUnjudged(fingerprint: RequestFingerprint): boolean {
    return this.#unjudged.has(fingerprint);
  }

  /** Takes a report of this or another entry host. */
  note(report: RunReport): ReportOutcome {
    if (report.ageMs > EVIDENCE_MS) {
      return 'known';
    }
    return report.kind === 'crashed' ? this.#noteCrash(report) : this.#noteSurvival(report);
  }

  /**
   * The requests that are condemned now and were not before. To be called again {@link judgedInMs} later,
   * where that is given.
   */
  judge(): readonly CrashVerdict[] {
    const settledAt = this.#now() - SETTLE_MS;
    const settled = [...this.#unjudged].flatMap(fingerprint => {
      const suspect = this.#suspects.get(fingerprint);
      const last = suspect?.crashes.at(-1);
      return suspect !== undefined && (last?.at ?? -Infinity) <= settledAt ? [suspect] : [];
    });
    settled.forEach(({ fingerprint }) => {
      this.#unjudged.delete(fingerprint);
    });
    const verdicts: CrashVerdict[] = [];
    for (;;) {
      const worst = this.#worstOf(settled);
      if (worst === undefined) {
        return verdicts;
      }
      verdicts.push(this.#condemnSuspect(worst));
    }
  }

  /** Milliseconds until reports that were taken can be judged; undefined when all are. */
  judgedInMs(): number | undefined {
    if (this.#unjudged.size === 0) {
      return undefined;
    }
    const now = this.#now();
    const dueAt = [...this.#unjudged].map(fingerprint => {
      const last = this.#suspects.get(fingerprint)?.crashes.at(-1);
      return (last?.at ?? -Infinity) + SETTLE_MS;
    });
    return Math.max(0, Math.min(...dueAt) - now);
  }

  /** Another entry host has condemned a request: its crashes count for no other one. */
  condemn(fingerprint: RequestFingerprint, hosts: readonly string[]): void {
    this.#of(fingerprint).isCondemned = true;
    hosts.forEach(host => {
      this.#explained.add(host);
    });
  }

  /** The request is not in quarantine any more, for another reason than that it was cleared. */
  release(fingerprint: RequestFingerprint): void {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect !== undefined) {
      this.#forget(suspect);
    }
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
    if (suspect.isCondemned) {
      this.#explained.add(host);
    } else {
      this.#unjudged.add(fingerprint);
    }
    this.#keepBound();
    return 'taken';
  }

  #noteSurvival({ fingerprint, ageMs }: SurvivalReport): ReportOutcome {
    const at = this.#now() - ageMs;
    const suspect = this.#of(fingerprint);
    // Several entry hosts may report it at once; one is enough.
    if (at <= suspect.clearedAt + SAME_SURVIVAL_MS) {
      return 'known';
    }
    this.#sequence += 1;
    suspect.clearedAt = at;
    suspect.clearedSequence = this.#sequence;
    suspect.isCondemned = false;
    this.#judgeAnew(suspect);
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
        isCondemned: false,
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

  // Of those that may be condemned, the one that explains most crashes.
  #worstOf(suspects: readonly Suspect[]): Suspect | undefined {
    let worst: { readonly suspect: Suspect; readonly score: number } | undefined;
    for (const suspect of suspects) {
      const charge = chargeOf(suspect.crashes, this.#explained);
      const isEnough = charge.score >= LEAST_CRASHES && !suspect.isCondemned;
      const isClear = charge.score >= CERTAIN_CRASHES || !this.#hasRival(suspect, charge);
      if (isEnough && isClear && charge.score > (worst?.score ?? 0)) {
        worst = { suspect, score: charge.score };
      }
    }
    return worst?.suspect;
  }

  // True when another suspect has met as many crashes, and some of them the same: it may be their cause.
  #hasRival({ fingerprint }: Suspect, { score, hosts }: Charge): boolean {
    const others = new Set(hosts.flatMap(host => [...this.#suspectsAt(host)]));
    others.delete(fingerprint);
    return [...others].some(other => {
      const suspect = this.#suspects.get(other);
      if (suspect === undefined || suspect.isCondemned) {
        return false;
      }
      const charge = chargeOf(suspect.crashes, this.#explained);
      const shared = charge.hosts.filter(host => hosts.includes(host)).length;
      return charge.score >= score && shared >= RIVAL_CRASHES;
    });
  }

  #condemnSuspect(suspect: Suspect): CrashVerdict {
    suspect.isCondemned = true;
    const hosts = suspect.crashes.map(({ host }) => host);
    hosts.forEach(host => {
      this.#explained.add(host);
    });
    return { fingerprint: suspect.fingerprint, hosts, ...suspect.origin };
  }

  // Whoever was not condemned because this suspect had met the same crashes may be now.
  #judgeAnew({ crashes }: Suspect): void {
    for (const { host } of crashes) {
      this.#suspectsAt(host).forEach(fingerprint => {
        this.#unjudged.add(fingerprint);
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
    this.#unjudged.delete(suspect.fingerprint);
  }

  #forgetOld(now: number): void {
    for (const suspect of this.#suspects.values()) {
      const lastAt = Math.max(suspect.clearedAt, suspect.crashes.at(-1)?.at ?? -Infinity);
      if (now - lastAt > EVIDENCE_MS && !suspect.isCondemned) {
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
      .filter(({ isCondemned }) => !isCondemned)
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
    reports.push({ kind: 'survived', fingerprint, ageMs: now - clearedAt });
  }
  for (const { incarnation: host, place, sentAt, at, sequence } of crashes) {
    if (sequence > after) {
      const times = { ranMs: at - sentAt, ageMs: now - at };
      reports.push({ kind: 'crashed', fingerprint, host, place, ...times, ...origin });
    }
  }
  return reports;
}
