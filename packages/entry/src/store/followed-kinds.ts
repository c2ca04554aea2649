/** The kinds of objects that an entry host follows, and the timing of each. */
import { elapsedMs } from '../server/elapsed-time.js';
import type { Log } from '../server/log.js';
import type { GaugeReading, Metrics } from '../server/metrics.js';
import { runTask } from '../server/run-task.js';
import type { KindReader, KindView } from './kind-reader.js';
import type { ObjectKind } from './object-store.js';
import { OBJECT_KINDS } from './object-store.js';
import type { KindObserver, ReaderSelector } from './watched-kind.js';
import { RESTORE_MS, WatchedKind } from './watched-kind.js';

/** Options of {@link FollowedKinds}. */
export type FollowedKindsOptions = {
  readonly readers: ReaderSelector;
  readonly observers: Readonly<Partial<Record<ObjectKind, KindObserver>>>;
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

/** Timing by which a kind is followed; all in milliseconds. */
export type KindTiming = {
  /** Longest wait of one call to the store. */
  readonly storeWaitMs: number;
  /** Longest wait of one call to a peer. */
  readonly peerWaitMs: number;
  /** Pause after an answer with changes. */
  readonly pauseMs: number;
  /** The same pause at the lease holder. */
  readonly leaseHolderPauseMs: number;
  /**
   * Age of a confirmation from which a reader counts as stale. While nothing changes, the last confirmation of a
   * peer is up to two waitsForPeers at the store old.
   */
  readonly staleMs: number;
  /**
   * How long known objects take precedence over a store restored from an older copy; {@link RESTORE_MS} by
   * default.
   */
  readonly restoreMs?: number;
};

const MS_PER_S = 1_000;

const CONFIGURATION_TIMING: KindTiming = {
  storeWaitMs: 700,
  peerWaitMs: 500,
  pauseMs: 250,
  leaseHolderPauseMs: 250,
  staleMs: 2_400,
};
/** Load figures are sent along with the calls for hosts, so these calls wait for less time. */
const HOSTS_TIMING: KindTiming = {
  storeWaitMs: 1_000,
  peerWaitMs: 250,
  pauseMs: 150,
  leaseHolderPauseMs: 50,
  staleMs: 2_800,
};
const MEMBERS_TIMING: KindTiming = {
  storeWaitMs: 3_000,
  peerWaitMs: 1_500,
  pauseMs: 500,
  leaseHolderPauseMs: 500,
  staleMs: 9_000,
};
/**
 * Evacuations are rare, and a long poll is answered as soon as there is one, so long waitsForPeers save calls without
 * delay. But a reader that does not answer goes unnoticed for as long as the wait, and an evacuation has to take
 * effect within seconds.
 */
const EVACUATIONS_TIMING: KindTiming = {
  storeWaitMs: 1_500,
  peerWaitMs: 1_000,
  pauseMs: 50,
  leaseHolderPauseMs: 50,
  staleMs: 4_500,
  // After a restore an operator may have to write it again; requests must not go to the failure domain until then.
  restoreMs: 15_000,
};
/**
 * Entry hosts report requests in quarantine to each other; the store is needed only by those that start. A long
 * poll is answered as soon as there is one, so the waitsForPeers are as long as those for members.
 */
const QUARANTINE_TIMING: KindTiming = {
  storeWaitMs: 3_000,
  peerWaitMs: 1_500,
  pauseMs: 50,
  leaseHolderPauseMs: 50,
  staleMs: 9_000,
};
/** The timing of each kind that is followed. */
export const KIND_TIMINGS: Readonly<Partial<Record<ObjectKind, KindTiming>>> = {
  [OBJECT_KINDS.configuration]: CONFIGURATION_TIMING,
  [OBJECT_KINDS.hosts]: HOSTS_TIMING,
  [OBJECT_KINDS.members]: MEMBERS_TIMING,
  [OBJECT_KINDS.evacuations]: EVACUATIONS_TIMING,
  [OBJECT_KINDS.quarantine]: QUARANTINE_TIMING,
};

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
  readonly #options: FollowedKindsOptions;

  constructor(options: FollowedKindsOptions) {
    this.#options = options;
    for (const [name, observer] of Object.entries(options.observers)) {
      const kind = name as ObjectKind;
      const timing = KIND_TIMINGS[kind];
      if (timing !== undefined) {
        this.#watches.set(kind, watchOf(kind, observer, timing, options));
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
    if ((ageMs ?? Infinity) > (KIND_TIMINGS[kind]?.staleMs ?? Infinity)) {
      this.#options.metrics.counters.count('sends_on_old_knowledge_total', { kind });
    }
    return ageMs;
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
  }
}

/** Always chooses the same reader, for a host without peers. */
export function singleReader(reader: KindReader): ReaderSelector {
  return {
    choose: () => reader,
    peek: () => reader,
    recordOutcome: () => undefined,
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
