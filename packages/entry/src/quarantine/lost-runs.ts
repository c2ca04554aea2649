/**
 * Tells runs that were in progress when their host ended from those that were lost in other ways: a connection
 * that was reset, a host that closes idle connections, one that leaves as announced, a link that broke.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import { incarnationOf } from '../hosts/host-entry.js';
import type { Counters } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import type { ProbeOutcome } from './host-probe.js';
import type { RequestFingerprint } from './request-fingerprint.js';
import type { CrashReport, RequestOrigin } from './run-report.js';

/** A run whose connection ended before its answer did. */
export type LostRun = RequestOrigin & {
  readonly fingerprint: RequestFingerprint;
  /** The host as it was when the request was sent. */
  readonly host: HostEntry;
  /** Time from the send to the loss, in milliseconds. */
  readonly ranMs: number;
};

/** A host that has ended, with what was in progress there. */
export type EndedHost = {
  readonly host: HostEntry;
  /** One for each request. */
  readonly reports: readonly CrashReport[];
};

/** What lost runs are classified by. */
export type LostRunsOptions = {
  readonly probe: (host: HostEntry) => Promise<ProbeOutcome>;
  /** True while the host is listed and has not announced its end. */
  readonly isExpected: (host: HostEntry) => boolean;
  /** When bytes last came from the host, in monotonic milliseconds. */
  readonly progressedAt: (hostId: string) => number;
  readonly ended: (host: EndedHost) => void;
  readonly counters: Counters;
  /** Monotonic milliseconds; for tests. */
  readonly now?: () => number;
};

type Loss = { readonly run: LostRun; readonly at: number };

/** Collects the lost runs of each host until a probe has told what became of it. */
export class LostRuns {
  readonly #options: LostRunsOptions;
  readonly #probed = new Map<string, Loss[]>();

  constructor(options: LostRunsOptions) {
    this.#options = options;
  }

  /** True while it is not known yet what became of the host of a lost run of the request. */
  isPending(fingerprint: RequestFingerprint): boolean {
    return [...this.#probed.values()].some(losses =>
      losses.some(({ run }) => run.fingerprint === fingerprint),
    );
  }

  /** Takes a lost run. */
  note(run: LostRun): void {
    const { isExpected, counters } = this.#options;
    // A host that said that it leaves, or whose entry has gone, may end with requests that it did not finish.
    if (!isExpected(run.host)) {
      counters.count('lost_runs_total', { host: 'leaving' });
      return;
    }
    const key = incarnationOf(run.host);
    const loss = { run, at: this.#now() };
    const probed = this.#probed.get(key);
    if (probed !== undefined) {
      probed.push(loss);
      return;
    }
    this.#probed.set(key, [loss]);
    void this.#classify(run.host, key);
  }

  async #classify(host: HostEntry, key: string): Promise<void> {
    const { probe, progressedAt, ended, counters } = this.#options;
    const outcome = await probe(host);
    const losses = this.#probed.get(key) ?? [];
    this.#probed.delete(key);
    // Where another run goes on, only new connections fail: the host is full, or a link to it breaks them.
    const goesOn = progressedAt(host.id) > (losses[0]?.at ?? Infinity);
    const verdict = outcome === 'ended' && goesOn ? 'alive' : outcome;
    counters.count('lost_runs_total', { host: verdict }, losses.length);
    if (verdict === 'ended') {
      ended({ host, reports: this.#reportsOf(host, losses) });
    }
  }

  #reportsOf(host: HostEntry, losses: readonly Loss[]): readonly CrashReport[] {
    const now = this.#now();
    // Of several runs of one request the one that was sent first.
    const lastSentFirst = [...losses].sort((a, b) => a.run.ranMs - b.run.ranMs);
    const byFingerprint = new Map(lastSentFirst.map(loss => [loss.run.fingerprint, loss]));
    return [...byFingerprint.values()].map(({ run, at }) => ({
      kind: 'crashed',
      fingerprint: run.fingerprint,
      host: { id: host.id, startedAt: host.startedAt },
      place: host.fabricDomain ?? host.failureDomain,
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
