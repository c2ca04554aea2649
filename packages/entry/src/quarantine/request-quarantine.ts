/**
 * Stops sending requests that crash the hosts that run them ("queries of death").
 *
 * Retries are limited for each send of a caller, but a caller may send the same content repeatedly, to any entry
 * host, and different requests may share the part of their prompts that crashes hosts. Each send would end as many
 * hosts as it has attempts, with all runs in progress there. Lost runs are therefore reported to all entry hosts under
 * the fingerprints of the request and of the parts of its prompt. Once three hosts have ended while they ran it, no
 * entry host sends it any more, and its runs in progress are cancelled. In simulated days 40 hosts ended under one
 * request, and 79 under requests with one part, with hundreds of streams of other callers.
 */
import type { HostEntry, HostIncarnation } from '../hosts/host-entry.js';
import type { RequestContext } from '../requests/request-context.js';
import type { Log } from '../server/log.js';
import type { Metrics } from '../server/metrics.js';
import { monotonicMs, sleep } from '../server/time.js';
import type { ObjectStore } from '../store/object-store.js';
import type { KindObserver } from '../store/watched-kind.js';
import { CrashEvidence } from './crash-evidence.js';
import { QUARANTINE_THRESHOLD } from './find-cause.js';
import type { ProbeOutcome } from './host-probe.js';
import type { EndedHost, LostRun } from './lost-runs.js';
import { LostRuns } from './lost-runs.js';
import { QuarantineEntries } from './quarantine-entries.js';
import type { QuarantineEntry } from './quarantine-entry.js';
import { appliesToRequest } from './quarantine-entry.js';
import { QuarantineKeeper } from './quarantine-keeper.js';
import { QuarantineTrials } from './quarantine-trials.js';
import type { RequestCauses } from './request-causes.js';
import type { CauseFingerprint, CauseKind } from './request-fingerprint.js';
import type { RunReport } from './run-report.js';

/** What {@link RequestQuarantine} works with. */
export type RequestQuarantineOptions = {
  readonly store: ObjectStore;
  readonly holdsLease: () => boolean;
  readonly probe: (host: HostEntry) => Promise<ProbeOutcome>;
  /** True while the host is registered and has not announced its shutdown. */
  readonly isAccepting: (host: HostEntry) => boolean;
  /** When bytes last came from a host, in monotonic milliseconds. */
  readonly lastProgressAt: (hostId: string) => number;
  /** Called when a host ended with requests of this entry host in progress. */
  readonly hostEnded: (host: HostEntry) => void;
  /** Called when this or another entry host reported that a host ended with requests in progress. */
  readonly hostEndReported: (host: HostIncarnation) => void;
  /** Called when there are new reports to send to the peers. */
  readonly reportsAdded: () => void;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** The part of the quarantine that a relay uses. */
export type QuarantineGate = Pick<
  RequestQuarantine,
  | 'claimTrial'
  | 'cancelWhenQuarantined'
  | 'isQuarantined'
  | 'verdictOn'
  | 'awaitVerdict'
  | 'runLost'
  | 'runCompleted'
>;

/** How far a lost run had come: the time since the send, and whether data of the answer had arrived. */
export type RunProgress = Pick<LostRun, 'ranMs' | 'begun'>;

/** A request in progress, which is cancelled when it is quarantined. */
type GuardedRequest = {
  readonly causes: RequestCauses;
  readonly cancel: () => void;
};

/** Polling step and maximum wait for a verdict, in milliseconds; a verdict takes about 200 ms. */
const DECISION_STEP_MS = 20;
const MAX_DECISION_MS = 400;

/** Number of suspects that the log line about an ended host names. */
const MAX_LOGGED_SUSPECTS = 3;

/** The request quarantine of one entry host. */
export class RequestQuarantine {
  readonly evidence = new CrashEvidence();
  readonly #options: RequestQuarantineOptions;
  readonly #entries: QuarantineEntries;
  readonly #lostRuns: LostRuns;
  readonly #trials: QuarantineTrials;
  readonly #keeper: QuarantineKeeper;
  readonly #guarded = new Set<GuardedRequest>();
  #evaluationTimer: NodeJS.Timeout | undefined;

  constructor(options: RequestQuarantineOptions) {
    this.#options = options;
    const { store, holdsLease, probe, isAccepting, lastProgressAt, log, metrics } = options;
    this.#entries = new QuarantineEntries({
      added: request => {
        this.#onQuarantined(request);
      },
      removed: ({ fingerprint, cause }) => {
        this.addReports([{ kind: 'completed', fingerprint, cause, ageMs: 0 }]);
      },
      log,
      metrics,
    });
    this.#lostRuns = new LostRuns({
      probe,
      isAccepting,
      lastProgressAt,
      hostEnded: host => {
        this.#hostEnded(host);
      },
      counters: metrics.counters,
    });
    this.#trials = new QuarantineTrials({ entries: this.#entries, store, log });
    this.#keeper = new QuarantineKeeper({ entries: this.#entries, store, holdsLease, log });
    metrics.gauges.register('crash_suspects', () => [
      { labels: {}, value: this.evidence.suspectCount },
    ]);
  }

  /** The requests and parts of prompts in quarantine. */
  get entries(): readonly QuarantineEntry[] {
    return this.#entries.all;
  }

  /** Receives the entries that the watch of the object store delivers. */
  get observer(): KindObserver {
    return this.#entries.observer;
  }

  /** Writes to the store while this entry host holds the lease, until {@link stop}. */
  run(): Promise<void> {
    return this.#keeper.run();
  }

  /** Ends {@link run} and the timer. */
  stop(): void {
    clearTimeout(this.#evaluationTimer);
    this.#keeper.stop();
  }

  /** True when a request must not be sent. */
  isQuarantined(causes: RequestCauses): boolean {
    return this.verdictOn(causes) !== undefined;
  }

  /** Fingerprint of the request, or of the part of its prompt, for which it must not be sent; undefined if it may be. */
  verdictOn(causes: RequestCauses): CauseFingerprint | undefined {
    return this.#entriesFor(causes)[0]?.fingerprint;
  }

  /** Claims a trial. Resolves to true when the quarantined request may run once, at one host. */
  claimTrial({ causes }: RequestContext): Promise<boolean> {
    return this.#trials.claimAll(this.#entriesFor(causes));
  }

  /** Calls `cancel` when the request is quarantined, until the returned function is called. */
  cancelWhenQuarantined({ causes }: RequestContext, cancel: () => void): () => void {
    const guarded = { causes, cancel };
    this.#guarded.add(guarded);
    return () => {
      this.#guarded.delete(guarded);
    };
  }

  /** Notes that the connection of a run ended before its answer was complete. The host may have ended. */
  runLost(context: RequestContext, host: HostEntry, { ranMs, begun }: RunProgress): void {
    const { causes, route, workspace } = context;
    const fingerprint = causes.request();
    const parts = causes.parts();
    this.#lostRuns.note({ fingerprint, parts, route: route.name, workspace, host, begun, ranMs });
  }

  /**
   * Notes that a run ended with an answer of its host. `isSuccess`: the answer is whole and no failure. Otherwise the
   * host may have failed before it began to process the prompt, which proves nothing of its parts.
   */
  runCompleted({ causes }: RequestContext, isSuccess: boolean): void {
    if (this.evidence.isEmpty && this.#entries.size === 0) {
      return;
    }
    this.#noteCompletion(causes.request(), 'request', causes);
    if (isSuccess) {
      causes.parts().forEach(part => {
        this.#noteCompletion(part, 'prompt-part', causes);
      });
    }
  }

  /**
   * Waits until it is decided whether a lost request is quarantined, since a retry before that could end one more
   * host. Resolves at once for requests with too few crashes to be quarantined.
   */
  async awaitVerdict({ causes, callerSignal }: RequestContext): Promise<void> {
    const deadline = monotonicMs() + MAX_DECISION_MS;
    const all = [causes.request(), ...causes.parts()];
    while (
      all.some(cause => this.#isVerdictPending(cause)) &&
      monotonicMs() < deadline &&
      !callerSignal.aborted
    ) {
      await sleep(DECISION_STEP_MS, callerSignal);
    }
  }

  /** Adds reports of this or other entry hosts. */
  addReports(reports: readonly RunReport[]): void {
    const newReports = reports.filter(report => this.evidence.note(report) === 'taken');
    if (newReports.length === 0) {
      return;
    }
    newReports.forEach(report => {
      this.#apply(report);
    });
    this.#scheduleEvaluation();
    this.#options.reportsAdded();
  }

  #apply(report: RunReport): void {
    const { metrics, hostEndReported } = this.#options;
    metrics.counters.count('run_reports_total', { kind: report.kind });
    if (report.kind === 'crashed') {
      hostEndReported(report.host);
    } else {
      this.#entries.remove(report.fingerprint, 'completed by a host');
    }
  }

  // The fingerprints are only computed while there are entries.
  #entriesFor(causes: RequestCauses): readonly QuarantineEntry[] {
    if (this.#entries.size === 0) {
      return [];
    }
    return [causes.request(), ...causes.parts()]
      .flatMap(cause => this.#entries.get(cause) ?? [])
      .filter(entry => appliesToRequest(entry, causes));
  }

  #isVerdictPending(fingerprint: CauseFingerprint): boolean {
    const isPending = this.#lostRuns.isPending(fingerprint);
    const crashes = this.evidence.crashCountOf(fingerprint) + Number(isPending);
    const isUndecided = isPending || this.evidence.isPending(fingerprint);
    return isUndecided && crashes >= QUARANTINE_THRESHOLD;
  }

  #hostEnded({ host, reports }: EndedHost): void {
    const { log, hostEnded } = this.#options;
    log.warn('host ended with requests in progress', {
      host: host.id,
      startedAt: host.startedAt,
      group: host.membership?.group,
      requests: reports.length,
      suspects: this.#formatSuspects(reports),
    });
    this.addReports(reports);
    hostEnded(host);
  }

  // Formats the requests with the most crashes for the log.
  #formatSuspects(reports: readonly RunReport[]): string {
    const counted = reports.map(({ fingerprint }) => ({
      fingerprint,
      crashes: this.evidence.crashCountOf(fingerprint) + 1,
    }));
    return counted
      .sort((a, b) => b.crashes - a.crashes)
      .slice(0, MAX_LOGGED_SUSPECTS)
      .map(({ fingerprint, crashes }) => `${fingerprint}:${crashes}`)
      .join(',');
  }

  // A run of a workspace to which a quarantine does not apply says nothing about those to which it does.
  #noteCompletion(fingerprint: CauseFingerprint, cause: CauseKind, causes: RequestCauses): void {
    const entry = this.#entries.get(fingerprint);
    if (entry !== undefined && !appliesToRequest(entry, causes)) {
      return;
    }
    if (entry !== undefined) {
      void this.#trials.remove(entry);
    }
    if (entry !== undefined || this.evidence.isSuspect(fingerprint)) {
      this.addReports([{ kind: 'completed', fingerprint, cause, ageMs: 0 }]);
    }
  }

  #scheduleEvaluation(): void {
    const dueInMs = this.evidence.evaluateInMs();
    clearTimeout(this.#evaluationTimer);
    if (dueInMs === undefined) {
      return;
    }
    this.#evaluationTimer = setTimeout(() => {
      this.evidence.evaluate().forEach(verdict => {
        this.#entries.add(verdict);
      });
      this.#scheduleEvaluation();
    }, dueInMs + 1);
  }

  #onQuarantined(entry: QuarantineEntry): void {
    this.evidence.noteQuarantined(entry);
    for (const { causes, cancel } of [...this.#guarded]) {
      if (appliesToRequest(entry, causes)) {
        cancel();
      }
    }
  }
}
