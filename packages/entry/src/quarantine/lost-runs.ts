/**
 * Separates runs that were in progress when their host's process ended from runs that were lost in other ways: a
 * reset connection, a host that closes idle connections, an announced shutdown, a broken link.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import { incarnationOf } from '../hosts/host-entry.js';
import type { Counters } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import type { ProbeOutcome } from './host-probe.js';
import type {
  CauseFingerprint,
  PartFingerprint,
  RequestFingerprint,
} from './request-fingerprint.js';
import type { CrashReport, RequestOrigin } from './run-report.js';

/** A run whose connection ended before its answer was complete. */
export type LostRun = RequestOrigin & {
  readonly fingerprint: RequestFingerprint;
  readonly parts: readonly PartFingerprint[];
  /** The host's entry at the time of the send. */
  readonly host: HostEntry;
  /** True if data of the answer had arrived. */
  readonly begun: boolean;
  /** Time from the send to the loss, in milliseconds. */
  readonly ranMs: number;
};

/** A host whose process has ended, and the runs that were in progress there. */
export type EndedHost = {
  readonly host: HostEntry;
  /** One report for each request. */
  readonly reports: readonly CrashReport[];
};

/** What {@link LostRuns} uses to classify lost runs. */
export type LostRunsOptions = {
  readonly probe: (host: HostEntry) => Promise<ProbeOutcome>;
  /** True while the host is registered and has not announced its shutdown. */
  readonly isAccepting: (host: HostEntry) => boolean;
  /** When bytes last came from the host, in monotonic milliseconds. */
  readonly lastProgressAt: (hostId: string) => number;
  /** Called when a host has ended with runs in progress. */
  readonly hostEnded: (host: EndedHost) => void;
  readonly counters: Counters;
  /** Returns monotonic milliseconds; tests replace it. */
  readonly now?: () => number;
};

/** A lost run, and when it was lost in monotonic milliseconds. */
type Loss = { readonly run: LostRun; readonly at: number };

/** Collects the lost runs of each host until a probe of the host has finished. */
export class LostRuns {
  readonly #options: LostRunsOptions;
  readonly #lossesByHost = new Map<string, Loss[]>();

  constructor(options: LostRunsOptions) {
    this.#options = options;
  }

  /** True while the host of a lost run of the request, or of one with the part, still has a probe in progress. */
  isPending(cause: CauseFingerprint): boolean {
    return [...this.#lossesByHost.values()].some(losses =>
      losses.some(({ run }) => run.fingerprint === cause || run.parts.includes(cause)),
    );
  }

  /** Adds a lost run and probes its host, unless a probe is in progress. */
  note(run: LostRun): void {
    const { isAccepting, counters } = this.#options;
    // A host that announced its shutdown, or whose entry was removed, may end with unfinished requests.
    if (!isAccepting(run.host)) {
      counters.count('lost_runs_total', { host: 'leaving' });
      return;
    }
    const key = incarnationOf(run.host);
    const loss = { run, at: this.#now() };
    const pendingLosses = this.#lossesByHost.get(key);
    if (pendingLosses !== undefined) {
      pendingLosses.push(loss);
      return;
    }
    this.#lossesByHost.set(key, [loss]);
    void this.#classify(run.host, key);
  }

  async #classify(host: HostEntry, key: string): Promise<void> {
    const { probe, lastProgressAt, hostEnded, counters } = this.#options;
    const outcome = await probe(host);
    const losses = this.#lossesByHost.get(key) ?? [];
    this.#lossesByHost.delete(key);
    // While another run makes progress, only new connections fail: the host is full, or a link breaks them.
    const isInProgress = lastProgressAt(host.id) > (losses[0]?.at ?? Infinity);
    const hostState = outcome === 'ended' && isInProgress ? 'alive' : outcome;
    counters.count('lost_runs_total', { host: hostState }, losses.length);
    if (hostState === 'ended') {
      hostEnded({ host, reports: this.#reportsOf(host, losses) });
    }
  }

  #reportsOf(host: HostEntry, losses: readonly Loss[]): readonly CrashReport[] {
    const now = this.#now();
    // Of several runs of one request, the one that was sent first is kept.
    const lastSentFirst = [...losses].sort((a, b) => a.run.ranMs - b.run.ranMs);
    const byFingerprint = new Map(lastSentFirst.map(loss => [loss.run.fingerprint, loss]));
    return [...byFingerprint.values()].map(({ run, at }) => ({
      kind: 'crashed',
      fingerprint: run.fingerprint,
      parts: run.parts,
      host: { id: host.id, startedAt: host.startedAt },
      place: host.fabricDomain ?? host.failureDomain,
      begun: run.begun,
      ranMs: run.ranMs,
      ageMs: now - at,
      route: run.route,
      workspace: run.workspace,
    }));
  }

  #now(): number {
    return (this.#options.now ?? monotonicMs)();
  }
}
