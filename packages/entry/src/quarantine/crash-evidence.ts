/**
 * Decides which request crashes the hosts that run it (a "query of death"), from the reports of all entry hosts.
 * It does no I/O and keeps its evidence in memory.
 *
 * A host that ends loses up to all of its slots of harmless requests, and requests that were lost together are
 * retried together. Counting ended hosts alone would therefore quarantine many harmless requests when several
 * hosts end within a minute. Five rules prevent this; the tests of this module fail without any one of them:
 *
 * - Hosts that end at the same moment count as one crash; those of one place within a second count half.
 * - A completed run clears the request of all earlier crashes.
 * - A crash has one cause: once a request is quarantined, its crashes no longer count against other requests.
 * - While two requests have equally many crashes and share them, neither is quarantined: the next run separates
 *   them.
 * - A crash counts only after all entry hosts have had time to report the runs that they lost in it.
 *
 * Remaining errors: a request is quarantined wrongly when three hosts end for other reasons during its runs with
 * no completed run in between. A request that crashes its hosts only occasionally is never quarantined.
 */
import { incarnationOf } from '../hosts/host-entry.js';
import { monotonicMs } from '../server/time.js';
import type { Crash, CrashScore } from './crash-score.js';
import { crashScoreOf, TRANSIT_MS } from './crash-score.js';
import type { RequestFingerprint } from './request-fingerprint.js';
import type { CompletionReport, CrashReport, RequestOrigin, RunReport } from './run-report.js';

/** Names a request that crashes its hosts and is to be quarantined. */
export type CrashVerdict = RequestOrigin & {
  readonly fingerprint: RequestFingerprint;
  /** Incarnations of the hosts that ended while they ran it. */
  readonly hosts: readonly string[];
};

/** Whether a report added evidence (`taken`) or not (`known`). */
export type ReportOutcome = 'known' | 'taken';

/**
 * Score at which a request is quarantined. Harmless requests may reach two, since the route lets each run twice.
 */
export const QUARANTINE_THRESHOLD = 3;
/** Score at which a request is quarantined even if another one may be the cause. */
const CERTAIN_SCORE = 5;
/** Number of crashes that two requests must share for either to be a possible cause of the other's crashes. */
const MIN_SHARED_CRASHES = 2;
/**
 * Completions of a request that are closer together than this count as one, in milliseconds, since each entry host
 * reports its own runs.
 */
const SAME_COMPLETION_MS = 100;
/**
 * Time from a crash until it is evaluated, in milliseconds. Each entry host reports the runs that it lost itself;
 * the reports arrive over up to three links, within some tens of milliseconds.
 */
const SETTLE_MS = 150;
/** Time for which crashes are kept, in milliseconds: callers that resend a request do so within minutes. */
const EVIDENCE_RETENTION_MS = 600_000;
/**
 * Maximum number of suspects; those with the most crashes are kept. A rack of 16 hosts with 24 runs each adds
 * 384 suspects; 2,048 take 1 MB.
 */
const MAX_SUSPECTS = 2_048;
/** Maximum number of crashes kept for one suspect, the newest ones; more than it takes to quarantine it. */
const MAX_CRASHES_PER_SUSPECT = 16;

/** A request that was running when hosts ended, or whose completion was reported. */
type Suspect = {
  readonly fingerprint: RequestFingerprint;
  origin: RequestOrigin;
  /** Ordered by time. */
  crashes: Crash[];
  /** Time of the last completion, in monotonic milliseconds; crashes up to then do not count. */
  clearedAt: number;
  clearedSequence: number;
  isQuarantined: boolean;
};

const NO_ORIGIN: RequestOrigin = { route: '', workspace: undefined };

/** Collects the crashes that this and other entry hosts have reported. */
export class CrashEvidence {
  readonly #suspects = new Map<RequestFingerprint, Suspect>();
  /** Suspects by the host incarnation that ended while it ran them. */
  readonly #byHost = new Map<string, Set<RequestFingerprint>>();
  /** Incarnations whose end is attributed to a quarantined request. */
  readonly #attributedHosts = new Set<string>();
  /** Suspects with evidence that has not been evaluated yet. */
  readonly #pending = new Set<RequestFingerprint>();
  readonly #now: () => number;
  #sequence = 0;

  /** `now` returns monotonic milliseconds; tests replace it. */
  constructor(now: () => number = monotonicMs) {
    this.#now = now;
  }

  /** Sequence number of the newest report; each report that adds evidence increases it. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Number of requests with crashes that are neither cleared nor quarantined. */
  get suspectCount(): number {
    return [...this.#suspects.values()].filter(one => one.crashes.length > 0 && !one.isQuarantined)
      .length;
  }

  /** True while there is no evidence about any request. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  /** True when the request has crashes, so that a completed run of it has to be reported. */
  isSuspect(fingerprint: RequestFingerprint): boolean {
    return this.crashCountOf(fingerprint) > 0;
  }

  /** Number of hosts that ended while they ran the request. */
  crashCountOf(fingerprint: RequestFingerprint): number {
    return this.#suspects.get(fingerprint)?.crashes.length ?? 0;
  }

  /** True until {@link evaluate} has evaluated the newest crash of the request. */
  isPending(fingerprint: RequestFingerprint): boolean {
    return this.#pending.has(fingerprint);
  }

  /** Adds a report of this or another entry host. */
  note(report: RunReport): ReportOutcome {
    if (report.ageMs > EVIDENCE_RETENTION_MS) {
      return 'known';
    }
    return report.kind === 'crashed' ? this.#noteCrash(report) : this.#noteCompletion(report);
  }

  /**
   * Returns the requests that are newly found to crash their hosts. The caller calls it again after
   * {@link evaluateInMs}, unless that is undefined.
   */
  evaluate(): readonly CrashVerdict[] {
    const settledAt = this.#now() - SETTLE_MS;
    const suspects = [...this.#pending].flatMap(one => this.#suspects.get(one) ?? []);
    const verdicts: CrashVerdict[] = [];
    for (;;) {
      const strongest = this.#strongestSuspect(suspects, settledAt);
      if (strongest === undefined) {
        break;
      }
      verdicts.push(this.#markCause(strongest));
    }
    suspects.forEach(suspect => {
      const lastCrashAt = suspect.crashes.at(-1)?.at ?? -Infinity;
      if (lastCrashAt <= settledAt) {
        this.#pending.delete(suspect.fingerprint);
      }
    });
    return verdicts;
  }

  /** Milliseconds until the next pending report can be evaluated; undefined when none is pending. */
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

  /** Marks a request as quarantined; its crashes no longer count against other requests. */
  noteQuarantined(fingerprint: RequestFingerprint, hosts: readonly string[]): void {
    this.#suspectOf(fingerprint).isQuarantined = true;
    hosts.forEach(host => {
      this.#attributedHosts.add(host);
    });
  }

  /**
   * Returns the reports after a sequence number, for another entry host. A number above the current one is from an
   * earlier start of this process, so all reports are returned.
   */
  since(sequence: number): readonly RunReport[] {
    if (sequence === this.#sequence) {
      return [];
    }
    const now = this.#now();
    const after = sequence > this.#sequence ? 0 : sequence;
    this.#forgetExpired(now);
    return [...this.#suspects.values()].flatMap(suspect => reportsOf(suspect, after, now));
  }

  #noteCrash(report: CrashReport): ReportOutcome {
    const { fingerprint, host: incarnation, place, ranMs, ageMs, ...origin } = report;
    const host = incarnationOf(incarnation);
    const at = this.#now() - ageMs;
    const suspect = this.#suspectOf(fingerprint);
    const sentAt = at - ranMs;
    // Several entry hosts may each have had a run at the host; the one that was sent first counts.
    const known = suspect.crashes.find(crash => crash.host === host);
    const isNew = known === undefined || sentAt < known.sentAt - TRANSIT_MS;
    if (!isNew || at <= suspect.clearedAt) {
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
    this.#forgetCrashes(suspect, crashes.slice(0, -MAX_CRASHES_PER_SUSPECT));
    suspect.crashes = crashes.slice(-MAX_CRASHES_PER_SUSPECT);
    this.#suspectsAt(host).add(fingerprint);
    if (suspect.isQuarantined) {
      this.#attributedHosts.add(host);
    } else {
      this.#pending.add(fingerprint);
    }
    this.#enforceLimit();
    return 'taken';
  }

  #noteCompletion({ fingerprint, ageMs }: CompletionReport): ReportOutcome {
    const at = this.#now() - ageMs;
    const suspect = this.#suspectOf(fingerprint);
    // Several entry hosts may report completions at the same time; one is enough.
    if (at <= suspect.clearedAt + SAME_COMPLETION_MS) {
      return 'known';
    }
    this.#sequence += 1;
    suspect.clearedAt = at;
    suspect.clearedSequence = this.#sequence;
    suspect.isQuarantined = false;
    this.#reevaluateSharing(suspect);
    this.#forgetCrashes(
      suspect,
      suspect.crashes.filter(crash => crash.at <= at),
    );
    suspect.crashes = suspect.crashes.filter(crash => crash.at > at);
    return 'taken';
  }

  #suspectOf(fingerprint: RequestFingerprint): Suspect {
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

  // Returns the suspect with the highest score among those that may be quarantined.
  #strongestSuspect(suspects: readonly Suspect[], settledAt: number): Suspect | undefined {
    let strongest: { readonly suspect: Suspect; readonly score: number } | undefined;
    for (const suspect of suspects) {
      const crashScore = this.#scoreOf(suspect, settledAt);
      const isEnough = crashScore.score >= QUARANTINE_THRESHOLD && !suspect.isQuarantined;
      const isUnambiguous =
        crashScore.score >= CERTAIN_SCORE || !this.#hasOtherCause(suspect, crashScore, settledAt);
      if (isEnough && isUnambiguous && crashScore.score > (strongest?.score ?? 0)) {
        strongest = { suspect, score: crashScore.score };
      }
    }
    return strongest?.suspect;
  }

  // Crashes after `settledAt` are left out: other entry hosts may still report other requests for them.
  #scoreOf({ crashes }: Suspect, settledAt: number): CrashScore {
    const settled = crashes.filter(({ at }) => at <= settledAt);
    return crashScoreOf(settled, this.#attributedHosts);
  }

  // True when another suspect has at least the same score and shares crashes, so that it may be their cause.
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
      return crashScore.score >= score && shared >= MIN_SHARED_CRASHES;
    });
  }

  #markCause(suspect: Suspect): CrashVerdict {
    suspect.isQuarantined = true;
    const hosts = suspect.crashes.map(({ host }) => host);
    hosts.forEach(host => {
      this.#attributedHosts.add(host);
    });
    return { fingerprint: suspect.fingerprint, hosts, ...suspect.origin };
  }

  // Requests that were not quarantined because this suspect shared their crashes may be quarantined now.
  #reevaluateSharing({ crashes }: Suspect): void {
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
        this.#attributedHosts.delete(host);
      }
    }
  }

  #forget(suspect: Suspect): void {
    this.#forgetCrashes(suspect, suspect.crashes);
    this.#suspects.delete(suspect.fingerprint);
    this.#pending.delete(suspect.fingerprint);
  }

  #forgetExpired(now: number): void {
    for (const suspect of this.#suspects.values()) {
      const lastAt = Math.max(suspect.clearedAt, suspect.crashes.at(-1)?.at ?? -Infinity);
      if (now - lastAt > EVIDENCE_RETENTION_MS && !suspect.isQuarantined) {
        this.#forget(suspect);
      }
    }
  }

  // Removes an eighth of the suspects at once, so that they are not sorted for each report.
  #enforceLimit(): void {
    if (this.#suspects.size <= MAX_SUSPECTS) {
      return;
    }
    this.#forgetExpired(this.#now());
    const weakest = [...this.#suspects.values()]
      .filter(({ isQuarantined }) => !isQuarantined)
      .sort((a, b) => a.crashes.length - b.crashes.length || lastAtOf(a) - lastAtOf(b));
    const surplus = this.#suspects.size - (MAX_SUSPECTS * 7) / 8;
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
