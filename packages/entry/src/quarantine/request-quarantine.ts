/**
 * Keeps requests that crash the hosts that run them ("queries of death") from being sent on.
 *
 * Retries are bounded for each send of a caller, but a caller may send the same content again and again, at
 * any entry host: each send would end as many hosts as it has attempts, with all that runs there. So lost runs
 * are told to all entry hosts by the request's content; once three hosts have ended under one, no entry host
 * sends it any more, and runs in progress are cancelled. On a played day with such a request 40 hosts ended,
 * and with them 500 streams of others.
 */
import type { HostEntry, HostIncarnation } from '../hosts/host-entry.js';
import type { RequestContext } from '../requests/request-context.js';
import type { Log } from '../server/log.js';
import type { Metrics } from '../server/metrics.js';
import { monotonicMs, sleep } from '../server/time.js';
import type { ObjectStore } from '../store/object-store.js';
import type { KindObserver } from '../store/watched-kind.js';
import { CrashEvidence, LEAST_CRASHES } from './crash-evidence.js';
import type { ProbeOutcome } from './host-probe.js';
import type { EndedHost } from './lost-runs.js';
import { LostRuns } from './lost-runs.js';
import { QuarantineKeeper } from './quarantine-keeper.js';
import { QuarantineTrials } from './quarantine-trials.js';
import type { QuarantinedRequest } from './quarantined-request.js';
import { QuarantinedRequests } from './quarantined-requests.js';
import type { RequestFingerprint } from './request-fingerprint.js';
import type { RunReport } from './run-report.js';

/** Options of the quarantine of one entry host. */
export type RequestQuarantineOptions = {
  readonly store: ObjectStore;
  readonly holdsLease: () => boolean;
  readonly probe: (host: HostEntry) => Promise<ProbeOutcome>;
  /** True while the host is listed and has not announced its end. */
  readonly isExpected: (host: HostEntry) => boolean;
  /** When bytes last came from a host, in monotonic milliseconds. */
  readonly progressedAt: (hostId: string) => number;
  /** This entry host has lost requests with a host that ended. */
  readonly hostEnded: (host: HostEntry) => void;
  /** This or another entry host has. */
  readonly hostEndedAnywhere: (host: HostIncarnation) => void;
  /** There are reports that other entry hosts have not heard of. */
  readonly reported: () => void;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** What a relay needs of the quarantine. */
export type QuarantineGate = Pick<
  RequestQuarantine,
  'claimTrial' | 'guard' | 'holds' | 'decided' | 'runLost' | 'runCompleted'
>;

/** A request in progress. */
type Guarded = { readonly fingerprint: () => RequestFingerprint; readonly cancel: () => void };

/** Step and greatest length of the wait for a verdict, in milliseconds; a verdict takes some 200. */
const DECISION_STEP_MS = 20;
const MOST_DECISION_MS = 400;

/** Suspects that a line about an ended host names. */
const LOGGED_SUSPECTS = 3;

/** The quarantine as one entry host keeps it. */
export class RequestQuarantine {
  readonly evidence = new CrashEvidence();
  readonly #options: RequestQuarantineOptions;
  readonly #requests: QuarantinedRequests;
  readonly #lostRuns: LostRuns;
  readonly #trials: QuarantineTrials;
  readonly #keeper: QuarantineKeeper;
  readonly #guarded = new Set<Guarded>();
  #evaluationTimer: NodeJS.Timeout | undefined;

  constructor(options: RequestQuarantineOptions) {
    this.#options = options;
    const { store, holdsLease, probe, isExpected, progressedAt, log, metrics } = options;
    this.#requests = new QuarantinedRequests({
      entered: request => {
        this.#entered(request);
      },
      left: fingerprint => {
        this.take([{ kind: 'completed', fingerprint, ageMs: 0 }]);
      },
      log,
      metrics,
    });
    this.#lostRuns = new LostRuns({
      probe,
      isExpected,
      progressedAt,
      ended: host => {
        this.#hostEnded(host);
      },
      counters: metrics.counters,
    });
    this.#trials = new QuarantineTrials({ requests: this.#requests, store, log });
    this.#keeper = new QuarantineKeeper({ requests: this.#requests, store, holdsLease, log });
    metrics.gauges.follow('crash_suspects', () => [{ labels: {}, value: this.evidence.suspects }]);
  }

  /** The requests in quarantine. */
  get requests(): readonly QuarantinedRequest[] {
    return this.#requests.all;
  }

  /** Feeds the requests that are in the object store. */
  get observer(): KindObserver {
    return this.#requests.observer;
  }

  /** Writes to the store while this entry host holds the lease, until {@link stop}. */
  run(): Promise<void> {
    return this.#keeper.run();
  }

  /** Ends all timers. */
  stop(): void {
    clearTimeout(this.#evaluationTimer);
    this.#keeper.stop();
  }

  /** True when a request must not be sent. Its fingerprint is only made while some request is in quarantine. */
  holds(fingerprint: () => RequestFingerprint): boolean {
    return this.#requests.size > 0 && this.#requests.get(fingerprint()) !== undefined;
  }

  /** True when a request in quarantine may run once, at one host. */
  claimTrial({ fingerprint }: RequestContext): Promise<boolean> {
    return this.#trials.claim(fingerprint());
  }

  /** Calls `cancel` when the request comes into quarantine, until the returned function is called. */
  guard({ fingerprint }: RequestContext, cancel: () => void): () => void {
    const guarded = { fingerprint, cancel };
    this.#guarded.add(guarded);
    return () => {
      this.#guarded.delete(guarded);
    };
  }

  /** A run's connection ended before its answer did, `ranMs` after the send; its host may have ended. */
  runLost(context: RequestContext, host: HostEntry, ranMs: number): void {
    const { fingerprint, route, workspace } = context;
    this.#lostRuns.note({ fingerprint: fingerprint(), route: route.name, workspace, host, ranMs });
  }

  /** A run ended with an answer of its host. */
  runCompleted({ fingerprint }: RequestContext): void {
    if (!this.evidence.isEmpty || this.#requests.size > 0) {
      this.#completed(fingerprint());
    }
  }

  /**
   * Resolves when it is known whether a request that was lost is quarantined; at once for those under which fewer
   * hosts have ended than that takes. Sent on before, it would end one more host.
   */
  async decided({ fingerprint, gone }: RequestContext): Promise<void> {
    const until = monotonicMs() + MOST_DECISION_MS;
    while (this.#isDecisive(fingerprint()) && monotonicMs() < until && !gone.aborted) {
      await sleep(DECISION_STEP_MS, gone);
    }
  }

  /** Takes reports of this or other entry hosts. */
  take(reports: readonly RunReport[]): void {
    const news = reports.filter(report => this.evidence.note(report) === 'taken');
    if (news.length === 0) {
      return;
    }
    news.forEach(report => {
      this.#act(report);
    });
    this.#scheduleEvaluation();
    this.#options.reported();
  }

  #act(report: RunReport): void {
    const { metrics, hostEndedAnywhere } = this.#options;
    metrics.counters.count('run_reports_total', { kind: report.kind });
    if (report.kind === 'crashed') {
      hostEndedAnywhere(report.host);
    } else {
      this.#requests.lift(report.fingerprint, 'completed by a host');
    }
  }

  #isDecisive(fingerprint: RequestFingerprint): boolean {
    const isPending = this.#lostRuns.isPending(fingerprint);
    const crashes = this.evidence.crashesOf(fingerprint) + Number(isPending);
    const isOpen = isPending || this.evidence.isPending(fingerprint);
    return isOpen && crashes >= LEAST_CRASHES;
  }

  #hostEnded({ host, reports }: EndedHost): void {
    const { log, hostEnded } = this.#options;
    log.warn('host ended with requests in progress', {
      host: host.id,
      startedAt: host.startedAt,
      group: host.membership?.group,
      requests: reports.length,
      suspects: this.#worstOf(reports),
    });
    this.take(reports);
    hostEnded(host);
  }

  // Those under which most hosts have ended, for the log.
  #worstOf(reports: readonly RunReport[]): string {
    const counted = reports.map(({ fingerprint }) => ({
      fingerprint,
      crashes: this.evidence.crashesOf(fingerprint) + 1,
    }));
    return counted
      .sort((a, b) => b.crashes - a.crashes)
      .slice(0, LOGGED_SUSPECTS)
      .map(({ fingerprint, crashes }) => `${fingerprint}:${crashes}`)
      .join(',');
  }

  #completed(fingerprint: RequestFingerprint): void {
    const request = this.#requests.get(fingerprint);
    if (request !== undefined) {
      void this.#trials.remove(request);
    }
    if (request !== undefined || this.evidence.isSuspect(fingerprint)) {
      this.take([{ kind: 'completed', fingerprint, ageMs: 0 }]);
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
        this.#requests.quarantine(verdict);
      });
      this.#scheduleEvaluation();
    }, dueInMs + 1);
  }

  #entered({ fingerprint, hosts }: QuarantinedRequest): void {
    this.evidence.quarantine(fingerprint, hosts);
    for (const guarded of [...this.#guarded]) {
      if (guarded.fingerprint() === fingerprint) {
        guarded.cancel();
      }
    }
  }
}
