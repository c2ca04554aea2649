/** The kinds of objects that an entry host follows, and the timing of each. */
import { elapsedMs } from '../server/elapsed-time.js';
import type { Log } from '../server/log.js';
import type { GaugeReading, Metrics } from '../server/metrics.js';
import { runTask } from '../server/run-task.js';
import { FreshnessGuard } from './freshness-guard.js';
import type { KindReader, KindView } from './kind-reader.js';
import type { KindTiming, KindTimings, TimingBounds } from './kind-timings.js';
import { kindTimings } from './kind-timings.js';
import type { ObjectKind } from './object-store.js';
import { OBJECT_KINDS } from './object-store.js';
import type { ReaderSelector } from './reader-selector.js';
import type { KindObserver } from './watched-kind.js';
import { RESTORE_MS, WatchedKind } from './watched-kind.js';

/** Options of {@link FollowedKinds}. */
export type FollowedKindsOptions = {
  readonly readers: ReaderSelector;
  readonly observers: Readonly<Partial<Record<ObjectKind, KindObserver>>>;
  /** Bounds from which the timing of each kind is derived. */
  readonly bounds: TimingBounds;
  /** True while this host reads from the store itself, not from a peer. */
  readonly followsStore: () => boolean;
  /** Part of the upstream hosts that this host needs. */
  readonly hostsView: () => KindView;
  /** Resolves when the peers, from which hosts and urgent kinds are then read, are known, or after a timeout. */
  readonly whenPeersKnown: () => Promise<void>;
  /** Reader of the first list of hosts; where absent or undefined, `readers` chooses it. */
  readonly firstReader?: () => KindReader | undefined;
  /** True while this host is the lease holder. */
  readonly holdsLease: () => boolean;
  readonly log: Log;
  readonly metrics: Metrics;
};

const MS_PER_S = 1_000;

/**
 * True for kinds whose changes have to arrive sooner than several failing readers in a row would allow. A
 * configuration has to arrive within two seconds: after six peers in a row that did not answer it took 5.6 s, from
 * the store after two of them 1.7 s.
 */
export function isUrgent(kind: ObjectKind): boolean {
  return kind === OBJECT_KINDS.evacuations || kind === OBJECT_KINDS.configuration;
}

/** Runs a watch for each kind that has an observer. */
export class FollowedKinds {
  readonly #watches = new Map<ObjectKind, WatchedKind>();
  readonly #guards: FreshnessGuard[] = [];
  readonly #timings: KindTimings;
  readonly #options: FollowedKindsOptions;

  constructor(options: FollowedKindsOptions) {
    this.#options = options;
    this.#timings = kindTimings(options.bounds);
    for (const [name, observer] of Object.entries(options.observers)) {
      const kind = name as ObjectKind;
      const timing = this.#timings[kind];
      if (timing !== undefined) {
        const watch = watchOf(kind, observer, timing, options);
        this.#watches.set(kind, watch);
        this.#addGuard(kind, watch, timing.maxAgeMs);
      }
    }
    options.metrics.gauges.register('confirmation_age_seconds', () => this.#ageReadings());
  }

  /** The watch of a kind, if it is followed. */
  of(kind: ObjectKind): WatchedKind | undefined {
    return this.#watches.get(kind);
  }

  /** Follows all kinds until it is stopped. */
  start(): void {
    const { log, whenPeersKnown } = this.#options;
    for (const [kind, watch] of this.#watches) {
      const waitsForPeers = kind === OBJECT_KINDS.hosts || isUrgent(kind);
      const ready = waitsForPeers ? whenPeersKnown() : Promise.resolve();
      runTask(
        log,
        kind,
        ready.then(() => watch.run()),
      );
    }
    for (const guard of this.#guards) {
      runTask(log, 'freshness guard', guard.run());
    }
  }

  /** Confirms the known objects of all kinds by immediate reads. */
  confirmNow(): void {
    this.#watches.forEach(watch => {
      void watch.confirmNow();
    });
  }

  /**
   * Time since the last query of the store that confirmed the known objects of a kind, in milliseconds; undefined
   * if there was none. Counts a send whose age exceeds the kind's `staleMs`.
   */
  ageAtSendMs(kind: ObjectKind): number | undefined {
    const ageMs = this.#ageMs(kind);
    if ((ageMs ?? Infinity) > (this.#timings[kind]?.staleMs ?? Infinity)) {
      this.#options.metrics.counters.count('sends_on_old_knowledge_total', { kind });
    }
    return ageMs;
  }

  #addGuard(kind: ObjectKind, watch: WatchedKind, limitMs: number | undefined): void {
    if (limitMs === undefined) {
      return;
    }
    const { readers, log, metrics } = this.#options;
    const guard = new FreshnessGuard({
      kind,
      readers,
      ageMs: () => this.#ageMs(kind),
      readNow: reader => watch.readNow(reader),
      limitMs,
      log,
      counters: metrics.counters,
    });
    this.#guards.push(guard);
  }

  #ageMs(kind: ObjectKind): number | undefined {
    const confirmedAt = this.#watches.get(kind)?.cache.confirmedAt ?? -Infinity;
    return confirmedAt === -Infinity ? undefined : Math.round(elapsedMs() - confirmedAt);
  }

  #ageReadings(): readonly GaugeReading[] {
    return [...this.#watches.keys()].flatMap(kind => {
      const ageMs = this.#ageMs(kind);
      return ageMs === undefined ? [] : [{ labels: { kind }, value: ageMs / MS_PER_S }];
    });
  }

  /** Stops all watches. */
  stop(): void {
    this.#watches.forEach(watch => {
      watch.stop();
    });
    this.#guards.forEach(guard => {
      guard.stop();
    });
  }
}

/** Always chooses the same reader, for a host without peers. */
export function singleReader(reader: KindReader): ReaderSelector {
  return {
    choose: () => reader,
    peek: () => reader,
    recordOutcome: () => undefined,
    takeStore: () => reader,
    usableInMs: () => 0,
  };
}

function watchOf(
  kind: ObjectKind,
  observer: KindObserver,
  timing: KindTiming,
  { readers, followsStore, firstReader, hostsView, holdsLease, log, metrics }: FollowedKindsOptions,
): WatchedKind {
  return new WatchedKind({
    readers,
    kind,
    ...(kind === OBJECT_KINDS.hosts ? { view: hostsView, firstReader } : {}),
    isUrgent: isUrgent(kind),
    waitMs: () => (followsStore() ? timing.storeWaitMs : timing.peerWaitMs),
    pauseMs: () => (holdsLease() ? timing.leaseHolderPauseMs : timing.pauseMs),
    staleMs: timing.staleMs,
    restoreMs: timing.restoreMs ?? RESTORE_MS,
    observer,
    log,
    counters: metrics.counters,
  });
}
