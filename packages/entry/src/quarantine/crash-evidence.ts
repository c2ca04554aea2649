/**
 * Decides what crashes the hosts that run it (a "query of death"), from the reports of all entry hosts: one request,
 * or a part that prompts of different requests share. It does no I/O and keeps its evidence in memory.
 *
 * A host that ends loses up to all of its slots of harmless requests, and requests that were lost together are
 * retried together. Counting ended hosts alone would therefore quarantine many harmless requests when several
 * hosts end within a minute. These rules prevent this; the tests of this module fail without any one of them:
 *
 * - Hosts that end at the same moment count as one crash; those of one place within a second count half.
 * - A completed run clears the request of all earlier crashes, and the parts of its prompt.
 * - A crash has one cause: once one is quarantined, its crashes no longer count against others.
 * - While two suspects have equally many crashes and share them, neither is quarantined: the next run separates
 *   them.
 * - A crash counts only after all entry hosts have had time to report the runs that they lost in it.
 *
 * A request is a narrower cause than a part of its prompt, and a later part is narrower than an earlier one, since at
 * most as many requests share it. The narrowest cause that explains the crashes is quarantined:
 *
 * - Crashes that a narrower cause explains count half for a wider one, and not without others. So the wider one follows
 *   after two more crashes, in case it is the cause after all.
 * - A crash counts a quarter for a part if the host had begun to answer all requests that contain it.
 * - A part needs more crashes if requests that contain it have been completed.
 *
 * Remaining errors: a suspect is quarantined wrongly when three hosts end for other reasons during its runs with
 * no completed run in between. One that crashes its hosts only occasionally is never quarantined.
 */
import { incarnationOf } from '../hosts/host-entry.js';
import { monotonicMs } from '../server/time.js';
import { TRANSIT_MS } from './crash-score.js';
import { CauseFinder } from './find-cause.js';
import type { CauseFingerprint, CauseKind } from './request-fingerprint.js';
import type { CompletionReport, CrashReport, RequestOrigin, RunReport } from './run-report.js';
import type { Suspect, SuspectCrash } from './suspect.js';
import { mergeCrashes, workspacesOf } from './suspect.js';
import { lastAtOf, Suspects } from './suspects.js';

/** Names a cause of crashes that is to be quarantined. */
export type CrashVerdict = RequestOrigin & {
  readonly fingerprint: CauseFingerprint;
  readonly cause: CauseKind;
  /** True if it is to be quarantined for all workspaces, not only for that of its origin. */
  readonly anyWorkspace: boolean;
  /** Incarnations of the hosts that ended while they ran it. */
  readonly hosts: readonly string[];
};

/** Whether a report added evidence (`taken`) or not (`known`). */
export type ReportOutcome = 'known' | 'taken';

/**
 * Completions of a suspect that are closer together than this count as one, in milliseconds, since each entry host
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
/** Maximum number of crashes kept for one suspect, the newest ones; more than it takes to quarantine it. */
const MAX_CRASHES_PER_SUSPECT = 16;

/** Collects the crashes that this and other entry hosts have reported. */
export class CrashEvidence {
  readonly #suspects = new Suspects(host => {
    this.#causes.forgetHost(host);
  });
  readonly #causes = new CauseFinder(this.#suspects);
  /** Suspects with evidence that has not been evaluated yet. */
  readonly #pending = new Set<CauseFingerprint>();
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

  /** Number of requests and parts with crashes that are neither cleared nor quarantined. */
  get suspectCount(): number {
    return this.#suspects.all.filter(
      ({ crashes, quarantine }) => crashes.length > 0 && quarantine === undefined,
    ).length;
  }

  /** True while there is no evidence about anything. */
  get isEmpty(): boolean {
    return this.#suspects.isEmpty;
  }

  /** True when the suspect has crashes, so that a completed run of it has to be reported. */
  isSuspect(fingerprint: CauseFingerprint): boolean {
    return this.crashCountOf(fingerprint) > 0;
  }

  /** Number of hosts that ended while they ran the suspect. */
  crashCountOf(fingerprint: CauseFingerprint): number {
    return this.#suspects.get(fingerprint)?.crashes.length ?? 0;
  }

  /** True until {@link evaluate} has evaluated the newest crash of the suspect. */
  isPending(fingerprint: CauseFingerprint): boolean {
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
   * Returns the causes that are newly found to crash their hosts, or to crash them for more workspaces. The caller calls
   * it again after {@link evaluateInMs}, unless that is undefined.
   */
  evaluate(): readonly CrashVerdict[] {
    const settledAt = this.#now() - SETTLE_MS;
    const suspects = [...this.#pending].flatMap(one => this.#suspects.get(one) ?? []);
    const verdicts = suspects.filter(exceedsScope).map(suspect => this.#markCause(suspect));
    for (;;) {
      const strongest = this.#causes.strongestOf(suspects, settledAt);
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

  /** Marks a cause as quarantined; its crashes no longer count against others. */
  noteQuarantined({
    fingerprint,
    cause,
    hosts,
    workspace,
    anyWorkspace,
  }: Omit<CrashVerdict, 'route'>): void {
    const suspect = this.#suspects.getOrCreate(fingerprint, cause);
    suspect.quarantine = { workspace, anyWorkspace };
    this.#causes.attribute(hosts, fingerprint);
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
    return this.#suspects.all.flatMap(suspect => reportsOf(suspect, after, now));
  }

  // The report also counts for the parts of the request's prompt.
  #noteCrash(report: CrashReport): ReportOutcome {
    const {
      fingerprint,
      host: incarnation,
      place,
      ranMs,
      ageMs,
      parts = [],
      workspace,
      begun = false,
    } = report;
    const at = this.#now() - ageMs;
    const crash: SuspectCrash = {
      host: incarnationOf(incarnation),
      incarnation,
      place,
      sentAt: at - ranMs,
      at,
      sequence: this.#sequence + 1,
      requests: [{ fingerprint, workspace, parts, begun }],
    };
    const origin = { route: report.route, workspace };
    if (!this.#addCrash(this.#suspects.getOrCreate(fingerprint, 'request'), crash, origin)) {
      return 'known';
    }
    this.#sequence += 1;
    parts.forEach(part => {
      this.#addCrash(this.#suspects.getOrCreate(part, 'prompt-part'), crash, origin);
    });
    this.#enforceLimits();
    return 'taken';
  }

  // Returns false if the crash adds no evidence.
  #addCrash(suspect: Suspect, crash: SuspectCrash, origin: RequestOrigin): boolean {
    const known = suspect.crashes.find(({ host }) => host === crash.host);
    if (crash.at <= suspect.clearedAt || !addsEvidence(known, crash)) {
      return false;
    }
    suspect.origin = origin;
    const others = suspect.crashes.filter(other => other !== known);
    const crashes = [...others, mergeCrashes(known, crash)].sort((a, b) => a.at - b.at);
    this.#suspects.setCrashes(suspect, crashes.slice(-MAX_CRASHES_PER_SUSPECT));
    if (suspect.quarantine !== undefined) {
      this.#causes.attribute([crash.host], suspect.fingerprint);
    }
    if (suspect.quarantine === undefined || exceedsScope(suspect)) {
      this.#pending.add(suspect.fingerprint);
    }
    return true;
  }

  #noteCompletion({ fingerprint, cause = 'request', ageMs }: CompletionReport): ReportOutcome {
    const at = this.#now() - ageMs;
    const suspect = this.#suspects.getOrCreate(fingerprint, cause);
    // Several entry hosts may report completions at the same time; one is enough.
    if (at <= suspect.clearedAt + SAME_COMPLETION_MS) {
      return 'known';
    }
    this.#sequence += 1;
    suspect.clearedAt = at;
    suspect.clearedSequence = this.#sequence;
    suspect.quarantine = undefined;
    this.#reevaluateSharing(suspect);
    this.#suspects.setCrashes(
      suspect,
      suspect.crashes.filter(crash => crash.at > at),
    );
    return 'taken';
  }

  #markCause(suspect: Suspect): CrashVerdict {
    const { fingerprint, kind: cause, crashes, origin } = suspect;
    const { workspace } = suspect.quarantine ?? origin;
    // One that is quarantined already exceeds its scope.
    const anyWorkspace = suspect.quarantine !== undefined || workspacesOf(crashes).size > 1;
    const hosts = crashes.map(({ host }) => host);
    suspect.quarantine = { workspace, anyWorkspace };
    this.#causes.attribute(hosts, fingerprint);
    return { fingerprint, cause, anyWorkspace, hosts, route: origin.route, workspace };
  }

  // Suspects that were not quarantined because this one shared their crashes may be quarantined now.
  #reevaluateSharing({ crashes }: Suspect): void {
    for (const { host } of crashes) {
      this.#suspects.at(host).forEach(fingerprint => {
        this.#pending.add(fingerprint);
      });
    }
  }

  #forget(suspect: Suspect): void {
    this.#suspects.forget(suspect);
    this.#pending.delete(suspect.fingerprint);
  }

  #forgetExpired(now: number): void {
    for (const suspect of this.#suspects.all) {
      const isExpired = now - lastAtOf(suspect) > EVIDENCE_RETENTION_MS;
      if (isExpired && suspect.quarantine === undefined) {
        this.#forget(suspect);
      }
    }
  }

  #enforceLimits(): void {
    for (const kind of ['request', 'prompt-part'] as const) {
      if (this.#suspects.surplusOf(kind).length > 0) {
        this.#forgetExpired(this.#now());
        this.#suspects.surplusOf(kind).forEach(suspect => {
          this.#forget(suspect);
        });
      }
    }
  }
}

// Several entry hosts may each have had a run at the host; the one that was sent first counts.
function addsEvidence(known: SuspectCrash | undefined, crash: SuspectCrash): boolean {
  return (
    known === undefined ||
    crash.sentAt < known.sentAt - TRANSIT_MS ||
    crash.requests.some(({ fingerprint }) =>
      known.requests.every(request => request.fingerprint !== fingerprint),
    )
  );
}

// True if hosts have ended under requests of workspaces to which the quarantine does not apply.
function exceedsScope({ kind, quarantine, crashes }: Suspect): boolean {
  if (kind === 'request' || quarantine === undefined || quarantine.anyWorkspace) {
    return false;
  }
  return [...workspacesOf(crashes)].some(workspace => workspace !== quarantine.workspace);
}

// The reports of a part are those of the requests that contain it.
function reportsOf(suspect: Suspect, after: number, now: number): readonly RunReport[] {
  const { fingerprint, kind, origin, crashes, clearedAt, clearedSequence } = suspect;
  const reports: RunReport[] = [];
  if (clearedSequence > after) {
    reports.push({ kind: 'completed', fingerprint, cause: kind, ageMs: now - clearedAt });
  }
  for (const crash of kind === 'request' ? crashes : []) {
    const { incarnation: host, place, sentAt, at, sequence, requests } = crash;
    if (sequence > after) {
      const { parts = [], begun = false } = requests[0] ?? {};
      const run = { parts, begun, ranMs: at - sentAt, ageMs: now - at };
      reports.push({ kind: 'crashed', fingerprint, host, place, ...run, ...origin });
    }
  }
  return reports;
}
